"""HTTP/1.1 connections of callers: reads requests and writes responses in order.

The process runs its listeners with this protocol; their handlers answer the requests.
"""

import asyncio
from typing import Any

import attrs

from ..core.refusals import Refusal, RefusalCode
from .caller_exchange import Exchange, RefusedInput, make_caller_request
from .caller_listener import CallerListenerState
from .connection_limit import Advance, Progress
from .const import FIRST_REQUEST_TIME_S, LINGER_S, TURN_REQUESTS_MAX
from .parsed_request import InputFault, InputPhase, ParsedRequest
from .pending_input import PendingInput
from .request_parser import RequestParser
from .response_queue import ResponseQueue

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Pipelined requests with these methods run before the earlier ones are answered.
CONCURRENT_METHODS = frozenset({"GET", "HEAD"})

REQUEST_TOO_SLOW = Refusal(
    RefusalCode.REQUEST_TOO_SLOW, "The request took too long to send."
)


class CallerProtocol(asyncio.BufferedProtocol):
    """One caller's connection.

    uvicorn's own protocol runs pipelined requests one after the other; this one runs
    them concurrently and writes their responses in the order of the requests. It reads
    little at a time and handles few requests in a turn, and none beyond the limit on
    pipelined ones. Times in seconds are those of the event loop's clock.
    """

    def __init__(self, state: CallerListenerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(
            lambda: state.limits, state.memory, self._refuse_given_up_request
        )
        self._responses = ResponseQueue(state, self)
        self._input = PendingInput(self._parser, state.memory)
        self._is_reading_paused = False
        self._is_handling_input = self._awaits_turn = False
        self._has_sent_request = False
        # Since when this side is closed and what the caller still sends is dropped.
        self._lingers_since_s: float | None = None
        self.idle_since_s: float | None = self._loop.time()
        self.reading_since_s: float | None = None

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and add the connection to those of the listener."""
        assert isinstance(transport, asyncio.Transport)
        if not self._state.add(self):
            transport.abort()
            return
        self._transport = self._responses.transport = transport
        if self._state.has_ended:
            self.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the callers of open requests have left."""
        self._state.connections.discard(self)
        self._transport = None
        self._parser.end()
        self._input.drop()
        self._responses.end()

    def pause_writing(self) -> None:
        """Write no more of a response for now, as the caller does not read it."""
        self._responses.pause_writing()

    def resume_writing(self) -> None:
        """Go on writing responses."""
        self._responses.resume_writing()

    def eof_received(self) -> bool:
        """Close the connection: a caller that has closed its side has left."""
        return False

    def shutdown(self) -> None:
        """Close the connection if it is idle; otherwise its last response closes it.

        The first request on a new connection may still be on its way, and one that has
        been read may wait for its turn.
        """
        if self.idle_since_s is None or self._lingers_since_s is not None:
            return
        if self._input:
            return
        idle_s = self._loop.time() - self.idle_since_s
        if self.reading_since_s is None and idle_s >= FIRST_REQUEST_TIME_S:
            self.close()

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def get_progress(self, now_s: float) -> Progress:
        """Return how far the connection has come, for the limit on connections."""
        if self._lingers_since_s is not None:
            return Progress(Advance.CLOSING, self._lingers_since_s)
        unread_since_s = self._responses.get_unread_since_s(now_s)
        if unread_since_s is not None:
            return Progress(Advance.UNREAD, unread_since_s)
        if self.idle_since_s is None:
            return Progress(Advance.BUSY, now_s)
        since_s = self.idle_since_s
        if now_s - since_s < FIRST_REQUEST_TIME_S:
            return Progress(Advance.NEW, since_s)
        if self.reading_since_s is not None:
            return Progress(Advance.UNFINISHED, self.reading_since_s)
        advance = Advance.IDLE if self._has_sent_request else Advance.UNUSED
        return Progress(advance, since_s)

    def handle_closing_response(self) -> None:
        """Close this side, and drop what the caller sends until it closes its own."""
        assert self._transport is not None
        self._parser.end()
        self._input.drop()
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
        self._responses.offer_unread(now_s)
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

    def _make_fault(self, refusal: Refusal, reason: str) -> InputFault:
        parser = self._parser
        return InputFault(
            refusal, reason, parser.received_bytes, headers=parser.headers
        )

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        size = self._input.choose_read_bytes()
        return memoryview(self._state.read_buffer)[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes; let others have a turn if more are likely."""
        if self._state.has_ended or not self._accepts_requests():
            return
        self._input.set_data(bytes(memoryview(self._state.read_buffer)[:nbytes]))
        self._handle_input()
        may_have_more = self._input.is_full_read(nbytes)
        if may_have_more and not self._parser.is_in_announced_body:
            self._await_turn()

    def take_turn(self) -> None:
        """Go on with input that waited for a turn; implements `TurnTaker`."""
        self._awaits_turn = False
        if not self._accepts_requests() or self._state.has_ended:
            return
        if self._input:
            self._handle_input()
        elif not self._responses.is_full:
            self._resume_reading()

    def _handle_input(self) -> None:
        """Parse received bytes, up to the limits on a turn and on pipelined requests.

        What comes behind a closing response is dropped, since the caller may send it
        again.
        """
        self._is_handling_input = True
        handled = 0
        while self._input and self._accepts_requests() and not self._responses.is_full:
            if handled >= TURN_REQUESTS_MAX:
                self._await_turn()
                break
            handled += self._handle_piece()
        self._is_handling_input = False
        if not self._accepts_requests() or self._parser.phase is InputPhase.ENDED:
            self._input.drop()
        if self._input:
            self.pause_reading()
        elif not self._responses.is_full and not self._awaits_turn:
            self._resume_reading()
        self._input.count()

    def _handle_piece(self) -> int:
        """Parse a piece of the received bytes; return the number of its requests."""
        piece = self._input.take_piece()
        was_reading_head = self._parser.phase is InputPhase.HEAD
        results = self._parser.feed(piece)
        for result in results:
            if not self._accepts_requests():
                break
            if isinstance(result, InputFault):
                self._refuse_input(self._replace_provisional_refusal(result))
            else:
                self._handle_request(result)
        self._update_reading_time(was_reading_head and not results)
        self._send_continue()
        return len(results)

    def _await_turn(self) -> None:
        """Read and parse no more until the other connections have had their turns."""
        if not self._awaits_turn and self._accepts_requests():
            self._awaits_turn = True
            self.pause_reading()
            self._state.turns.enqueue(self)

    def _send_continue(self) -> None:
        """Send the interim response 100 if the caller waits for it before its body."""
        if (
            self._parser.awaits_continue
            and not self._responses
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
        self._has_sent_request = True
        state = self._state
        fields = state.dialect.parse_headers(parsed.headers)
        req = make_caller_request(next(state.request_ids), parsed, fields)
        exchange = Exchange(
            self._responses,
            req.request_id,
            parsed.keep_alive,
            parsed.hold,
            is_head_request=parsed.method == "HEAD",
        )
        self._responses.append(exchange)
        if self._responses.is_full:
            self.pause_reading()
        if len(self._responses) > 1 and req.method not in CONCURRENT_METHODS:
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
        """Refuse a request later, as what needs its memory may be in a step.

        Its headers are not kept until then, since many may be given up in one step.
        """
        fields = self._state.dialect.parse_headers(fault.headers)
        fault = attrs.evolve(fault, headers=())
        self._loop.call_soon(self._refuse_if_open, fault, fields.caller_request_id)

    def _refuse_if_open(self, fault: InputFault, caller_request_id: str) -> None:
        if self._transport is not None:
            self._refuse_input(fault, caller_request_id)

    def _refuse_input(
        self, fault: InputFault, caller_request_id: str | None = None
    ) -> None:
        """Refuse the bytes after the last complete request."""
        self._parser.end()
        self.reading_since_s = None
        if caller_request_id is None:
            fields = self._state.dialect.parse_headers(fault.headers)
            caller_request_id = fields.caller_request_id
        self._state.handler.handle_refused_input(
            RefusedInput(fault, caller_request_id, len(self._responses))
        )
        request_id = next(self._state.request_ids)
        exchange = Exchange(
            self._responses, request_id, False, self._state.memory.open_hold()
        )
        self._responses.append(exchange)
        exchange.set_response(
            self._state.dialect.encode_refusal(fault.refusal, caller_request_id)
        )

    def handle_flush(self) -> None:
        """Go on reading if there is room for requests; send what follows responses."""
        waits = self._is_handling_input or self._awaits_turn
        if not waits and not self._responses.is_full:
            if self._input:
                self._await_turn()
            else:
                self._resume_reading()
        if self._transport is not None and not self._responses:
            self.idle_since_s = self._loop.time()
            self._send_continue()


def make_protocol_factory(state: CallerListenerState) -> Any:
    """Return a factory of protocols, as uvicorn's setting `http` takes it."""

    def make_protocol(*_: object, **__: object) -> CallerProtocol:
        return CallerProtocol(state)

    return make_protocol
