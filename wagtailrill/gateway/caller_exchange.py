"""Requests of callers and their responses, between a connection and its handler."""

from typing import Protocol

import attrs

from ..core.request_models import CallerRequest
from .body_memory import BodyHold
from .dialects import CallerFields, CallerResponse
from .parsed_request import InputFault, ParsedRequest


@attrs.frozen
class RefusedInput:
    """Bytes that a connection refused by itself.

    `caller_request_id` is empty if it was not received. `pending_requests` is the
    number of unanswered requests before them on the connection.
    """

    fault: InputFault
    caller_request_id: str
    pending_requests: int


class ResponseWriter(Protocol):
    """Writes the responses of a connection; implemented by `ResponseQueue`."""

    def flush_responses(self) -> None:
        """Write the responses that are next in order."""
        ...


@attrs.define(eq=False)
class Exchange:
    """One request on a connection and its response.

    `hold` counts the body of the request and, once there is one, that of the response.
    `is_begun` is set once the response is being written; `closes_connection` then says
    whether the connection ends with it.
    """

    writer: ResponseWriter
    request_id: int
    keep_alive: bool
    hold: BodyHold
    is_head_request: bool = False
    response: CallerResponse | None = None
    # Handled only when the requests before it on the connection have been answered.
    deferred_request: CallerRequest | None = None
    is_begun: bool = False
    closes_connection: bool = False

    def set_response(self, response: CallerResponse) -> None:
        """Set the response, unless there is one; it is written in its turn."""
        if self.response is None:
            self.response = response
            self.hold.set_bytes(len(response.body))
            self.writer.flush_responses()


class RequestHandler(Protocol):
    """Handles requests; implemented by the driver."""

    def handle_request(self, req: CallerRequest, exchange: Exchange) -> None:
        """Handle a request; its response is given to the exchange."""
        ...

    def handle_disconnect(self, request_id: int) -> None:
        """Handle that the caller closed the connection before the response."""
        ...

    def handle_refused_input(self, refused: RefusedInput) -> None:
        """Record a request that the connection refused by itself."""
        ...


def make_caller_request(
    request_id: int, parsed: ParsedRequest, fields: CallerFields
) -> CallerRequest:
    """Return a request with the values of its headers."""
    return CallerRequest(
        request_id=request_id,
        method=parsed.method,
        path=parsed.path,
        query=parsed.query,
        headers=parsed.headers,
        body=parsed.body,
        host=parsed.host,
        caller_request_id=fields.caller_request_id,
        time_left_s=fields.time_left_s,
        credential=fields.credential,
        key_position=fields.key_position,
        attempt_number=fields.attempt_number,
        idempotency_key=fields.idempotency_key,
    )
