"""HTTP/1.1 connections of callers: reads requests and writes responses in order.

The process runs one listener with this protocol; the driver handles the requests.
"""

import asyncio
import itertools
from collections import deque
from typing import Any

import attrs

from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import CallerRequest
from ..declaration.models import CallerLimits
from .body_memory import BodyMemory
from .body_writer import BodyWriter
from .caller_exchange import Exchange, RefusedInput, RequestHandler
from .const import (
    FIRST_REQUEST_TIME_S,
    LINGER_S,
    PIPELINED_REQUESTS_MAX,
    UNREAD_RESPONSE_S,
)
from .dialects import CallerDialect, CallerResponse
from .request_parser import InputFault, InputPhase, ParsedRequest, RequestParser
from .response_encoding import encode_response

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Pipelined requests with these methods run before the earlier ones are answered.
CONCURRENT_METHODS = frozenset({"GET", "HEAD"})

REQUEST_TOO_SLOW = Refusal(
    RefusalCode.REQUEST_TOO_SLOW, "The request took too long to send."
)


@attrs.define
class CallerListenerState:
    """State that all connections of one listener share.

    While no configuration has confirmed the limits, `provisional_refusal` is given to a
    request that is larger. Once it `has_ended`, no connection reads or passes on what
    it receives. `memory` counts the bodies of requests and responses.
    """

    handler: RequestHandler
    dialect: CallerDialect
    limits: CallerLimits
    provisional_refusal: Refusal | None = None
    memory: BodyMemory = attrs.field(factory=BodyMemory)
    connections: set["CallerProtocol"] = attrs.field(factory=set)
    request_ids: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )
    is_stopping: bool = False
    has_ended: bool = False

    def end(self) -> None:
        """Leave unread what still arrives, since the process ends."""
        self.has_ended = True
        for conn in self.connections:
            conn.pause_reading()


