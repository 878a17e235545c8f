"""Connections to backend servers and the exchange of one order on one of them."""

import time

import anyio
import attrs
import httpcore

from ..core.headers import NOT_RUN_HEADER, REQUEST_ID_HEADER, START_ID_HEADER
from ..core.orders import AttemptOutcome, AttemptResult, Headers, Order
from .const import (
    CONNECTION_AGE_MAX_S,
    CONNECTION_IDLE_MAX_S,
    FRESH_S,
    HOP_BY_HOP_HEADERS,
    RESPONSE_MAX_BYTES,
)
from .stream import async_connect

NOT_RUN_OUTCOMES = {
    b"shed": AttemptOutcome.SHED,
    b"fenced": AttemptOutcome.FENCED,
    b"expired": AttemptOutcome.FENCED,
}
# httpcore has no type of its own for a connection that ends before any answer.
NO_ANSWER_TEXT = "without sending a response"


@attrs.define(eq=False)
class BackendConnection:
    """An open connection; it carries one exchange at a time."""

    http: httpcore.AsyncHTTP11Connection
    opened_s: float
    used_s: float
    generation: int = 0

    def usable(self, now_s: float) -> bool:
        """Return whether the connection may carry another exchange."""
        return (
            now_s - self.used_s < CONNECTION_IDLE_MAX_S
            and now_s - self.opened_s < CONNECTION_AGE_MAX_S
            and self.http.is_idle()
            and (now_s - self.used_s < FRESH_S or not self.http.has_expired())
        )


