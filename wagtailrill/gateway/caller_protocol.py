"""Connections of callers: requests are read, run at once and answered in order."""

import asyncio
import itertools
from collections import deque
from http import HTTPStatus
from typing import Any, Protocol

import attrs
import httptools

from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import CallerRequest
from ..declaration.models import CallerLimits
from .const import HOP_BY_HOP_HEADERS, PIPELINE_MAX
from .dialects import CallerAnswer, CallerDialect

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, reason)
    for status, reason in REASONS.items()
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONCURRENT_METHODS = frozenset({"GET", "HEAD"})
NO_BODY_STATUSES = frozenset({204, 304})

HEADERS_TOO_LARGE = Refusal(
    RefusalCode.HEADERS_TOO_LARGE, "The request headers are too large."
)
BODY_TOO_LARGE = Refusal(
    RefusalCode.REQUEST_TOO_LARGE, "The request body is too large."
)
TOO_SLOW = Refusal(RefusalCode.REQUEST_TOO_SLOW, "The request took too long to send.")
MALFORMED = Refusal(RefusalCode.BAD_REQUEST, "The bytes are not an HTTP/1.1 request.")


class RequestHandler(Protocol):
    """Runs requests through the decision code."""

    def request_arrived(self, req: CallerRequest, exchange: "Exchange") -> None:
        """Run a request; its answer goes to the exchange."""
        ...

    def caller_left(self, request_id: int) -> None:
        """Tell that the caller closed its connection."""
        ...


@attrs.define(eq=False)
class Exchange:
    """One request on a connection and its answer."""

    protocol: "CallerProtocol"
    request_id: int
    keep_alive: bool
    head_only: bool = False
    answer: CallerAnswer | None = None
    # Not run before those ahead of it are answered.
    deferred: CallerRequest | None = None

    def settle(self, answer: CallerAnswer) -> None:
        """Give the answer; it is written once those before it are."""
        if self.answer is None:
            self.answer = answer
            self.protocol.flush()


@attrs.define
class CallerServerState:
    """What all connections of one listener share."""

    handler: RequestHandler
    dialect: CallerDialect
    limits: CallerLimits
    connections: set["CallerProtocol"] = attrs.field(factory=set)
    request_ids: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )
    stopping: bool = False


