"""Pool of connections to one backend server, and the requests in progress on them.

The driver keeps one pool for each backend server.
"""

import asyncio
from collections.abc import Callable

import attrs

from ..core.request_models import (
    NO_NOTICE,
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
    DiscardedResponses,
    EchoedId,
    ResponseMarks,
    ServerNotice,
)
from .backend_connection import BackendConnection, ExchangeEnd, RawResponse
from .body_memory import BodyMemory
from .const import (
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_MAX_S,
    CONTROL_RESPONSE_MAX_BYTES,
    HOP_BY_HOP_HEADERS,
    REFUSALS_PER_CONNECTION_MAX,
    RESPONSE_MAX_BYTES,
)
from .dialects import BackendDialect, ResponseFields

ResultCallback = Callable[[AttemptResult], None]

OUTCOME_BY_END = {
    ExchangeEnd.LOST: AttemptOutcome.LOST,
    ExchangeEnd.MALFORMED: AttemptOutcome.BAD_ANSWER,
    ExchangeEnd.NO_MEMORY: AttemptOutcome.NO_MEMORY,
}


@attrs.define(eq=False)
class RunningExchange:
    """A request in progress on a connection, or one that waits for a new connection."""

    request: BackendRequest
    started_s: float
    on_result: ResultCallback
    conn: BackendConnection | None = None
    connect_task: asyncio.Task[None] | None = None
    fields: ResponseFields | None = None
    marks: ResponseMarks | None = None
    may_get_extra_answer: bool = False
    discarded: DiscardedResponses | None = None
    notice: ServerNotice = NO_NOTICE

    def is_answered_by(self, fields: ResponseFields) -> bool:
        """Return whether a response may be the answer to this request.

        One without an id may be an extra answer to an earlier request without one.
        """
        if fields.echoed_id is EchoedId.ABSENT and self.request.caller_request_id:
            return fields.belongs_to_request and not self.may_get_extra_answer
        return fields.belongs_to_request

    def record_response(self, status: int, fields: ResponseFields) -> None:
        """Record a response as the answer, or count it as discarded.

        What the server says in it about requests to come counts in any case.
        """
        self.notice = self.notice.merge(fields.notice)
        marks = ResponseMarks(status, fields.is_signed, fields.echoed_id)
        self.fields, self.marks = fields, marks
        is_answer = fields.outcome is not AttemptOutcome.BAD_ANSWER
        if not (is_answer and self.is_answered_by(fields)):
            first, count = marks, 0
            if self.discarded is not None:
                first, count = self.discarded.first, self.discarded.count
            self.discarded = DiscardedResponses(first, count + 1)