@attrs.define(eq=False)
class BackendConnections:
    """Open connections to one backend server.

    The list of idle connections replaces httpcore's pool, whose work for each request
    grows with its number of connections.
    """

    name: str
    address: str
    response_max_bytes: int = RESPONSE_MAX_BYTES
    idle: list[BackendConnection] = attrs.field(factory=list)
    busy: int = 0
    opened: int = 0
    # Connections of earlier generations are closed after their exchange.
    generation: int = 0
    _origin: httpcore.Origin = attrs.field(init=False)
    _host_header: tuple[bytes, bytes] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host_header = (b"host", self.address.encode())

    def take_idle(self) -> BackendConnection | None:
        """Return an idle connection that is still usable; drop those that are not."""
        now_s = time.monotonic()
        while self.idle:
            conn = self.idle.pop()
            if conn.usable(now_s):
                return conn
            self.idle.append(conn)
            break
        return None

    async def async_drop_unusable(self) -> int:
        """Close idle connections that are closed by the peer or too old."""
        now_s = time.monotonic()
        gone = [conn for conn in self.idle if not conn.usable(now_s)]
        for conn in gone:
            self.idle.remove(conn)
            await conn.http.aclose()
        return len(gone)

    async def async_close_idle(self, count: int | None = None) -> int:
        """Close some idle connections; return how many were closed.

        Without a count all are closed, and busy ones after their exchange.
        """
        if count is None:
            self.generation += 1
        closed = 0
        while self.idle and (count is None or closed < count):
            await self.idle.pop().http.aclose()
            closed += 1
        return closed

    async def _async_open(self) -> BackendConnection | None:
        """Return a new connection, or None when none can be opened."""
        try:
            http = await async_connect(self._origin)
        except OSError:  # includes TimeoutError
            return None
        self.opened += 1
        now_s = time.monotonic()
        return BackendConnection(http, now_s, now_s, self.generation)

    async def async_exchange(
        self, order: Order, extra_headers: Headers = ()
    ) -> AttemptResult:
        """Send an order and read its whole answer.

        The caller cancels the exchange at the order's timeout; whatever ends it early
        closes the connection.
        """
        started_s = time.monotonic()
        conn = self.take_idle()
        if conn is None:
            await self.async_drop_unusable()
            conn = await self._async_open() if order.may_connect else None
        if conn is None:
            latency_s = time.monotonic() - started_s
            return AttemptResult(
                order.attempt_id, AttemptOutcome.CONNECT_FAILED, latency_s
            )
        self.busy += 1
        result = None
        try:
            result = await self._async_send(conn, order, extra_headers, started_s)
        finally:
            self.busy -= 1
            if result is None or not result.connection_open:
                with anyio.CancelScope(shield=True):
                    await conn.http.aclose()
            else:
                conn.used_s = time.monotonic()
                self.idle.append(conn)
        return result

    async def async_drop_unproven(self, timeout_s: float) -> None:
        """Close idle connections that carried no answer in the last seconds.

        After a timeout they may have gone silent for good, like the one that timed out.
        """
        since_s = time.monotonic() - timeout_s
        for conn in [conn for conn in self.idle if conn.used_s < since_s]:
            self.idle.remove(conn)
            await conn.http.aclose()

    async def _async_send(
        self,
        conn: BackendConnection,
        order: Order,
        extra_headers: Headers,
        started_s: float,
    ) -> AttemptResult:
        req = httpcore.Request(
            order.method.encode(),
            httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._origin.port,
                target=order.target.encode(),
            ),
            headers=[
                self._host_header,
                (b"content-length", str(len(order.body)).encode()),
                *order.headers,
                *extra_headers,
            ],
            content=order.body,
        )
        res = None
        try:
            res = await conn.http.handle_async_request(req)
            body = await _async_read(res, self.response_max_bytes)
        except httpcore.LocalProtocolError:
            outcome = AttemptOutcome.BAD_ANSWER
        except httpcore.RemoteProtocolError as exc:
            closed = res is None and NO_ANSWER_TEXT in str(exc)
            outcome = AttemptOutcome.LOST if closed else AttemptOutcome.BAD_ANSWER
        except (httpcore.NetworkError, httpcore.ConnectionNotAvailable):
            outcome = AttemptOutcome.LOST if res is None else AttemptOutcome.BAD_ANSWER
        except ResponseTooLargeError:
            outcome = AttemptOutcome.BAD_ANSWER
        else:
            return self._result(order, res, body, conn, started_s)
        latency_s = time.monotonic() - started_s
        return AttemptResult(order.attempt_id, outcome, latency_s)

    def _result(
        self,
        order: Order,
        res: httpcore.Response,
        body: bytes,
        conn: BackendConnection,
        started_s: float,
    ) -> AttemptResult:
        latency_s = time.monotonic() - started_s
        fields = {name.lower(): value for name, value in res.headers}
        outcome = NOT_RUN_OUTCOMES.get(
            fields.get(NOT_RUN_HEADER, b""), AttemptOutcome.ANSWERED
        )
        echoed = fields.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != _request_id(order):
            return AttemptResult(order.attempt_id, AttemptOutcome.BAD_ANSWER, latency_s)
        return AttemptResult(
            attempt_id=order.attempt_id,
            outcome=outcome,
            latency_s=latency_s,
            status=res.status,
            headers=_caller_headers(res.headers),
            body=body,
            start_id=fields.get(START_ID_HEADER, b"").decode("latin-1"),
            connection_open=(
                conn.http.is_idle() and conn.generation == self.generation
            ),
        )


class ResponseTooLargeError(Exception):
    """A backend server's answer exceeds the size limit."""


async def _async_read(res: httpcore.Response, max_bytes: int) -> bytes:
    parts, size = [], 0
    async for part in res.aiter_stream():
        size += len(part)
        if size > max_bytes:
            raise ResponseTooLargeError
        parts.append(part)
    await res.aclose()
    return b"".join(parts)


def _request_id(order: Order) -> bytes | None:
    for name, value in order.headers:
        if name == REQUEST_ID_HEADER:
            return value
    return None


def _caller_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP_HEADERS
        and lower != b"content-length"
        and not lower.startswith(b"wagtailrill-")
    )