class CallerProtocol(asyncio.Protocol):
    """One caller's connection.

    uvicorn's own protocol runs the requests of a connection one after the other; here
    requests that are sent without waiting run at the same time.
    """

    def __init__(self, state: CallerServerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[Exchange] = deque()
        self._broken = False
        self.idle_since_s: float | None = self._loop.time()
        self.reading_since_s: float | None = None
        self._reset_message()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._state.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the callers of open requests have left."""
        self._state.connections.discard(self)
        self._transport = None
        while self._pending:
            exchange = self._pending.popleft()
            if exchange.answer is None and exchange.deferred is None:
                self._state.handler.caller_left(exchange.request_id)

    def eof_received(self) -> bool:
        """Close: a caller that sends no more has left."""
        return False

    def shutdown(self) -> None:
        """Close when idle; otherwise after the last answer."""
        if not self._pending and self.reading_since_s is None:
            self.close()

    def close(self) -> None:
        """Close after what is written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def check_times(self, now_s: float) -> None:
        """Close a connection that is idle, or whose request comes too slowly."""
        limits = self._state.limits
        if self.reading_since_s is not None:
            if now_s - self.reading_since_s > limits.header_timeout_s:
                self._break_off(TOO_SLOW)
        elif (
            self.idle_since_s is not None
            and now_s - self.idle_since_s > limits.idle_timeout_s
        ):
            self.close()

    # Reading

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self._broken:
            return
        if self.reading_since_s is None:
            self.reading_since_s = self._loop.time()
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break_off(MALFORMED)
        except httptools.HttpParserError:
            if not self._broken:
                self._break_off(MALFORMED)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self.reading_since_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._state.limits.header_max_bytes:
            self._break_off(HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Ask for the body of a caller that waits to be asked."""
        self.reading_since_s = None if self._broken else self._loop.time()
        expects = (b"expect", b"100-continue")
        if expects in self._headers and not self._pending and self._transport:
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._state.limits.body_max_bytes:
            self._break_off(BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Run a whole request."""
        if self._broken:
            return
        self.reading_since_s = None
        self.idle_since_s = None
        state = self._state
        method = self._parser.get_method().decode("latin-1")
        target = httptools.parse_url(self._url)
        host = next((v for n, v in self._headers if n == b"host"), b"")
        headers = tuple(self._headers)
        fields = state.dialect.read(headers)
        req = CallerRequest(
            request_id=next(state.request_ids),
            method=method,
            path=(target.path or b"/").decode("latin-1"),
            query=(target.query or b"").decode("latin-1"),
            headers=headers,
            body=b"".join(self._body),
            host=host.decode("latin-1").lower(),
            caller_request_id=fields.caller_id,
            time_left_s=fields.time_left_s,
            credential=fields.credential,
            key_position=fields.key_position,
            attempt_number=fields.attempt,
            idempotency_key=fields.idempotency_key,
        )
        exchange = Exchange(
            self,
            req.request_id,
            keep_alive=self._parser.should_keep_alive(),
            head_only=method == "HEAD",
        )
        self._pending.append(exchange)
        if len(self._pending) >= PIPELINE_MAX and self._transport is not None:
            self._transport.pause_reading()
        if len(self._pending) > 1 and method not in CONCURRENT_METHODS:
            # It must not have run if an earlier answer closes the connection.
            exchange.deferred = req
            return
        state.handler.request_arrived(req, exchange)

    # Writing

    def flush(self) -> None:
        """Write the answers that are due."""
        transport = self._transport
        while transport is not None and self._pending:
            exchange = self._pending[0]
            if exchange.deferred is not None:
                req, exchange.deferred = exchange.deferred, None
                self._state.handler.request_arrived(req, exchange)
            if exchange.answer is None:
                return
            self._pending.popleft()
            close = not exchange.keep_alive or (
                self._state.stopping and not self._pending
            )
            transport.write(_encode(exchange.answer, close, exchange.head_only))
            if close:
                self._abandon_pending()
                transport.close()
                return
        if transport is not None and not self._pending:
            self.idle_since_s = self._loop.time()
            transport.resume_reading()

    def _abandon_pending(self) -> None:
        """Drop requests behind an answer that closes the connection."""
        while self._pending:
            exchange = self._pending.popleft()
            if exchange.answer is None and exchange.deferred is None:
                self._state.handler.caller_left(exchange.request_id)

    def _break_off(self, refusal: Refusal) -> None:
        """Refuse what cannot be read; nothing after it on the connection is read."""
        self._broken = True
        self.reading_since_s = None
        exchange = Exchange(self, next(self._state.request_ids), keep_alive=False)
        self._pending.append(exchange)
        fields = self._state.dialect.read(tuple(self._headers))
        exchange.settle(self._state.dialect.refusal(refusal, fields.caller_id))

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0


def _encode(answer: CallerAnswer, close: bool, head_only: bool) -> bytes:
    parts: list[bytes] = [
        STATUS_LINES.get(answer.status) or b"HTTP/1.1 %d \r\n" % answer.status
    ]
    for name, value in answer.headers:
        if name not in HOP_BY_HOP_HEADERS and name != b"content-length":
            parts.append(name + b": " + value + b"\r\n")
    if answer.status not in NO_BODY_STATUSES:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    if close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not head_only and answer.status not in NO_BODY_STATUSES:
        parts.append(answer.body)
    return b"".join(parts)


def protocol_class(state: CallerServerState) -> Any:
    """Return what uvicorn calls to make the protocol of a connection."""

    def make(*_: object, **__: object) -> CallerProtocol:
        return CallerProtocol(state)

    return make
