"""Backend servers on the virtual clock, reached through the commands of routers."""

import json
import random
from collections.abc import Callable

import attrs
from expression import Error, Ok

from ..core.commands import CallBackend, CancelAttempt, Command, SendBackendRequest
from ..core.events import AttemptEnded, BackendReplied
from ..core.request_models import (
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
    LoadReport,
)
from ..servers.control import (
    CheckReachable,
    CheckSameProcess,
    ControlError,
    ControlErrorKind,
    ControlResult,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    Reachable,
    ReleaseKeys,
)
from .server_model import NotRun, ServerModel, ServerModelSettings
from .virtual_fleet import NodeRow, VirtualFleet

CONTROL_TIMEOUT_S = 0.5
RELEASE_POLL_S = 0.01
CRASH_NOTICE_S = 0.04
OUTCOME_BY_REASON = {
    NotRun.SHED: AttemptOutcome.SHED,
    NotRun.FENCED: AttemptOutcome.MISDIRECTED,
    NotRun.OTHER: AttemptOutcome.MISDIRECTED,
    NotRun.EXPIRED: AttemptOutcome.SHED,
}


@attrs.frozen
class Execution:
    """A request that a server started to run."""

    at_s: float
    server: str
    start: int
    caller_id: str
    organisation: str
    position: int | None


@attrs.define(eq=False)
class Exchange:
    """A request in progress on a connection of one process."""

    row: NodeRow
    order: BackendRequest
    server: "VirtualServer"
    started_s: float
    running: bool = False
    over: bool = False


@attrs.define(eq=False)
class VirtualServer:
    """A backend server with its faults; `cut` names instances that cannot reach it.

    A frozen server handles nothing until it goes on. `lost_orders` is the part of the
    control calls that are carried out `late_s` later and not answered.
    """

    model: ServerModel
    data_centre: str
    down: bool = False
    frozen: bool = False
    announced: bool = True
    cut: set[str] = attrs.field(factory=set)
    lost_orders: float = 0.0
    late_s: float = 5.0
    held_back: list[Callable[[], None]] = attrs.field(factory=list)
    queue: list[Exchange] = attrs.field(factory=list)
    exchanges: set[Exchange] = attrs.field(factory=set)


