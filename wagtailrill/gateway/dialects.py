"""Interfaces to the HTTP headers and control calls of an environment.

A dialect maps the header names and formats of one environment to the router's models.
The driver and the HTTP connections use these interfaces.
"""

from typing import Protocol

import attrs

from ..core.refusals import Refusal
from ..core.request_models import (
    NO_NOTICE,
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
    EchoedId,
    Headers,
    LoadReport,
    ServerNotice,
)
from ..servers.control import ControlResult, GrantKeys, ReleaseKeys


@attrs.frozen
class CallerResponse:
    """A complete response for a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class CallerFields:
    """Values from the headers of a caller's request, as in `CallerRequest`."""

    caller_request_id: str = ""
    time_left_s: float | None = None
    credential: bytes | None = attrs.field(repr=False, default=None)
    key_position: int | None = None
    attempt_number: int = 0
    idempotency_key: bytes | None = None


class CallerDialect(Protocol):
    """Headers of callers' requests, and the format of refusals."""

    def parse_headers(self, headers: Headers) -> CallerFields:
        """Return the values of the headers; malformed ones count as absent."""
        ...

    def encode_refusal(
        self, refusal: Refusal, caller_request_id: str
    ) -> CallerResponse:
        """Return the response that tells a caller of a refusal."""
        ...


@attrs.frozen
class ResponseFields:
    """Values from the status and headers of a response, by the request it follows.

    `outcome` says whether the request was run and succeeded; it is `BAD_ANSWER` if the
    response lacks what the server puts into every answer of its status.
    `belongs_to_request` is false for a response to another request, or to none: the
    answer may still come. `is_signed` says whether it bears the signature that some
    environments' servers add.
    """

    outcome: AttemptOutcome
    echoed_id: EchoedId
    belongs_to_request: bool
    is_signed: bool = False
    start_id: str = ""
    load: LoadReport | None = None
    notice: ServerNotice = NO_NOTICE


@attrs.frozen
class ControlRequest:
    """HTTP request of a control call; `timeout_s` limits the whole call.

    `needs_certain_answer` keeps it off connections on which an extra answer to an
    earlier call could be taken for its own.
    """

    target: str
    body: bytes
    timeout_s: float
    needs_certain_answer: bool = False


class ControlDialect(Protocol):
    """HTTP requests and results of control calls to backend servers."""

    def encode_operation(self, operation: GrantKeys | ReleaseKeys) -> ControlRequest:
        """Return the HTTP request of an operation."""
        ...

    def decode_result(
        self, operation: GrantKeys | ReleaseKeys, result: AttemptResult
    ) -> ControlResult:
        """Return the result of an operation from that of its HTTP request."""
        ...


class BackendDialect(Protocol):
    """Headers of requests to backend servers and of their responses."""

    def is_reserved_header(self, name: bytes) -> bool:
        """Return whether a header of a caller's request is not passed on."""
        ...

    def build_request_headers(self, request: BackendRequest) -> Headers:
        """Return the headers that are sent besides those of the caller."""
        ...

    def parse_response(
        self, request: BackendRequest, status: int, headers: Headers
    ) -> ResponseFields:
        """Return the values of a response that came after a request was sent.

        Header names are in lower case.
        """
        ...
