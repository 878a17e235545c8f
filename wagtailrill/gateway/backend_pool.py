"""Connections to one backend server and the exchange of requests on them."""

import asyncio
from collections.abc import Callable

import attrs

from ..core.request_models import AttemptOutcome, AttemptResult, BackendRequest
from .backend_connection import BackendConnection, ExchangeEnd, RawAnswer
from .const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_MAX_S,
    HOP_BY_HOP_HEADERS,
    RESPONSE_MAX_BYTES,
)
from .dialects import AnswerFields, BackendDialect

OnResult = Callable[[AttemptResult], None]

OUTCOME_BY_END = {
    ExchangeEnd.LOST: AttemptOutcome.LOST,
    ExchangeEnd.MALFORMED: AttemptOutcome.BAD_ANSWER,
}


@attrs.define(eq=False)
class RunningExchange:
    """A request in progress on a connection, or one that waits for a new connection."""

    order: BackendRequest
    started_s: float
    on_result: OnResult
    conn: BackendConnection | None = None
    task: asyncio.Task[None] | None = None
    fields: AnswerFields | None = None


class BackendPool:
    """Open connections to one backend server.

    The connection used last is taken first, so that those beyond need grow idle and
    are closed by their age.
    """

    def __init__(
        self,
        address: str,
        dialect: BackendDialect,
        response_max_bytes: int = RESPONSE_MAX_BYTES,
    ) -> None:
        self.address = address
        self.opened = 0
        self._dialect = dialect
        self._response_max_bytes = response_max_bytes
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._host_line = b"host: " + address.encode() + b"\r\n"
        self._idle: list[BackendConnection] = []
        self._busy: dict[int, RunningExchange] = {}
        self._generation = 0
        self._loop = asyncio.get_running_loop()

    @property
    def unused(self) -> bool:
        """Return whether there is no connection."""
        return not self._idle and not self._busy

    def exchange(self, order: BackendRequest, on_result: OnResult) -> None:
        """Send a request; `on_result` is called once, also when that fails."""
        running = RunningExchange(order, self._loop.time(), on_result)
        conn = self._take_idle()
        if conn is not None:
            self._busy[order.attempt_id] = running
            self._send(running, conn)
        elif order.connections_max and self._connections() >= order.connections_max:
            self._report(running, AttemptOutcome.CONNECT_FAILED)
        else:
            self._busy[order.attempt_id] = running
            running.task = self._loop.create_task(self._async_connect(running))

    async def async_check(self) -> bool:
        """Return whether a connection can be opened; it is kept."""
        conn = await self._async_open(CONNECT_TIMEOUT_S)
        if conn is None:
            return False
        self._idle.insert(0, conn)
        return True

    def has_connection_from_before(self, time_s: float) -> bool:
        """Return whether a connection is open that was opened before a loop time."""
        busy = (running.conn for running in self._busy.values())
        return any(
            conn is not None and conn.open and conn.opened_s < time_s
            for conn in (*self._idle, *busy)
        )

    def cancel(self, attempt_id: int) -> None:
        """Abandon a request; its connection is closed."""
        running = self._busy.pop(attempt_id, None)
        if running is None:
            return
        if running.task is not None:
            running.task.cancel()
        if running.conn is not None:
            running.conn.drop()
        self._report(running, AttemptOutcome.CANCELLED)

    def close_idle(self) -> None:
        """Close idle connections, and busy ones after their exchange."""
        self._generation += 1
        while self._idle:
            self._idle.pop().drop()

    def drop_expired(self) -> None:
        """Close idle connections that may be closed by the server soon."""
        now_s = self._loop.time()
        for conn in [conn for conn in self._idle if not _usable(conn, now_s)]:
            self._idle.remove(conn)
            conn.drop()

    def _connections(self) -> int:
        return len(self._idle) + len(self._busy)

    def _take_idle(self) -> BackendConnection | None:
        now_s = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            if _usable(conn, now_s):
                return conn
            conn.drop()
        return None

    async def _async_connect(self, running: RunningExchange) -> None:
        conn = await self._async_open(min(CONNECT_TIMEOUT_S, running.order.timeout_s))
        running.task = None
        if conn is None:
            self._busy.pop(running.order.attempt_id, None)
            self._report(running, AttemptOutcome.CONNECT_FAILED)
        else:
            self._send(running, conn)

    async def _async_open(self, timeout_s: float) -> BackendConnection | None:
        conn = BackendConnection(self._response_max_bytes, self._idle_closed)
        conn.generation = self._generation
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.create_connection(lambda: conn, self._host, self._port)
        except OSError:  # includes TimeoutError
            return None
        self.opened += 1
        conn.used_s = conn.opened_s = self._loop.time()
        return conn if conn.open else None

    def _send(self, running: RunningExchange, conn: BackendConnection) -> None:
        running.conn = conn
        order = running.order
        conn.send(
            self._encode(order),
            order.method == "HEAD",
            lambda answer: self._belongs(running, answer),
            lambda end, answer: self._ended(running, conn, end, answer),
        )

    def _belongs(self, running: RunningExchange, answer: RawAnswer) -> bool:
        fields = self._dialect.read_answer(answer.status, answer.headers)
        running.fields = fields
        return (
            fields.caller_id is None
            or fields.caller_id == running.order.caller_request_id
        )

    def _ended(
        self,
        running: RunningExchange,
        conn: BackendConnection,
        end: ExchangeEnd,
        answer: RawAnswer | None,
    ) -> None:
        self._busy.pop(running.order.attempt_id, None)
        if answer is None or running.fields is None:
            self._report(running, OUTCOME_BY_END[end])
            return
        keep = not answer.closes and conn.open and conn.generation == self._generation
        if keep:
            self._idle.append(conn)
        elif conn.open:
            conn.drop()
        fields = running.fields
        foreign = fields.caller_id not in (None, running.order.caller_request_id)
        running.on_result(
            AttemptResult(
                attempt_id=running.order.attempt_id,
                outcome=AttemptOutcome.BAD_ANSWER if foreign else fields.outcome,
                latency_s=self._loop.time() - running.started_s,
                status=answer.status,
                headers=_caller_headers(answer),
                body=answer.body,
                start_id=fields.start_id,
                load=fields.load,
            )
        )

    def _idle_closed(self, conn: BackendConnection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)

    def _report(self, running: RunningExchange, outcome: AttemptOutcome) -> None:
        latency_s = self._loop.time() - running.started_s
        running.on_result(AttemptResult(running.order.attempt_id, outcome, latency_s))

    def _encode(self, order: BackendRequest) -> bytes:
        parts = [f"{order.method} {order.target} HTTP/1.1\r\n".encode("latin-1")]
        named_host = False
        for name, value in order.headers:
            if name == b"content-length":
                continue
            named_host |= name == b"host"
            parts.append(name + b": " + value + b"\r\n")
        if not named_host:
            parts.append(self._host_line)
        for name, value in self._dialect.order_headers(order):
            parts.append(name + b": " + value + b"\r\n")
        if order.body or order.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            parts.append(b"content-length: %d\r\n" % len(order.body))
        parts.append(b"\r\n")
        parts.append(order.body)
        return b"".join(parts)


def _usable(conn: BackendConnection, now_s: float) -> bool:
    return (
        conn.open
        and now_s < conn.usable_until_s
        and now_s - conn.used_s < CONNECTION_IDLE_MAX_S
    )


def _caller_headers(answer: RawAnswer) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in answer.headers
        if name not in HOP_BY_HOP_HEADERS and name != b"content-length"
    )
