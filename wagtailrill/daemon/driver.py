"""Drives an engine: hands it events and carries out its commands."""

import time
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import attrs
import structlog
from anyio.abc import TaskGroup
from expression import Error

from ..core.backend import (
    BackendError,
    BackendErrorKind,
    BackendResult,
    BackendServers,
)
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
    SendOrder,
    SendPeer,
)
from ..core.events import (
    AttemptEnded,
    BackendReplied,
    CallerLeft,
    ConnectionClosed,
    Event,
    RequestArrived,
    StoreReplied,
)
from ..core.orders import AttemptOutcome, AttemptResult, CallerRequest, Order
from ..core.refusals import Ran, Refusal, RefusalCode
from ..gateway.application import CallerAnswer, refusal_answer
from ..gateway.connections import BackendConnections
from ..gateway.control import BackendControl
from ..observability.metrics import Metrics
from ..observability.tracing import NOT_SAMPLED, AttemptSpan, RequestSpan, Tracing
from ..peer.link import PeerLink
from ..platform.models import PlatformStore
from ..settings.models import Limits

TIMER_RESOLUTION_S = 0.002
INTERNAL_ERROR = Refusal(
    RefusalCode.INTERNAL_ERROR,
    "The request could not be handled; see the instance's log.",
    Ran.UNKNOWN,
)
_LOG = structlog.get_logger()


class Engine(Protocol):
    """Decision code of one instance."""

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers."""
        ...

    def next_due_s(self) -> float | None:
        """Return the time of the next timer."""
        ...


@attrs.define(eq=False)
class PendingRequest:
    """A caller's request that waits for its answer."""

    req: CallerRequest
    span: RequestSpan
    started_s: float
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    answer: CallerAnswer | None = None
    code: str = "answered"


@attrs.define(eq=False)
class RunningAttempt:
    """An order that is being exchanged."""

    order: Order
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    started_s: float = attrs.field(factory=anyio.current_time)
    cancelled: bool = False
    result: AttemptResult | None = None


@attrs.frozen
class DriverParts:
    """What the driver connects; `address_of` names the address of a backend server."""

    engine: Engine
    store: PlatformStore
    transport: PeerLink
    metrics: Metrics
    tracing: Tracing
    log: Callable[[LogEvent], None]
    address_of: Callable[[str], str | None]
    limits: Limits