class BackendPool:
    """Open connections to one backend server.

    Requests take the most recently used idle connection, so that surplus ones stay
    idle until they expire. `close_connections` starts a new generation; connections of
    an earlier one are not reused.
    """

    def __init__(
        self,
        address: str,
        dialect: BackendDialect,
        response_max_bytes: int = RESPONSE_MAX_BYTES,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        memory: BodyMemory | None = None,
    ) -> None:
        self.address = address
        self.opened_count = 0
        self._dialect = dialect
        self._response_max_bytes = response_max_bytes
        self._connect_timeout_s = connect_timeout_s
        self._memory = memory or BodyMemory()
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._host_line = b"host: " + address.encode() + b"\r\n"
        self._idle_connections: list[BackendConnection] = []
        self._running_exchanges: dict[int, RunningExchange] = {}
        self._generation = 0
        self._loop = asyncio.get_running_loop()

    @property
    def is_empty(self) -> bool:
        """Return whether the pool has neither connections nor requests."""
        return not self._idle_connections and not self._running_exchanges

    def send_request(self, request: BackendRequest, on_result: ResultCallback) -> None:
        """Send a request; `on_result` is called once, also if sending fails."""
        exchange = RunningExchange(request, self._loop.time(), on_result)
        conn = self._take_idle_connection(request)
        if conn is not None:
            self._running_exchanges[request.attempt_id] = exchange
            self._send_on_connection(exchange, conn)
        elif (
            request.connections_max
            and self._count_connections() >= request.connections_max
            and not self._close_oldest_idle_connection()
        ):
            self._report_outcome(exchange, AttemptOutcome.CONNECT_FAILED)
        else:
            self._running_exchanges[request.attempt_id] = exchange
            exchange.connect_task = self._loop.create_task(
                self._async_connect(exchange)
            )

    async def async_check_reachable(self) -> bool:
        """Return whether a new connection could be opened, and keep it as idle."""
        conn = await self._async_open_connection(self._connect_timeout_s)
        if conn is None:
            return False
        self._idle_connections.insert(0, conn)
        return True

    def has_connection_opened_before(self, time_s: float) -> bool:
        """Return whether a connection opened before `time_s` (loop time) is open."""
        busy_connections = (
            exchange.conn for exchange in self._running_exchanges.values()
        )
        return any(
            conn is not None and conn.is_open and conn.opened_s < time_s
            for conn in (*self._idle_connections, *busy_connections)
        )

    def cancel_attempt(self, attempt_id: int) -> None:
        """Cancel a request, close its connection and report `CANCELLED`."""
        exchange = self._running_exchanges.pop(attempt_id, None)
        if exchange is None:
            return
        if exchange.connect_task is not None:
            exchange.connect_task.cancel()
        if exchange.conn is not None:
            exchange.conn.abort()
        self._report_outcome(exchange, AttemptOutcome.CANCELLED)

    def close_connections(self) -> None:
        """Close idle connections now, and busy ones after their exchange."""
        self._generation += 1
        while self._idle_connections:
            self._idle_connections.pop().abort()

    def close_expired_connections(self) -> None:
        """Close idle connections past their idle limit or keep-alive timeout."""
        now_s = self._loop.time()
        for conn in [
            conn for conn in self._idle_connections if not _is_usable(conn, now_s)
        ]:
            self._idle_connections.remove(conn)
            conn.abort()

    def _count_connections(self) -> int:
        return len(self._idle_connections) + len(self._running_exchanges)

    def _close_oldest_idle_connection(self) -> bool:
        """Make room for a connection; return whether there was an idle one to close."""
        if not self._idle_connections:
            return False
        self._idle_connections.pop(0).abort()
        return True

    def _take_idle_connection(
        self, request: BackendRequest
    ) -> BackendConnection | None:
        """Return an idle connection on which the answer to a request is certain."""
        now_s = self._loop.time()
        for index in reversed(range(len(self._idle_connections))):
            conn = self._idle_connections[index]
            if request.needs_certain_answer and conn.may_get_extra_answer:
                continue
            if request.caller_request_id in conn.refused_request_ids:
                continue
            del self._idle_connections[index]
            if _is_usable(conn, now_s):
                return conn
            conn.abort()
        return None

    async def _async_connect(self, exchange: RunningExchange) -> None:
        conn = await self._async_open_connection(
            min(self._connect_timeout_s, exchange.request.timeout_s)
        )
        exchange.connect_task = None
        if conn is not None and self._is_late(exchange):
            conn.abort()
            conn = None
        if conn is None:
            self._running_exchanges.pop(exchange.request.attempt_id, None)
            self._report_outcome(exchange, AttemptOutcome.CONNECT_FAILED)
        else:
            self._send_on_connection(exchange, conn)

    def _is_late(self, exchange: RunningExchange) -> bool:
        """Return whether the time of a request has passed before it was sent."""
        return self._loop.time() - exchange.started_s >= exchange.request.timeout_s

    async def _async_open_connection(
        self, timeout_s: float
    ) -> BackendConnection | None:
        conn = BackendConnection(
            self._response_max_bytes, self._remove_idle_connection, self._memory
        )
        conn.generation = self._generation
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.create_connection(lambda: conn, self._host, self._port)
        except OSError:  # includes TimeoutError
            return None
        self.opened_count += 1
        conn.last_used_s = conn.opened_s = self._loop.time()
        return conn if conn.is_open else None

    def _send_on_connection(
        self, exchange: RunningExchange, conn: BackendConnection
    ) -> None:
        exchange.conn = conn
        request = exchange.request
        exchange.may_get_extra_answer = conn.may_get_extra_answer
        conn.may_get_extra_answer = not request.caller_request_id
        response_max_bytes = self._response_max_bytes
        if request.is_control_call:
            response_max_bytes = min(response_max_bytes, CONTROL_RESPONSE_MAX_BYTES)
        conn.send_request(
            self._encode_head(request),
            request.method == "HEAD",
            lambda response: self._matches_request(exchange, response),
            lambda end, response: self._finish_exchange(exchange, conn, end, response),
            request.body,
            response_max_bytes,
        )

    def _matches_request(
        self, exchange: RunningExchange, response: RawResponse
    ) -> bool:
        fields = self._dialect.parse_response(
            exchange.request, response.status, response.headers
        )
        exchange.record_response(response.status, fields)
        return exchange.is_answered_by(fields)

    def _finish_exchange(
        self,
        exchange: RunningExchange,
        conn: BackendConnection,
        end: ExchangeEnd,
        response: RawResponse | None,
    ) -> None:
        self._running_exchanges.pop(exchange.request.attempt_id, None)
        if response is None or exchange.fields is None:
            self._report_outcome(exchange, OUTCOME_BY_END[end])
            return
        fields = exchange.fields
        is_own = exchange.is_answered_by(fields)
        outcome = fields.outcome if is_own else AttemptOutcome.BAD_ANSWER
        request_id = exchange.request.caller_request_id
        if request_id and outcome is not AttemptOutcome.ANSWERED:
            conn.refused_request_ids.add(request_id)
        may_reuse = outcome is not AttemptOutcome.BAD_ANSWER
        if may_reuse and not response.closes_connection and self._is_reusable(conn):
            self._idle_connections.append(conn)
        elif conn.is_open:
            conn.abort()
        exchange.on_result(
            AttemptResult(
                attempt_id=exchange.request.attempt_id,
                outcome=outcome,
                latency_s=self._loop.time() - exchange.started_s,
                status=response.status,
                headers=_select_end_to_end_headers(response),
                body=response.body,
                start_id=fields.start_id,
                load=fields.load,
                notice=exchange.notice,
                marks=exchange.marks,
                discarded=exchange.discarded,
                may_be_extra=exchange.may_get_extra_answer
                and fields.echoed_id is EchoedId.ABSENT,
            )
        )

    def _is_reusable(self, conn: BackendConnection) -> bool:
        return (
            conn.is_open
            and conn.generation == self._generation
            and len(conn.refused_request_ids) < REFUSALS_PER_CONNECTION_MAX
        )

    def _remove_idle_connection(self, conn: BackendConnection) -> None:
        if conn in self._idle_connections:
            self._idle_connections.remove(conn)

    def _report_outcome(
        self, exchange: RunningExchange, outcome: AttemptOutcome
    ) -> None:
        latency_s = self._loop.time() - exchange.started_s
        exchange.on_result(
            AttemptResult(
                exchange.request.attempt_id,
                outcome,
                latency_s,
                notice=exchange.notice,
                discarded=exchange.discarded,
                sent=exchange.conn is not None,
            )
        )

    def _encode_head(self, request: BackendRequest) -> bytes:
        parts = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
        has_host = False
        for name, value in request.headers:
            if name == b"content-length":
                continue
            has_host |= name == b"host"
            parts.append(name + b": " + value + b"\r\n")
        if not has_host:
            parts.append(self._host_line)
        for name, value in self._dialect.build_request_headers(request):
            parts.append(name + b": " + value + b"\r\n")
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            parts.append(b"content-length: %d\r\n" % len(request.body))
        parts.append(b"\r\n")
        return b"".join(parts)


def _is_usable(conn: BackendConnection, now_s: float) -> bool:
    return (
        conn.is_open
        and now_s < conn.usable_until_s
        and now_s - conn.last_used_s < CONNECTION_IDLE_MAX_S
    )


def _select_end_to_end_headers(
    response: RawResponse,
) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in response.headers
        if name not in HOP_BY_HOP_HEADERS and name != b"content-length"
    )