class VirtualServers:
    """All backend servers of a fleet; they announce themselves in the store."""

    def __init__(
        self, fleet: VirtualFleet, seed: int, heartbeat_s: float = 0.9
    ) -> None:
        self.fleet = fleet
        self.executions: list[Execution] = []
        self.on_execution: Callable[[Execution], None] = lambda execution: None
        self.by_name: dict[str, VirtualServer] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self._rng = random.Random(seed)
        self._heartbeat_s = heartbeat_s
        self._by_attempt: dict[tuple[NodeRow, int], Exchange] = {}
        fleet.on_command(SendBackendRequest, self._send_order)
        fleet.on_command(CallBackend, self._call)
        fleet.on_command(CancelAttempt, self._cancel)

    def add(self, cfg: ServerModelSettings, data_centre: str) -> VirtualServer:
        """Start a server; it announces itself at once."""
        rng = random.Random(self._rng.random())
        model = ServerModel(cfg, rng, self.fleet.now_s)
        server = VirtualServer(model, data_centre)
        self.by_name[model.server_id] = server
        self._beat(server)
        return server

    def crash(self, server: VirtualServer, down_s: float | None = None) -> None:
        """Lose a server's process; it starts again after a time, if one is given."""
        server.down = True
        for exchange in list(server.exchanges):
            self._end(exchange, AttemptOutcome.LOST)
        server.queue.clear()
        if down_s is not None:
            self.fleet.call_later(down_s, lambda: self._start_again(server))

    def leave(self, server: VirtualServer, after_s: float = 2.5) -> None:
        """Let a server announce that it leaves, and end later."""
        server.model.leaving = True
        self._beat_once(server)

        def end() -> None:
            server.down = True
            server.announced = False
            self.fleet.store.model.remove(_key_of(server))

        self.fleet.call_later(after_s, end)

    def unfreeze(self, server: VirtualServer) -> None:
        """Let a frozen server go on as if nothing had happened."""
        server.frozen = False
        held_back, server.held_back = server.held_back, []
        for callback in held_back:
            callback()

    def holders(self, position: int, service: str) -> list[str]:
        """Return the servers that hold a key now and are up."""
        return [
            name
            for name, server in self.by_name.items()
            if server.model.cfg.service == service
            and not server.down
            and server.model.holds(position, self.fleet.now_s)
        ]

    # Announcements

    def _beat(self, server: VirtualServer) -> None:
        if not server.announced:
            return
        if not server.down and not server.frozen:
            self._beat_once(server)
        self.fleet.call_later(self._heartbeat_s, lambda: self._beat(server))

    def _beat_once(self, server: VirtualServer) -> None:
        if self.fleet.store.down:
            return
        model = server.model
        entry = {
            "service": model.cfg.service,
            "address": "10.0.0.1:80",
            "zone": server.data_centre,
            "version": "v1",
            "slots": model.cfg.slots,
            "state": "draining" if model.leaving else "ready",
            "warmup_left": f"{round(model.cold_left_s(self.fleet.now_s) * 1000)}ms",
            "seq": round(self.fleet.now_s * 1000),
            "born": round(model.started_s * 1000),
        }
        self.fleet.store.model.put(_key_of(server), json.dumps(entry).encode())

    def _start_again(self, server: VirtualServer) -> None:
        former = server.model.server_id
        server.model.restart(self.fleet.now_s)
        server.down = False
        self.fleet.store.model.remove(f"servers/{former}")
        del self.by_name[former]
        self.by_name[server.model.server_id] = server
        self._beat_once(server)

    # Control calls

    def _call(self, name: str, command: Command) -> None:
        assert isinstance(command, CallBackend)
        row = self.fleet.nodes[name]
        server = self.by_name.get(command.backend_server)

        def reply(result: ControlResult, delay_s: float) -> None:
            event = BackendReplied(command.call_id, result)
            self.fleet.deliver_to(row, event, delay_s)

        if isinstance(command.operation, CheckSameProcess):
            self.fleet.call_later(
                CRASH_NOTICE_S, lambda: reply(self._same_process(server), 0.0)
            )
            return

        def arrive() -> None:
            not_sent = ControlError(ControlErrorKind.NOT_SENT)
            no_answer = ControlError(ControlErrorKind.NO_ANSWER)
            if server is None or server.down:
                reply(Error(not_sent), self._delay())
            elif name in server.cut:
                reply(Error(not_sent), CONTROL_TIMEOUT_S)
            elif server.frozen:
                server.held_back.append(
                    lambda: self._carry_out(server, command, lambda *_: None)
                )
                reply(Error(no_answer), CONTROL_TIMEOUT_S)
            elif self._rng.random() < server.lost_orders:
                self.fleet.call_later(
                    server.late_s,
                    lambda: self._carry_out(
                        server, command, lambda *_: None, server.late_s
                    ),
                )
                reply(Error(no_answer), CONTROL_TIMEOUT_S)
            else:
                self._carry_out(server, command, reply)

        self.fleet.call_later(self._delay(), arrive)

    def _same_process(self, server: VirtualServer | None) -> ControlResult:
        """Return whether connections from before a loss would still be open."""
        now_s = self.fleet.now_s
        if server is None or server.down or server.model.started_s > now_s - 1.0:
            return Error(ControlError(ControlErrorKind.NO_ANSWER))
        return Ok(Reachable())

    def _carry_out(
        self,
        server: VirtualServer,
        command: CallBackend,
        reply: Callable[[ControlResult, float], None],
        age_s: float = 0.0,
    ) -> None:
        model, now_s = server.model, self.fleet.now_s
        operation = command.operation
        if server.down or model.server_id != command.backend_server:
            return
        if isinstance(operation, CheckReachable):
            reply(Ok(Reachable()), self._delay())
        elif isinstance(operation, GrantKeys):
            # The time of a grant runs from its arrival.
            granted = model.grant(
                operation.first,
                operation.last,
                operation.fence,
                operation.duration_s - age_s,
                now_s,
            )
            load = LoadReport(model.running.total(), 0, model.cfg.slots, model.slowness)
            fenced = ControlError(ControlErrorKind.FENCED)
            result: ControlResult = Ok(KeysGranted(load)) if granted else Error(fenced)
            reply(result, self._delay())
        elif isinstance(operation, ReleaseKeys):
            model.release(operation.first, operation.last, operation.fence, now_s)
            self._answer_release(server, operation, reply)

    def _answer_release(
        self,
        server: VirtualServer,
        operation: ReleaseKeys,
        reply: Callable[[ControlResult, float], None],
    ) -> None:
        if server.model.works_on(operation.first, operation.last):
            self.fleet.call_later(
                RELEASE_POLL_S, lambda: self._answer_release(server, operation, reply)
            )
        else:
            reply(Ok(KeysReleased(server.model.handover())), self._delay())

    # Requests

    def _send_order(self, name: str, command: Command) -> None:
        assert isinstance(command, SendBackendRequest)
        row, order = self.fleet.nodes[name], command.request
        server = self.by_name.get(order.backend_server)
        if server is None or server.down:
            failed = AttemptResult(
                order.attempt_id, AttemptOutcome.CONNECT_FAILED, 0.001
            )
            self.fleet.deliver_to(row, AttemptEnded(failed), self._delay())
            return
        exchange = Exchange(row, order, server, self.fleet.now_s)
        self._by_attempt[row, order.attempt_id] = exchange
        server.exchanges.add(exchange)
        self.fleet.call_later(
            order.timeout_s, lambda: self._end(exchange, AttemptOutcome.TIMED_OUT)
        )
        self.fleet.call_later(self._delay(), lambda: self._arrive(exchange))

    def _arrive(self, exchange: Exchange) -> None:
        server = exchange.server
        if exchange.over or server.down or exchange.row.name in server.cut:
            return
        if server.frozen:
            server.held_back.append(lambda: self._arrive(exchange))
            return
        order = exchange.order
        reason = server.model.refuses(
            order.key_position, order.backend_server, self.fleet.now_s
        )
        if reason is not None:
            self._end(exchange, OUTCOME_BY_REASON[reason])
        elif server.model.has_free_slot():
            self._run(exchange)
        else:
            server.model.waiting += 1
            server.queue.append(exchange)

    def _run(self, exchange: Exchange) -> None:
        server, order = exchange.server, exchange.order
        exchange.running = True
        server.model.begin(order.key_position, self.fleet.now_s)
        execution = Execution(
            self.fleet.now_s,
            order.backend_server,
            server.model.starts,
            order.caller_request_id,
            order.organisation,
            order.key_position,
        )
        self.executions.append(execution)
        self.on_execution(execution)
        self.fleet.call_later(server.model.work_s(), lambda: self._finish(exchange))

    def _finish(self, exchange: Exchange) -> None:
        server = exchange.server
        if not exchange.running:
            return
        if server.frozen:
            server.held_back.append(lambda: self._finish(exchange))
            return
        self._end(exchange, AttemptOutcome.ANSWERED)

    def _cancel(self, name: str, command: Command) -> None:
        assert isinstance(command, CancelAttempt)
        row = self.fleet.nodes[name]
        exchange = self._by_attempt.get((row, command.attempt_id))
        if exchange is not None:
            self._end(exchange, AttemptOutcome.CANCELLED)

    def _end(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        if exchange.over:
            return
        exchange.over = True
        server, order, row = exchange.server, exchange.order, exchange.row
        server.exchanges.discard(exchange)
        self._by_attempt.pop((row, order.attempt_id), None)
        self._free_slot(exchange)
        model = server.model
        answered = outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)
        load = LoadReport(
            model.running.total(), model.waiting, model.cfg.slots, model.slowness
        )
        result = AttemptResult(
            attempt_id=order.attempt_id,
            outcome=outcome,
            latency_s=self.fleet.now_s - exchange.started_s,
            status=200 if outcome is AttemptOutcome.ANSWERED else 0,
            body=order.caller_request_id.encode(),
            load=load if answered else None,
        )
        self.results[row.name, order.attempt_id] = result
        self.fleet.deliver_to(row, AttemptEnded(result), self._delay())

    def _free_slot(self, exchange: Exchange) -> None:
        server = exchange.server
        if exchange in server.queue:
            server.queue.remove(exchange)
            server.model.waiting -= 1
        if not exchange.running:
            return
        exchange.running = False
        server.model.end(exchange.order.key_position)
        while server.queue and server.model.has_free_slot() and not server.down:
            following = server.queue.pop(0)
            server.model.waiting -= 1
            self._run(following)

    def _delay(self) -> float:
        return 0.0005 * self._rng.uniform(0.8, 1.5)


def _key_of(server: VirtualServer) -> str:
    return f"servers/{server.model.server_id}"