class CallerProtocol(asyncio.Protocol):
    """One caller's connection.

    uvicorn's own protocol runs pipelined requests one after the other; this one runs
    them concurrently and writes their responses in the order of the requests. Times in
    seconds are those of the event loop's clock.
    """

    def __init__(self, state: CallerListenerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(
            lambda: state.limits, state.memory, self._refuse_given_up_request
        )
        self._writer = BodyWriter()
        self._pending_exchanges: deque[Exchange] = deque()
        self._is_flushing = False
        self._is_reading_paused = False
        # Since when this side is closed and what the caller still sends is dropped.
        self._lingers_since_s: float | None = None
        self.idle_since_s: float | None = self._loop.time()
        self.reading_since_s: float | None = None

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and add the connection to those of the listener."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._state.connections.add(self)
        if self._state.has_ended:
            self.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the callers of open requests have left."""
        self._state.connections.discard(self)
        self._transport = None
        self._writer.drop()
        self._parser.end()
        self._drop_pending_exchanges()

    def pause_writing(self) -> None:
        """Write no more of a response for now, as the caller does not read it."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on writing responses."""
        self._writer.resume()
        self.flush_responses()

    def eof_received(self) -> bool:
        """Close the connection: a caller that has closed its side has left."""
        return False

    def shutdown(self) -> None:
        """Close the connection if it is idle; otherwise its last response closes it.

        The first request on a new connection may still be on its way.
        """
        if self.idle_since_s is None or self._lingers_since_s is not None:
            return
        idle_s = self._loop.time() - self.idle_since_s
        if self.reading_since_s is None and idle_s >= FIRST_REQUEST_TIME_S:
            self.close()

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def _close_after_response(self) -> None:
        """Close this side, and drop what the caller sends until it closes its own."""
        assert self._transport is not None
        self._parser.end()
        self.reading_since_s = None
        self._lingers_since_s = self._loop.time()
        try:
            self._transport.write_eof()
        except OSError:  # the caller has left, which the event loop has not read yet
            self._transport.abort()
            return
        self._resume_reading()

    def _accepts_requests(self) -> bool:
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._lingers_since_s is None
        )

    def refuse_unfinished_request(self, refusal: Refusal) -> None:
        """Refuse a request that is still being received, if there is one."""
        if self.reading_since_s is not None:
            self._refuse_input(self._make_fault(refusal, "stop"))

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection if it is idle for too long; refuse a slow request.

        A caller that waits for the interim response 100 is not slow, nor one whose
        bytes are not read.
        """
        limits = self._state.limits
        self._offer_unread_response(now_s)
        if self._lingers_since_s is not None:
            if now_s - self._lingers_since_s > LINGER_S:
                self.close()
            return
        if self._parser.awaits_continue or self._is_reading_paused:
            return
        if self.reading_since_s is not None:
            if now_s - self.reading_since_s > limits.header_timeout_s:
                self._refuse_input(self._make_fault(REQUEST_TOO_SLOW, "header timeout"))
        elif (
            self.idle_since_s is not None
            and now_s - self.idle_since_s > limits.idle_timeout_s
        ):
            self.close()

    def _offer_unread_response(self, now_s: float) -> None:
        """Let a response be given up, with the connection, that is not being read."""
        if self._writer.is_done or not self._pending_exchanges:
            return
        since_s = self._writer.paused_since_s
        is_unread = since_s is not None and now_s - since_s >= UNREAD_RESPONSE_S
        hold = self._pending_exchanges[0].hold
        hold.set_give_up(self._abort if is_unread else None)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _make_fault(self, refusal: Refusal, reason: str) -> InputFault:
        parser = self._parser
        return InputFault(
            refusal, reason, parser.received_bytes, headers=parser.headers
        )

    # Reading

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser, and what it returns on."""
        if self._state.has_ended:
            return
        was_reading_head = self._parser.phase is InputPhase.HEAD
        results = self._parser.feed(data)
        for result in results:
            if not self._accepts_requests():
                # The caller may send what comes behind a closing response again.
                break
            if isinstance(result, InputFault):
                self._refuse_input(self._replace_provisional_refusal(result))
            else:
                self._handle_request(result)
        self._update_reading_time(was_reading_head and not results)
        self._send_continue()

    def _send_continue(self) -> None:
        """Send the interim response 100 if the caller waits for it before its body."""
        if (
            self._parser.awaits_continue
            and not self._pending_exchanges
            and self._transport is not None
            and self._accepts_requests()
        ):
            self._parser.awaits_continue = False
            self._transport.write(CONTINUE_RESPONSE)
            self.reading_since_s = self._loop.time()

    def _update_reading_time(self, is_same_head: bool) -> None:
        """Set since when the request that is being received has been expected."""
        if self._parser.phase in (InputPhase.IDLE, InputPhase.ENDED):
            self.reading_since_s = None
        elif not (is_same_head and self._parser.phase is InputPhase.HEAD):
            self.reading_since_s = self._loop.time()

    def _handle_request(self, parsed: ParsedRequest) -> None:
        """Pass a request to the handler, or defer it."""
        self.idle_since_s = None
        state = self._state
        fields = state.dialect.parse_headers(parsed.headers)
        req = CallerRequest(
            request_id=next(state.request_ids),
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
        exchange = Exchange(
            self,
            req.request_id,
            parsed.keep_alive,
            parsed.hold,
            is_head_request=parsed.method == "HEAD",
        )
        self._pending_exchanges.append(exchange)
        if len(self._pending_exchanges) >= PIPELINED_REQUESTS_MAX:
            self.pause_reading()
        if len(self._pending_exchanges) > 1 and req.method not in CONCURRENT_METHODS:
            # If an earlier response closes the connection, the caller may send the
            # request again, so it must not have run.
            exchange.deferred_request = req
            return
        state.handler.handle_request(req, exchange)

    def pause_reading(self) -> None:
        """Leave what the caller sends in the buffers of the socket."""
        if self._transport is not None and self._lingers_since_s is None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        """Read on; a request of which a part has arrived gets its whole time."""
        if self._transport is None or not self._is_reading_paused:
            return
        if self._state.has_ended:
            return
        self._is_reading_paused = False
        self._transport.resume_reading()
        if self.reading_since_s is not None:
            self.reading_since_s = self._loop.time()

    def _replace_provisional_refusal(self, fault: InputFault) -> InputFault:
        refusal = self._state.provisional_refusal
        if refusal is None or not fault.limit_bytes:
            return fault
        return attrs.evolve(fault, refusal=refusal)

    def _refuse_given_up_request(self, fault: InputFault) -> None:
        """Refuse a request later, as what needs its memory may be in a step."""
        self._loop.call_soon(self._refuse_if_open, fault)

    def _refuse_if_open(self, fault: InputFault) -> None:
        if self._transport is not None:
            self._refuse_input(fault)

    def _refuse_input(self, fault: InputFault) -> None:
        """Refuse the bytes after the last complete request."""
        self._parser.end()
        self.reading_since_s = None
        fields = self._state.dialect.parse_headers(fault.headers)
        self._state.handler.handle_refused_input(
            RefusedInput(fault, fields.caller_request_id, len(self._pending_exchanges))
        )
        request_id = next(self._state.request_ids)
        exchange = Exchange(self, request_id, False, self._state.memory.open_hold())
        self._pending_exchanges.append(exchange)
        exchange.set_response(
            self._state.dialect.encode_refusal(fault.refusal, fields.caller_request_id)
        )

    # Writing

    def flush_responses(self) -> None:
        """Write the responses that are next in order.

        Only the outermost call writes: a deferred request that is passed on here may
        get its response at once, which calls this method again.
        """
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            while self._write_next_response():
                pass
        finally:
            self._is_flushing = False
        if len(self._pending_exchanges) < PIPELINED_REQUESTS_MAX:
            self._resume_reading()
        if self._transport is not None and not self._pending_exchanges:
            self.idle_since_s = self._loop.time()
            self._send_continue()

    def _write_next_response(self) -> bool:
        """Write the response that is next in order; return whether there was one.

        A deferred request that has become the first one is passed to the handler.
        """
        if self._transport is None or not self._pending_exchanges:
            return False
        if not self._writer.is_ready:
            return False
        exchange = self._pending_exchanges[0]
        if exchange.deferred_request is not None:
            req, exchange.deferred_request = exchange.deferred_request, None
            self._state.handler.handle_request(req, exchange)
        if exchange.response is None:
            return False
        if not exchange.is_begun:
            self._begin_response(exchange, exchange.response)
            if not self._writer.is_done:
                return False
        self._pending_exchanges.popleft()
        exchange.hold.close()
        if exchange.closes_connection:
            self._drop_pending_exchanges()
            self._close_after_response()
        return not exchange.closes_connection

    def _begin_response(self, exchange: Exchange, response: CallerResponse) -> None:
        assert self._transport is not None
        exchange.is_begun = True
        is_last = len(self._pending_exchanges) == 1
        exchange.closes_connection = not exchange.keep_alive or (
            self._state.is_stopping and is_last
        )
        head, body = encode_response(
            response, exchange.closes_connection, exchange.is_head_request
        )
        self._writer.write(self._transport, head, body)

    def _drop_pending_exchanges(self) -> None:
        """Drop the requests that can get no response any more."""
        while self._pending_exchanges:
            exchange = self._pending_exchanges.popleft()
            exchange.hold.close()
            if exchange.response is None and exchange.deferred_request is None:
                self._state.handler.handle_disconnect(exchange.request_id)


def make_protocol_factory(state: CallerListenerState) -> Any:
    """Return a factory of protocols, as uvicorn's setting `http` takes it."""

    def make_protocol(*_: object, **__: object) -> CallerProtocol:
        return CallerProtocol(state)

    return make_protocol
