"""Backend servers on the virtual clock, reached through the commands of engines."""

import random
from collections.abc import Callable, Iterable

import attrs
from expression import Error, Ok

from ..core.backend import (
    BackendError,
    BackendErrorKind,
    BackendResult,
    Grant,
)
from ..core.commands import (
    CallBackend,
    CancelAttempt,
    CloseConnections,
    Command,
    SendOrder,
)
from ..core.events import AttemptEnded, BackendReplied, ConnectionClosed
from ..core.headers import (
    EPOCH_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    SLOT_HEADER,
)
from ..core.orders import AttemptOutcome, AttemptResult, Order
from .backend_model import BackendModel, BackendModelSettings, NotRun
from .virtual_fleet import WALL_EPOCH_S, NodeRow, VirtualFleet

CONTROL_TIMEOUT_S = 0.25
CONNECT_S = 0.001
DELIVERY_HEADER = b"x-delivery"
CRASH_MARK = b"crash-the-server"
OUTCOME_BY_REASON = {
    NotRun.SHED: AttemptOutcome.SHED,
    NotRun.FENCED: AttemptOutcome.FENCED,
    NotRun.EXPIRED: AttemptOutcome.FENCED,
}


@attrs.frozen
class Execution:
    """An order that a backend server started to run."""

    at_s: float
    backend_server: str
    start: int
    slot: int | None
    epoch: int | None
    idempotency_key: str
    delivery: str
    organisation: str


@attrs.define(eq=False)
class Exchange:
    """An order on its way, on a connection of one process."""

    row: NodeRow
    order: Order
    backend: "VirtualBackend"
    started_s: float
    running: bool = False
    over: bool = False


@attrs.define(eq=False)
class VirtualBackend:
    """A backend server with its connections and its faults.

    `idle` counts the open idle connections by process; `exchanges` are the busy ones.
    """

    model: BackendModel
    down_until_s: float = -1.0
    frozen: bool = False
    waiting: list[Callable[[], None]] = attrs.field(factory=list)
    idle: dict[NodeRow, int] = attrs.field(factory=dict)
    exchanges: set[Exchange] = attrs.field(factory=set)
    opened: int = 0


