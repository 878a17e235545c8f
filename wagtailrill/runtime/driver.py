"""Runs a router on the event loop: passes it events and executes its commands.

Used by the process of an instance and, for callers' requests, by the gateway.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs
import structlog

from ..core.commands import (
    AnswerRequest,
    CallBackend,
    CallStore,
    CancelAttempt,
    CancelStoreCall,
    CloseConnections,
    Command,
    LogEvent,
    RecordConfigurationDelay,
    RefuseRequest,
    ReplayAnswer,
    SendBackendRequest,
    SendPeer,
)
from ..core.events import (
    AttemptEnded,
    CallerLeft,
    Event,
    RequestArrived,
    StoreReplied,
)
from ..core.log_events import LogName
from ..core.refusals import MayHaveRun, Refusal, RefusalCode
from ..core.request_models import AttemptOutcome, AttemptResult, CallerRequest
from ..gateway.backend_pool import BackendPool
from ..gateway.body_memory import BodyMemory
from ..gateway.caller_exchange import Exchange, RefusedInput
from ..gateway.dialects import (
    BackendDialect,
    CallerDialect,
    CallerResponse,
    ControlDialect,
)
from ..observability.metrics import Metrics
from ..observability.tracer import CallerSpan, HopSpan, Tracing
from ..peer.link import PeerLink
from ..store.models import Store
from .backend_calls import BackendCallParts, BackendCalls
from .backend_pools import BackendPools, ServerAddresses
from .refused_input import make_refused_input_event

INTERNAL_ERROR_REFUSAL = Refusal(
    RefusalCode.INTERNAL_ERROR,
    "The request could not be handled; see the instance's log.",
    MayHaveRun.UNKNOWN,
)
_LOG = structlog.get_logger()


def read_clock_s() -> float:
    """Return the seconds since the machine was started.

    This clock also counts the time in which the machine is suspended, so that leases
    expire on time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventDrivenRouter(ServerAddresses, Protocol):
    """Router of one instance, without input and output of its own.

    `now_s` is monotonic time and `wall_s` Unix time, both in seconds.
    """

    def start(self, now_s: float, wall_s: float) -> list[Command]:
        """Start the router; return the first commands to execute."""
        ...

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event, if any, and due timers; return the commands to execute."""
        ...

    def get_next_due_s(self) -> float | None:
        """Return the monotonic time of the next timer in seconds, None without one."""
        ...


@attrs.frozen
class DriverParts:
    """Router, clients, message formats and observability that a driver connects."""

    router: EventDrivenRouter
    store: Store
    caller_dialect: CallerDialect
    backend_dialect: BackendDialect
    control_dialect: ControlDialect
    transport: PeerLink
    metrics: Metrics
    tracing: Tracing
    write_log: Callable[[LogEvent], None]
    memory: BodyMemory = attrs.field(factory=BodyMemory)


@attrs.define(eq=False, slots=True)
class OpenRequest:
    """A caller's request that has not been answered; `started_s` is event loop time.

    `caller_request_id` is the caller's own identifier of the request.
    """

    exchange: Exchange
    caller_request_id: str
    started_s: float
    span: CallerSpan


@attrs.define(eq=False, slots=True)
class RunningAttempt:
    """An attempt in progress, with its connection pool and trace span."""

    pool: BackendPool
    span: HopSpan


class Driver:
    """Runs one router on the event loop; implements the gateway's `RequestHandler`.

    `pools` holds the connections to the backend servers.
    """

    def __init__(self, parts: DriverParts) -> None:
        self.pools = BackendPools(parts.backend_dialect, parts.router, parts.memory)
        parts.memory.on_given_up = self._log_given_up_body
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._open_requests: dict[int, OpenRequest] = {}
        self._running_attempts: dict[int, RunningAttempt] = {}
        self._attempt_results: dict[int, AttemptResult] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._store_tasks: dict[int, asyncio.Task[None]] = {}
        self._backend_calls = BackendCalls(
            BackendCallParts(
                self.pools,
                parts.control_dialect,
                parts.metrics,
                parts.write_log,
                self._start_task,
                self.dispatch_event,
            )
        )
        self._command_handlers: dict[type, Callable[[Any], None]] = {
            SendPeer: lambda command: parts.transport.send(command.envelope),
            CallStore: self._call_store,
            CancelStoreCall: self._cancel_store_call,
            CallBackend: self._backend_calls.call_backend,
            SendBackendRequest: self._send_backend_request,
            CancelAttempt: self._cancel_attempt,
            CloseConnections: self._close_connections,
            RefuseRequest: self._refuse_request,
            AnswerRequest: self._answer_request,
            ReplayAnswer: self._replay_answer,
            RecordConfigurationDelay: self._record_configuration_delay,
            LogEvent: parts.write_log,
        }

    def start(self) -> None:
        """Start the router and execute its first commands."""
        commands = self._parts.router.start(read_clock_s(), time.time())
        self._execute_commands(commands)
        self._arm_timer()

    def count_open_requests(self) -> int:
        """Return the number of requests that have not been answered."""
        return len(self._open_requests)

    def dispatch_event(self, event: Event | None) -> bool:
        """Pass an event to the router and execute its commands.

        None stands for due timers alone. Return whether the router handled the event
        without an exception; an exception is logged and counted.
        """
        router = self._parts.router
        try:
            commands = router.step(event, read_clock_s(), time.time())
        except Exception:
            _LOG.exception("step_failed", event_type=type(event).__name__)
            self._parts.metrics.record_failed_step(type(event).__name__)
            self._arm_timer()
            return False
        self._execute_commands(commands)
        self._arm_timer()
        return True

    def handle_request(self, req: CallerRequest, exchange: Exchange) -> None:
        """Start to handle a request; its answer is written to the exchange."""
        self._open_requests[req.request_id] = OpenRequest(
            exchange,
            req.caller_request_id,
            self._loop.time(),
            self._parts.tracing.start_request(req),
        )
        if not self.dispatch_event(RequestArrived(req)):
            self._refuse_request(RefuseRequest(req.request_id, INTERNAL_ERROR_REFUSAL))

    def handle_disconnect(self, request_id: int) -> None:
        """Tell the router that the caller of a request closed its connection."""
        if self._open_requests.pop(request_id, None) is not None:
            self.dispatch_event(CallerLeft(request_id))

    def handle_refused_input(self, refused: RefusedInput) -> None:
        """Log and count a request that its connection refused by itself."""
        self._parts.write_log(make_refused_input_event(refused))
        refusal = refused.fault.refusal
        self._parts.metrics.record_answer(refusal.status, refusal.code.value, 0.0)

    def _log_given_up_body(self, body_bytes: int) -> None:
        memory = self._parts.memory
        fields = (
            ("body_bytes", body_bytes),
            ("held_bytes", memory.held_bytes),
            ("limit_bytes", memory.limit_bytes),
        )
        self._parts.write_log(LogEvent(LogName.BODY_GIVEN_UP, fields))

    def _execute_commands(self, commands: list[Command]) -> None:
        for command in commands:
            try:
                self._command_handlers[type(command)](command)
            except Exception:
                # The others may serve other requests, or wait for a reply.
                name = type(command).__name__
                _LOG.exception("command_failed", command_type=name)
                self._parts.metrics.record_failed_step(name)

    def _record_configuration_delay(self, command: RecordConfigurationDelay) -> None:
        self._parts.metrics.record_configuration_delay(command.delay_max_s)

    def _arm_timer(self) -> None:
        due_s = self._parts.router.get_next_due_s()
        if self._timer is not None:
            if due_s is not None and self._timer_due_s <= due_s:
                return
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            self._timer_due_s = due_s
            delay_s = max(0.0, due_s - read_clock_s())
            self._timer = self._loop.call_later(delay_s, self._run_timers)

    def _run_timers(self) -> None:
        self._timer = None
        self.dispatch_event(None)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _call_store(self, command: CallStore) -> None:
        task = self._start_task(self._async_call_store(command))
        self._store_tasks[command.call_id] = task
        task.add_done_callback(lambda _: self._store_tasks.pop(command.call_id, None))

    def _cancel_store_call(self, command: CancelStoreCall) -> None:
        task = self._store_tasks.get(command.call_id)
        if task is not None:
            task.cancel()

    async def _async_call_store(self, command: CallStore) -> None:
        answer = await self._parts.store.async_call(command.operation)
        result = answer.result
        self._parts.metrics.record_store_call(
            type(command.operation).__name__,
            "ok" if result.is_ok() else result.error.kind.value,
        )
        self.dispatch_event(StoreReplied(command.call_id, result, answer.era))

    def _send_backend_request(self, command: SendBackendRequest) -> None:
        backend_request = command.request
        pool = self.pools.get_or_create(backend_request.backend_server)
        if pool is None:
            result = AttemptResult(
                backend_request.attempt_id, AttemptOutcome.CONNECT_FAILED, 0.0
            )
            self._loop.call_soon(self._handle_attempt_end, result)
            return
        open_request = self._open_requests.get(backend_request.request_id)
        span = self._parts.tracing.start_attempt(
            open_request.span if open_request is not None else None, backend_request
        )
        if span.headers:
            backend_request = attrs.evolve(
                backend_request, headers=(*backend_request.headers, *span.headers)
            )
        self._running_attempts[backend_request.attempt_id] = RunningAttempt(pool, span)
        pool.send_request(backend_request, self._handle_attempt_end)

    def _handle_attempt_end(self, result: AttemptResult) -> None:
        attempt = self._running_attempts.pop(result.attempt_id, None)
        if attempt is not None:
            attempt.span.end(result)
        self._parts.metrics.record_attempt(result.outcome.value, result.latency_s)
        self._attempt_results[result.attempt_id] = result
        self.dispatch_event(AttemptEnded(result))
        self._attempt_results.pop(result.attempt_id, None)

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        attempt = self._running_attempts.get(command.attempt_id)
        if attempt is not None:
            self._loop.call_soon(attempt.pool.cancel_attempt, command.attempt_id)

    def _close_connections(self, command: CloseConnections) -> None:
        pool = self.pools.find(command.backend_server)
        if pool is not None:
            pool.close_connections()

    def _refuse_request(self, command: RefuseRequest) -> None:
        refusal = command.refusal
        open_request = self._open_requests.get(command.request_id)
        if open_request is not None:
            answer = self._parts.caller_dialect.encode_refusal(
                refusal, open_request.caller_request_id
            )
            self._complete_request(command.request_id, answer, refusal.code.value)

    def _answer_request(self, command: AnswerRequest) -> None:
        result = self._attempt_results[command.attempt_id]
        answer = CallerResponse(result.status, result.headers, result.body)
        self._complete_request(command.request_id, answer, "answered")

    def _replay_answer(self, command: ReplayAnswer) -> None:
        answer = CallerResponse(command.status, command.headers, command.body)
        self._complete_request(command.request_id, answer, "replayed")

    def _complete_request(
        self, request_id: int, answer: CallerResponse, code: str
    ) -> None:
        """Write the answer of a request; `code` names the outcome in metrics."""
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None:
            return
        elapsed_s = self._loop.time() - open_request.started_s
        self._parts.metrics.record_answer(answer.status, code, elapsed_s)
        open_request.span.end(answer.status, code)
        open_request.exchange.set_response(answer)
