"""Drives a router: hands it events and carries out its commands."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs
import structlog
from expression import Error, Ok

from ..core.commands import (
    AnswerRequest,
    CallBackend,
    CallStore,
    CancelAttempt,
    CloseConnections,
    Command,
    LogEvent,
    RefuseRequest,
    ReplayAnswer,
    SendBackendRequest,
    SendPeer,
)
from ..core.events import (
    AttemptEnded,
    BackendReplied,
    CallerLeft,
    Event,
    RequestArrived,
    StoreReplied,
)
from ..core.refusals import MayHaveRun, Refusal, RefusalCode
from ..core.request_models import (
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
    CallerRequest,
)
from ..gateway.backend_pool import BackendPool
from ..gateway.caller_protocol import Exchange
from ..gateway.dialects import (
    BackendDialect,
    CallerAnswer,
    CallerDialect,
    ControlDialect,
)
from ..observability.metrics import Metrics
from ..observability.tracer import CallerSpan, HopSpan, Tracing
from ..peer.link import PeerLink
from ..servers.control import (
    CheckReachable,
    CheckSameProcess,
    ControlError,
    ControlErrorKind,
    ControlResult,
    Reachable,
)
from ..store.models import Store

INTERNAL_ERROR = Refusal(
    RefusalCode.INTERNAL_ERROR,
    "The request could not be handled; see the instance's log.",
    MayHaveRun.UNKNOWN,
)
# The end of a server's other connections is known this long after the first.
CRASH_NOTICE_S = 0.04
CONTROL_HEADERS = ((b"content-type", b"application/json"),)
_LOG = structlog.get_logger()


def now_s() -> float:
    """Return the seconds since the machine's start.

    This clock goes on while the machine is suspended, so that leases end in time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Decisions(Protocol):
    """Decision code of one instance."""

    def start(self, now_s: float, wall_s: float) -> list[Command]:
        """Return the first commands."""
        ...

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers."""
        ...

    def next_due_s(self) -> float | None:
        """Return the time of the next timer."""
        ...

    def address_of(self, backend_server: str) -> str | None:
        """Return the address of a backend server."""
        ...


@attrs.frozen
class DriverParts:
    """What the driver connects."""

    decisions: Decisions
    store: Store
    callers: CallerDialect
    backends: BackendDialect
    control: ControlDialect
    transport: PeerLink
    metrics: Metrics
    tracing: Tracing
    log: Callable[[LogEvent], None]


@attrs.define(eq=False, slots=True)
class OpenRequest:
    """A caller's request that waits for its answer."""

    exchange: Exchange
    caller_id: str
    started_s: float
    span: CallerSpan


@attrs.define(eq=False, slots=True)
class RunningAttempt:
    """A request to a backend server that is in progress."""

    pool: BackendPool
    span: HopSpan