class Driver:
    """Runs one engine on the event loop; implements the gateway's `RequestHandler`."""

    def __init__(self, parts: DriverParts) -> None:
        self.connections: dict[str, BackendConnections] = {}
        self._parts = parts
        self._control: BackendServers = BackendControl()
        self._tasks: TaskGroup | None = None
        self._pending: dict[int, PendingRequest] = {}
        self._running: dict[int, RunningAttempt] = {}
        self._results: dict[int, AttemptResult] = {}
        self._inline_request = 0
        self._inline_order: Order | None = None
        self._wake = anyio.Event()
        self._wake_s = 0.0
        self._handlers: dict[type, Callable[[Any], None]] = {
            SendPeer: lambda command: parts.transport.send(command.envelope),
            CallStore: lambda command: self._spawn(self._async_call_store, command),
            CallBackend: lambda command: self._spawn(self._async_call_backend, command),
            SendOrder: self._send_order,
            CancelAttempt: self._cancel_attempt,
            CloseConnections: self._close_connections,
            RefuseRequest: self._refuse,
            AnswerRequest: self._answer,
            ReplayAnswer: self._replay,
            LogEvent: parts.log,
        }

    def open_requests(self) -> int:
        """Return the number of callers that wait for an answer."""
        return len(self._pending)

    def dispatch(self, event: Event | None) -> bool:
        """Hand an event to the engine and carry out its commands.

        Return whether the engine handled it.
        """
        engine = self._parts.engine
        try:
            commands = engine.step(event, time.monotonic(), time.time())
        except Exception:
            # One request or peer message must not end the process, since the same
            # one would then end all others too.
            self._parts.metrics.count_failed_step(type(event).__name__)
            _LOG.exception("step_failed", event_type=type(event).__name__)
            return False
        for command in commands:
            self._handlers[type(command)](command)
        due_s = engine.next_due_s()
        if due_s is not None and due_s < self._wake_s - TIMER_RESOLUTION_S:
            self._wake.set()
        return True

    async def async_run(self, tg: TaskGroup) -> None:
        """Run the engine's timers until cancelled."""
        self._tasks = tg
        while True:
            self.dispatch(None)
            due_s = self._parts.engine.next_due_s()
            now_s = time.monotonic()
            self._wake_s = max(due_s or now_s + 1.0, now_s + TIMER_RESOLUTION_S)
            self._wake = anyio.Event()
            with anyio.move_on_after(self._wake_s - now_s):
                await self._wake.wait()

    async def async_handle(self, req: CallerRequest) -> CallerAnswer:
        """Run a request through the engine and return its answer.

        The first attempt runs in this task, which saves a task per request.
        """
        span = self._parts.tracing.start_request(req)
        pending = PendingRequest(req, span, time.monotonic())
        self._pending[req.request_id] = pending
        self._inline_request = req.request_id
        if not self.dispatch(RequestArrived(req)):
            self._refuse(RefuseRequest(req.request_id, INTERNAL_ERROR))
        self._inline_request = 0
        order, self._inline_order = self._inline_order, None
        try:
            if order is not None:
                await self._async_attempt(order)
            # Waiting for an event that is set would cost a turn of the event loop.
            if pending.answer is None:
                await pending.answered.wait()
        finally:
            self._pending.pop(req.request_id, None)
        answer = pending.answer
        assert answer is not None
        elapsed_s = time.monotonic() - pending.started_s
        self._parts.metrics.record_request(answer.status, pending.code, elapsed_s)
        span.end(answer.status, pending.code)
        return answer

    def caller_left(self, request_id: int) -> None:
        """Tell the engine that a caller closed its connection."""
        self.dispatch(CallerLeft(request_id))
        self._settle(request_id, CallerAnswer(499, (), b""), "caller_left")

    async def async_close_unusable(self, interval_s: float) -> None:
        """Close idle connections that are closed by the server or too old."""
        while True:
            await anyio.sleep(interval_s)
            for connections in list(self.connections.values()):
                closed = await connections.async_drop_unusable()
                for _ in range(closed):
                    self.dispatch(ConnectionClosed(connections.name))
                unused = not connections.idle and not connections.busy
                if unused and self._parts.address_of(connections.name) is None:
                    self.connections.pop(connections.name, None)

    def _spawn(self, function: Callable[..., Any], *args: Any) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    async def _async_call_store(self, command: CallStore) -> None:
        self._parts.metrics.count_store_call(type(command.operation).__name__)
        result = await self._parts.store.async_call(command.operation)
        self.dispatch(StoreReplied(command.call_id, result))

    async def _async_call_backend(self, command: CallBackend) -> None:
        address = self._parts.address_of(command.backend_server)
        result: BackendResult = Error(BackendError(BackendErrorKind.UNREACHABLE))
        if address is not None:
            result = await self._control.async_call(address, command.operation)
        self.dispatch(BackendReplied(command.call_id, result))

    def _send_order(self, command: SendOrder) -> None:
        if command.order.request_id == self._inline_request:
            self._inline_order = command.order
            self._inline_request = 0
        else:
            self._spawn(self._async_attempt, command.order)

    async def _async_attempt(self, order: Order) -> None:
        running = RunningAttempt(order)
        self._running[order.attempt_id] = running
        pending = self._pending.get(order.request_id)
        request_span = pending.span if pending else NOT_SAMPLED
        span = self._parts.tracing.start_attempt(request_span, order)
        connections = self._connections_to(order.backend_server)
        if connections is None:
            running.result = AttemptResult(
                order.attempt_id, AttemptOutcome.CONNECT_FAILED, 0.0
            )
        else:
            await self._async_exchange(running, connections, span)
        del self._running[order.attempt_id]
        assert running.result is not None
        self._end_attempt(running.result, span)

    async def _async_exchange(
        self,
        running: RunningAttempt,
        connections: BackendConnections,
        span: AttemptSpan,
    ) -> None:
        order = running.order
        running.scope.deadline = anyio.current_time() + order.timeout_s
        with running.scope:
            try:
                running.result = await connections.async_exchange(order, span.headers)
            except Exception:
                _LOG.exception("exchange_failed", attempt_id=order.attempt_id)
                running.result = AttemptResult(
                    order.attempt_id, AttemptOutcome.LOST, 0.0
                )
        if running.result is None:
            running.result = await self._async_abandon(running, connections)

    def _end_attempt(self, result: AttemptResult, span: AttemptSpan) -> None:
        span.end(result)
        self._results[result.attempt_id] = result
        self.dispatch(AttemptEnded(result))
        self._results.pop(result.attempt_id, None)

    async def _async_abandon(
        self, running: RunningAttempt, connections: BackendConnections
    ) -> AttemptResult:
        order = running.order
        if running.cancelled:
            return AttemptResult(order.attempt_id, AttemptOutcome.CANCELLED, 0.0)
        latency_s = anyio.current_time() - running.started_s
        await connections.async_drop_unproven(order.timeout_s)
        return AttemptResult(order.attempt_id, AttemptOutcome.TIMED_OUT, latency_s)

    def _connections_to(self, backend_server: str) -> BackendConnections | None:
        """Return the connections to a server, None if it is not configured."""
        address = self._parts.address_of(backend_server)
        if address is None:
            return None
        connections = self.connections.get(backend_server)
        if connections is None or connections.address != address:
            connections = BackendConnections(
                backend_server, address, self._parts.limits.response_max_bytes
            )
            self.connections[backend_server] = connections
        return connections

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        running = self._running.get(command.attempt_id)
        if running is not None:
            running.cancelled = True
            running.scope.cancel()

    def _close_connections(self, command: CloseConnections) -> None:
        connections = self.connections.get(command.backend_server)
        if connections is not None:
            self._spawn(connections.async_close_idle, command.count)

    def _refuse(self, command: RefuseRequest) -> None:
        refusal = command.refusal
        answer = refusal_answer(refusal)
        self._settle(command.request_id, answer, refusal.code.value)

    def _answer(self, command: AnswerRequest) -> None:
        result = self._results[command.attempt_id]
        answer = CallerAnswer(result.status, result.headers, result.body)
        self._settle(command.request_id, answer, "answered")

    def _replay(self, command: ReplayAnswer) -> None:
        answer = CallerAnswer(command.status, command.headers, command.body)
        self._settle(command.request_id, answer, "replayed")

    def _settle(self, request_id: int, answer: CallerAnswer, code: str) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and pending.answer is None:
            pending.answer, pending.code = answer, code
            pending.answered.set()