class VirtualBackends:
    """All backend servers of a fleet."""

    def __init__(
        self,
        fleet: VirtualFleet,
        settings: Iterable[BackendModelSettings],
        seed: int,
        latency_s: float = 0.0005,
    ) -> None:
        self.fleet = fleet
        self.latency_s = latency_s
        self.executions: list[Execution] = []
        self.by_name: dict[str, VirtualBackend] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self.cut: set[tuple[str, str]] = set()
        self._rng = random.Random(seed)
        self._by_attempt: dict[tuple[NodeRow, int], Exchange] = {}
        for cfg in settings:
            warm_s = -cfg.slots * cfg.warm_step_s
            model = BackendModel(cfg, random.Random(self._rng.random()), warm_s)
            self.by_name[cfg.name] = VirtualBackend(model)
        fleet.on_command(SendOrder, self._send_order)
        fleet.on_command(CallBackend, self._call)
        fleet.on_command(CancelAttempt, self._cancel)
        fleet.on_command(CloseConnections, self._close_connections)

    def crash(self, name: str, down_s: float = 0.2) -> None:
        """Lose a server's process; it starts cold after `down_s` seconds."""
        backend = self.by_name[name]
        now_s = self.fleet.now_s
        backend.down_until_s = now_s + down_s
        backend.model.restart(now_s + down_s)
        backend.frozen = False
        backend.waiting.clear()
        exchanges, backend.exchanges = backend.exchanges, set()
        for exchange in exchanges:
            self._end(exchange, AttemptOutcome.LOST)
        idle, backend.idle = backend.idle, {}
        for row, count in idle.items():
            for _ in range(count):
                self.fleet.deliver(row.name, ConnectionClosed(name), self._delay())

    def freeze(self, name: str) -> None:
        """Stop a server without closing anything."""
        self.by_name[name].frozen = True

    def unfreeze(self, name: str) -> None:
        """Let a frozen server go on as if nothing had happened."""
        backend = self.by_name[name]
        backend.frozen = False
        waiting, backend.waiting = backend.waiting, []
        for callback in waiting:
            callback()

    def lose_process(self, row: NodeRow) -> None:
        """Close all connections of a lost instance process."""
        for backend in self.by_name.values():
            backend.idle.pop(row, None)
            for exchange in [x for x in backend.exchanges if x.row is row]:
                self._stop_running(exchange)

    def _delay(self) -> float:
        return self.latency_s * self._rng.uniform(0.8, 1.5)

    def _reachable(self, row: NodeRow, backend: VirtualBackend) -> bool:
        return (row.name, backend.model.cfg.name) not in self.cut

    def _down(self, backend: VirtualBackend) -> bool:
        return self.fleet.now_s < backend.down_until_s

    def _call(self, name: str, command: Command) -> None:
        assert isinstance(command, CallBackend)
        row = self.fleet.nodes[name]
        backend = self.by_name[command.backend_server]

        def reply(result: BackendResult, delay_s: float) -> None:
            event = BackendReplied(command.call_id, result)
            self.fleet.deliver_to(row, event, delay_s)

        def arrive() -> None:
            if self._down(backend):
                error = BackendError(BackendErrorKind.UNREACHABLE)
                reply(Error(error), self._delay())
            elif backend.frozen or not self._reachable(row, backend):
                reply(Error(BackendError(BackendErrorKind.TIMEOUT)), CONTROL_TIMEOUT_S)
            else:
                reply(self._control(backend, command), self._delay())

        self.fleet.call_later(self._delay(), arrive)

    def _control(self, backend: VirtualBackend, command: CallBackend) -> BackendResult:
        now_s = self.fleet.now_s
        if isinstance(command.operation, Grant):
            wall_s = WALL_EPOCH_S + now_s
            return backend.model.grant(command.operation, now_s, wall_s)
        return Ok(backend.model.health(now_s))

    def _send_order(self, name: str, command: Command) -> None:
        assert isinstance(command, SendOrder)
        order = command.order
        row = self.fleet.nodes[name]
        backend = self.by_name[order.backend_server]
        exchange = Exchange(row, order, backend, self.fleet.now_s)
        self._by_attempt[(row, order.attempt_id)] = exchange
        delay_s = self._delay()
        if backend.idle.get(row, 0) > 0:
            backend.idle[row] -= 1
        elif not order.may_connect or self._down(backend):
            self._end(exchange, AttemptOutcome.CONNECT_FAILED)
            return
        else:
            backend.opened += 1
            delay_s += CONNECT_S
        backend.exchanges.add(exchange)
        self.fleet.call_later(
            order.timeout_s, lambda: self._end(exchange, AttemptOutcome.TIMED_OUT)
        )
        self.fleet.call_later(delay_s, lambda: self._arrive(exchange))

    def _arrive(self, exchange: Exchange) -> None:
        """Let an order reach its server, even if the sender has given up by then."""
        backend = exchange.backend
        if not self._reachable(exchange.row, backend) or self._down(backend):
            return
        if backend.frozen:
            # A frozen process finds what its kernel has received when it goes on.
            backend.waiting.append(lambda: self._arrive(exchange))
            return
        if exchange.over and exchange not in backend.exchanges:
            return
        order = exchange.order
        if CRASH_MARK in order.body:
            self._note(exchange)
            self.crash(backend.model.cfg.name)
            return
        headers = dict(order.headers)
        now_s = self.fleet.now_s
        reason = backend.model.admit(
            slot=_number(headers.get(SLOT_HEADER)),
            epoch=_number(headers.get(EPOCH_HEADER)),
            expires_unix_s=order.expires_unix_s,
            now_s=now_s,
            wall_s=WALL_EPOCH_S + now_s,
        )
        if reason is not None:
            self.fleet.call_later(
                self._delay(), lambda: self._end(exchange, OUTCOME_BY_REASON[reason])
            )
            return
        exchange.running = True
        self._note(exchange)
        service_s = backend.model.service_time_s()
        self.fleet.call_later(service_s, lambda: self._finish(exchange))

    def _finish(self, exchange: Exchange) -> None:
        backend = exchange.backend
        if not exchange.running:
            return
        if backend.frozen:
            backend.waiting.append(lambda: self._finish(exchange))
            return
        exchange.running = False
        backend.model.finish(self.fleet.now_s)
        self.fleet.call_later(
            self._delay(), lambda: self._end(exchange, AttemptOutcome.ANSWERED)
        )

    def _note(self, exchange: Exchange) -> None:
        headers = dict(exchange.order.headers)
        self.executions.append(
            Execution(
                at_s=self.fleet.now_s,
                backend_server=exchange.order.backend_server,
                start=exchange.backend.model.starts,
                slot=_number(headers.get(SLOT_HEADER)),
                epoch=_number(headers.get(EPOCH_HEADER)),
                idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, b"").decode(),
                delivery=headers.get(DELIVERY_HEADER, b"").decode(),
                organisation=headers.get(ORGANISATION_HEADER, b"").decode(),
            )
        )

    def _cancel(self, name: str, command: Command) -> None:
        assert isinstance(command, CancelAttempt)
        row = self.fleet.nodes[name]
        exchange = self._by_attempt.get((row, command.attempt_id))
        if exchange is not None:
            self._end(exchange, AttemptOutcome.CANCELLED)

    def _stop_running(self, exchange: Exchange) -> None:
        """Close a connection; a live server then stops running its order."""
        exchange.over = True
        backend = exchange.backend
        backend.exchanges.discard(exchange)
        if exchange.running and not backend.frozen:
            exchange.running = False
            backend.model.finish(self.fleet.now_s)

    def _end(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        if exchange.over:
            return
        whole = outcome in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.SHED,
            AttemptOutcome.FENCED,
        )
        row, backend, order = exchange.row, exchange.backend, exchange.order
        if whole and not self._reachable(row, backend):
            return  # the answer is lost; the order's timeout ends the exchange
        self._stop_running(exchange)
        if whole:
            backend.idle[row] = backend.idle.get(row, 0) + 1
        self._by_attempt.pop((row, order.attempt_id), None)
        result = AttemptResult(
            attempt_id=order.attempt_id,
            outcome=outcome,
            latency_s=self.fleet.now_s - exchange.started_s,
            status=200 if whole else 0,
            body=dict(order.headers).get(DELIVERY_HEADER, b""),
            start_id=backend.model.start_id if whole else "",
            connection_open=whole,
        )
        self.results[(row.name, order.attempt_id)] = result
        self.fleet.deliver_to(row, AttemptEnded(result), 0.0)

    def _close_connections(self, name: str, command: Command) -> None:
        assert isinstance(command, CloseConnections)
        row = self.fleet.nodes[name]
        backend = self.by_name[command.backend_server]
        idle = backend.idle.get(row, 0)
        backend.idle[row] = idle - min(command.count or idle, idle)


def _number(value: bytes | None) -> int | None:
    return int(value) if value else None