class Driver:
    """Runs one router on the event loop; implements the gateway's `RequestHandler`."""

    def __init__(self, parts: DriverParts) -> None:
        self.pools: dict[str, BackendPool] = {}
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._open: dict[int, OpenRequest] = {}
        self._running: dict[int, RunningAttempt] = {}
        self._results: dict[int, AttemptResult] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[type, Callable[[Any], None]] = {
            SendPeer: lambda command: parts.transport.send(command.envelope),
            CallStore: self._call_store,
            CallBackend: self._call_backend,
            SendBackendRequest: self._send_order,
            CancelAttempt: self._cancel_attempt,
            CloseConnections: self._close_connections,
            RefuseRequest: self._refuse,
            AnswerRequest: self._answer,
            ReplayAnswer: self._replay,
            LogEvent: parts.log,
        }

    def start(self) -> None:
        """Start the router."""
        commands = self._parts.decisions.start(now_s(), time.time())
        self._carry_out(commands)
        self._arm_timer()

    def open_requests(self) -> int:
        """Return the number of callers that wait for an answer."""
        return len(self._open)

    def dispatch(self, event: Event | None) -> bool:
        """Hand an event to the router and carry out its commands.

        Return whether the router handled it.
        """
        decisions = self._parts.decisions
        try:
            commands = decisions.step(event, now_s(), time.time())
        except Exception:
            _LOG.exception("step_failed", event_type=type(event).__name__)
            self._parts.metrics.record_failed_step(type(event).__name__)
            self._arm_timer()
            return False
        self._carry_out(commands)
        self._arm_timer()
        return True

    def request_arrived(self, req: CallerRequest, exchange: Exchange) -> None:
        """Run a request; its answer goes to the exchange."""
        self._open[req.request_id] = OpenRequest(
            exchange,
            req.caller_request_id,
            self._loop.time(),
            self._parts.tracing.start_request(req),
        )
        if not self.dispatch(RequestArrived(req)):
            self._refuse(RefuseRequest(req.request_id, INTERNAL_ERROR))

    def caller_left(self, request_id: int) -> None:
        """Tell the router that a caller closed its connection."""
        if self._open.pop(request_id, None) is not None:
            self.dispatch(CallerLeft(request_id))

    def drop_expired_connections(self) -> None:
        """Close idle connections that may be closed by their server soon."""
        for name, pool in list(self.pools.items()):
            pool.drop_expired()
            if pool.unused and self._parts.decisions.address_of(name) is None:
                del self.pools[name]

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            self._handlers[type(command)](command)

    def _arm_timer(self) -> None:
        due_s = self._parts.decisions.next_due_s()
        if self._timer is not None:
            if due_s is not None and self._timer_due_s <= due_s:
                return
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            self._timer_due_s = due_s
            delay_s = max(0.0, due_s - now_s())
            self._timer = self._loop.call_later(delay_s, self._run_timers)

    def _run_timers(self) -> None:
        self._timer = None
        self.dispatch(None)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call_store(self, command: CallStore) -> None:
        self._spawn(self._async_call_store(command))

    async def _async_check(self, command: CallBackend) -> None:
        pool = self._pool(command.backend_server)
        result: ControlResult = Error(ControlError(ControlErrorKind.NOT_SENT))
        if pool is not None and await pool.async_check():
            result = Ok(Reachable())
        self.dispatch(BackendReplied(command.call_id, result))

    def _check_same_process(self, command: CallBackend) -> None:
        opened_before_s = self._loop.time()

        def check() -> None:
            pool = self.pools.get(command.backend_server)
            result: ControlResult = Error(ControlError(ControlErrorKind.NO_ANSWER))
            if pool is not None and pool.has_connection_from_before(opened_before_s):
                result = Ok(Reachable())
            self.dispatch(BackendReplied(command.call_id, result))

        self._loop.call_later(CRASH_NOTICE_S, check)

    async def _async_call_store(self, command: CallStore) -> None:
        result = await self._parts.store.async_call(command.operation)
        self._parts.metrics.record_store_call(
            type(command.operation).__name__,
            "ok" if result.is_ok() else result.error.kind.value,
        )
        self.dispatch(StoreReplied(command.call_id, result))

    def _call_backend(self, command: CallBackend) -> None:
        operation = command.operation
        if isinstance(operation, CheckReachable):
            self._spawn(self._async_check(command))
            return
        if isinstance(operation, CheckSameProcess):
            self._check_same_process(command)
            return
        call = self._parts.control.encode(operation)
        # Attempts have positive numbers.
        attempt_id = -command.call_id
        order = BackendRequest(
            attempt_id=attempt_id,
            request_id=0,
            backend_server=command.backend_server,
            method="POST",
            target=call.target,
            headers=CONTROL_HEADERS,
            body=call.body,
            expires_unix_s=0.0,
            timeout_s=call.timeout_s,
        )
        pool = self._pool(command.backend_server)

        def ended(result: AttemptResult) -> None:
            timeout.cancel()
            decoded = self._parts.control.decode(operation, result)
            self._parts.metrics.record_control_call(
                type(operation).__name__,
                "ok" if decoded.is_ok() else decoded.error.kind.value,
            )
            self.dispatch(BackendReplied(command.call_id, decoded))

        if pool is None:
            timeout = self._loop.call_soon(
                lambda: ended(
                    AttemptResult(attempt_id, AttemptOutcome.CONNECT_FAILED, 0.0)
                )
            )
            return
        timeout = self._loop.call_later(call.timeout_s, pool.cancel, attempt_id)
        pool.exchange(order, ended)

    def _send_order(self, command: SendBackendRequest) -> None:
        order = command.request
        pool = self._pool(order.backend_server)
        if pool is None:
            result = AttemptResult(order.attempt_id, AttemptOutcome.CONNECT_FAILED, 0.0)
            self._loop.call_soon(self._attempt_ended, result)
            return
        request = self._open.get(order.request_id)
        span = self._parts.tracing.start_attempt(
            request.span if request is not None else None, order
        )
        if span.headers:
            order = attrs.evolve(order, headers=(*order.headers, *span.headers))
        self._running[order.attempt_id] = RunningAttempt(pool, span)
        pool.exchange(order, self._attempt_ended)

    def _attempt_ended(self, result: AttemptResult) -> None:
        running = self._running.pop(result.attempt_id, None)
        if running is not None:
            running.span.end(result)
        self._parts.metrics.record_attempt(result.outcome.value, result.latency_s)
        self._results[result.attempt_id] = result
        self.dispatch(AttemptEnded(result))
        self._results.pop(result.attempt_id, None)

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        running = self._running.get(command.attempt_id)
        if running is not None:
            self._loop.call_soon(running.pool.cancel, command.attempt_id)

    def _pool(self, backend_server: str) -> BackendPool | None:
        address = self._parts.decisions.address_of(backend_server)
        if address is None:
            return None
        pool = self.pools.get(backend_server)
        if pool is None or pool.address != address:
            pool = BackendPool(address, self._parts.backends)
            self.pools[backend_server] = pool
        return pool

    def _close_connections(self, command: CloseConnections) -> None:
        pool = self.pools.get(command.backend_server)
        if pool is not None:
            pool.close_idle()

    def _refuse(self, command: RefuseRequest) -> None:
        refusal = command.refusal
        request = self._open.get(command.request_id)
        if request is not None:
            answer = self._parts.callers.refusal(refusal, request.caller_id)
            self._settle(command.request_id, answer, refusal.code.value)

    def _answer(self, command: AnswerRequest) -> None:
        result = self._results[command.attempt_id]
        answer = CallerAnswer(result.status, result.headers, result.body)
        self._settle(command.request_id, answer, "answered")

    def _replay(self, command: ReplayAnswer) -> None:
        answer = CallerAnswer(command.status, command.headers, command.body)
        self._settle(command.request_id, answer, "replayed")

    def _settle(self, request_id: int, answer: CallerAnswer, code: str) -> None:
        request = self._open.pop(request_id, None)
        if request is None:
            return
        elapsed_s = self._loop.time() - request.started_s
        self._parts.metrics.record_answer(answer.status, code, elapsed_s)
        request.span.end(answer.status, code)
        request.exchange.settle(answer)
