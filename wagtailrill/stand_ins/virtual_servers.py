"""Backend servers on the virtual clock, for tests of whole fleets.

They execute the requests, control calls and cancellations that routers command.
"""

import json
import random
from collections.abc import Callable

from ..core.commands import CallBackend, CancelAttempt, Command, SendBackendRequest
from ..core.events import AttemptEnded
from ..core.request_models import (
    NO_NOTICE,
    AttemptOutcome,
    AttemptResult,
    LoadReport,
    ServerNotice,
)
from .server_model import NotRunReason, ServerModel, ServerModelSettings
from .virtual_control import VirtualControlCalls
from .virtual_fleet import NodeRow, VirtualFleet
from .virtual_models import Exchange, Execution, RunEffect, VirtualServer, draw_delay_s

ENTRY_PREFIX = "servers/"
# The entry of a silent server is removed after this many heartbeats.
ENTRY_EXPIRY_HEARTBEATS = 3
OUTCOME_BY_REASON = {
    NotRunReason.SHED: AttemptOutcome.SHED,
    NotRunReason.FENCED: AttemptOutcome.MISDIRECTED,
    NotRunReason.OTHER: AttemptOutcome.MISDIRECTED,
    NotRunReason.EXPIRED: AttemptOutcome.SHED,
}

ANSWER_OUTCOMES = frozenset({AttemptOutcome.ANSWERED, *OUTCOME_BY_REASON.values()})


NoticeListener = Callable[[NodeRow, str, ServerNotice], None]


class VirtualServers:
    """All backend servers of a fleet; they write their entries to the store.

    `results` holds the result of each attempt, by instance and attempt ID.
    """

    def __init__(
        self, fleet: VirtualFleet, seed: int, heartbeat_s: float = 0.9
    ) -> None:
        self.fleet = fleet
        self.executions: list[Execution] = []
        self.on_execution: Callable[[Execution], None] = lambda execution: None
        self.get_run_effect: Callable[[Exchange], RunEffect] = lambda e: RunEffect()
        self.on_arrival: Callable[[Exchange], None] = lambda exchange: None
        self.on_notice: NoticeListener = lambda row, server_id, notice: None
        self.by_name: dict[str, VirtualServer] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self._rng = random.Random(seed)
        self._heartbeat_s = heartbeat_s
        self._exchanges_by_attempt: dict[tuple[NodeRow, int], Exchange] = {}
        fleet.register_handler(SendBackendRequest, self._send_request)
        control_calls = VirtualControlCalls(fleet, self.by_name, self._rng)
        fleet.register_handler(CallBackend, control_calls.call_server)
        fleet.register_handler(CancelAttempt, self._cancel_attempt)
        fleet.add_restore_listener(self._expire_lost_entries)

    def add_server(self, cfg: ServerModelSettings, data_centre: str) -> VirtualServer:
        """Start a server, which writes its entry to the store at once."""
        rng = random.Random(self._rng.random())
        model = ServerModel(cfg, rng, self.fleet.now_s)
        server = VirtualServer(model, data_centre)
        self.by_name[model.server_id] = server
        self._run_heartbeat(server)
        return server

    def crash_server(self, server: VirtualServer, down_s: float | None = None) -> None:
        """Crash a server's process; restart it after `down_s` seconds, if given."""
        server.down = True
        for exchange in list(server.exchanges):
            self._end_exchange(exchange, AttemptOutcome.LOST)
        server.queue.clear()
        if down_s is not None:
            self.fleet.call_later(down_s, lambda: self._restart_server(server))

    def drain_server(self, server: VirtualServer, after_s: float = 2.5) -> None:
        """Let a server report that it is draining; stop it after `after_s` seconds."""
        server.model.leaving = True
        self._write_heartbeat(server)

        def end() -> None:
            server.down = True
            server.announced = False
            self.fleet.store.model.remove_item(_get_store_key(server))

        self.fleet.call_later(after_s, end)

    def hide_entry(self, server: VirtualServer, seconds: float) -> None:
        """Remove a server's entry from the store; it writes it again after a while."""
        server.entry_hidden = True
        self.fleet.store.model.remove_item(_get_store_key(server))

        def show() -> None:
            server.entry_hidden = False
            if server.announced and not server.down:
                self._write_heartbeat(server)

        self.fleet.call_later(seconds, show)

    def unfreeze_server(self, server: VirtualServer) -> None:
        """Unfreeze a server; it first handles what arrived during the freeze."""
        server.frozen = False
        held_callbacks, server.held_callbacks = server.held_callbacks, []
        for callback in held_callbacks:
            callback()

    def find_key_holders(self, position: int, service: str) -> list[str]:
        """Return the names of running servers that hold the key at a position now."""
        return [
            name
            for name, server in self.by_name.items()
            if server.model.cfg.service == service
            and not server.down
            and server.model.holds_key(position, self.fleet.now_s)
        ]

    # Heartbeats

    def _run_heartbeat(self, server: VirtualServer) -> None:
        if not server.announced:
            return
        if not server.down and not server.frozen:
            self._write_heartbeat(server)
        self.fleet.call_later(self._heartbeat_s, lambda: self._run_heartbeat(server))

    def _write_heartbeat(self, server: VirtualServer) -> None:
        if self.fleet.store.down or server.entry_hidden:
            return
        model = server.model
        is_draining = model.leaving and not server.entry_says_ready
        server.entry_sequence += 1
        entry = {
            "service": model.cfg.service,
            "address": "10.0.0.1:80",
            "zone": server.data_centre,
            "version": model.cfg.version,
            "slots": model.cfg.slots,
            "state": "draining" if is_draining else "ready",
            "warmup_left": f"{round(model.get_cold_left_s(self.fleet.now_s) * 1000)}ms",
            "seq": server.entry_sequence,
            "born": round(model.started_s * 1000),
        }
        self.fleet.store.model.put_item(
            _get_store_key(server), json.dumps(entry).encode()
        )

    def _expire_lost_entries(self) -> None:
        """Remove the entries that nobody renews after a restore of the store."""

        def remove_silent() -> None:
            announced_keys = {
                _get_store_key(s) for s in self.by_name.values() if s.announced
            }
            for item in self.fleet.store.model.list_items(ENTRY_PREFIX):
                if item.key not in announced_keys:
                    self.fleet.store.model.remove_item(item.key)

        self.fleet.call_later(
            ENTRY_EXPIRY_HEARTBEATS * self._heartbeat_s, remove_silent
        )

    def _restart_server(self, server: VirtualServer) -> None:
        previous_id = server.model.server_id
        server.model.restart(self.fleet.now_s)
        server.down = False
        server.entry_sequence = 0
        if server.model.server_id != previous_id:
            self.fleet.store.model.remove_item(ENTRY_PREFIX + previous_id)
            del self.by_name[previous_id]
        self.by_name[server.model.server_id] = server
        self._write_heartbeat(server)

    # Requests

    def _send_request(self, name: str, command: Command) -> None:
        assert isinstance(command, SendBackendRequest)
        row, request = self.fleet.nodes[name], command.request
        server = self.by_name.get(request.backend_server)
        if server is None or server.down:
            result = AttemptResult(
                request.attempt_id, AttemptOutcome.CONNECT_FAILED, 0.001
            )
            self.fleet.deliver_to_process(
                row, AttemptEnded(result), draw_delay_s(self._rng)
            )
            return
        exchange = Exchange(row, request, server, self.fleet.now_s)
        self._exchanges_by_attempt[row, request.attempt_id] = exchange
        server.exchanges.add(exchange)
        self.fleet.call_later(
            request.timeout_s,
            lambda: self._end_exchange(exchange, AttemptOutcome.TIMED_OUT),
        )
        self.fleet.call_later(
            draw_delay_s(self._rng), lambda: self._receive_request(exchange)
        )

    def _receive_request(self, exchange: Exchange) -> None:
        server = exchange.server
        if exchange.ended or server.down or exchange.row.name in server.cut_instances:
            return
        if server.frozen:
            server.held_callbacks.append(lambda: self._receive_request(exchange))
            return
        self.on_arrival(exchange)
        request = exchange.request
        reason = server.model.find_refusal_reason(
            request.key_position, request.backend_server, self.fleet.now_s
        )
        if reason is not None:
            self._end_exchange(exchange, OUTCOME_BY_REASON[reason])
        elif server.model.has_free_slot():
            self._run_request(exchange)
        else:
            server.model.waiting_requests += 1
            server.queue.append(exchange)

    def _run_request(self, exchange: Exchange) -> None:
        server, request = exchange.server, exchange.request
        exchange.running = True
        server.model.begin_request(request.key_position, self.fleet.now_s)
        execution = Execution(
            self.fleet.now_s,
            request.backend_server,
            server.model.start_count,
            request.caller_request_id,
            request.organisation,
            request.key_position,
        )
        self.executions.append(execution)
        self.on_execution(execution)
        effect = self.get_run_effect(exchange)
        outcome = AttemptOutcome.FAILED if effect.fails else AttemptOutcome.ANSWERED
        self.fleet.call_later(
            server.model.draw_service_time_s() * effect.time_ratio,
            lambda: self._finish_request(exchange, outcome),
        )

    def _finish_request(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        server = exchange.server
        if not exchange.running:
            return
        if server.frozen:
            server.held_callbacks.append(
                lambda: self._finish_request(exchange, outcome)
            )
            return
        self._end_exchange(exchange, outcome)

    def _cancel_attempt(self, name: str, command: Command) -> None:
        assert isinstance(command, CancelAttempt)
        row = self.fleet.nodes[name]
        exchange = self._exchanges_by_attempt.get((row, command.attempt_id))
        if exchange is not None:
            self._end_exchange(exchange, AttemptOutcome.CANCELLED)

    def _end_exchange(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        if exchange.ended:
            return
        exchange.ended = True
        server, request, row = exchange.server, exchange.request, exchange.row
        server.exchanges.discard(exchange)
        self._exchanges_by_attempt.pop((row, request.attempt_id), None)
        self._free_slot(exchange)
        model = server.model
        answered = outcome in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.FAILED,
            AttemptOutcome.SHED,
        )
        load = LoadReport(
            model.running_by_position.total(),
            model.waiting_requests,
            model.cfg.slots,
            model.slowness,
        )
        result = AttemptResult(
            attempt_id=request.attempt_id,
            outcome=outcome,
            latency_s=self.fleet.now_s - exchange.started_s,
            status=200 if outcome is AttemptOutcome.ANSWERED else 0,
            body=request.caller_request_id.encode(),
            load=load if answered else None,
            notice=self._build_notice(model, outcome),
        )
        if result.notice is not NO_NOTICE:
            self.on_notice(row, model.server_id, result.notice)
        self.results[row.name, request.attempt_id] = result
        self.fleet.deliver_to_process(
            row, AttemptEnded(result), draw_delay_s(self._rng)
        )

    def _build_notice(
        self, model: ServerModel, outcome: AttemptOutcome
    ) -> ServerNotice:
        """Return what the server says besides, nothing if it does not answer."""
        if outcome not in ANSWER_OUTCOMES:
            return NO_NOTICE
        pause_s = model.asked_pause_s if outcome is AttemptOutcome.SHED else 0.0
        if not model.leaving and not pause_s:
            return NO_NOTICE
        return ServerNotice(model.leaving, pause_s)

    def _free_slot(self, exchange: Exchange) -> None:
        server = exchange.server
        if exchange in server.queue:
            server.queue.remove(exchange)
            server.model.waiting_requests -= 1
        if not exchange.running:
            return
        exchange.running = False
        server.model.end_request(exchange.request.key_position)
        while server.queue and server.model.has_free_slot() and not server.down:
            next_exchange = server.queue.pop(0)
            server.model.waiting_requests -= 1
            self._run_waiting(next_exchange)

    def _run_waiting(self, exchange: Exchange) -> None:
        """Run a request that has waited, unless its key was released meanwhile."""
        model, position = exchange.server.model, exchange.request.key_position
        if model.cfg.keyed and not model.holds_key(position, self.fleet.now_s):
            self._end_exchange(exchange, OUTCOME_BY_REASON[NotRunReason.FENCED])
            return
        self._run_request(exchange)


def _get_store_key(server: VirtualServer) -> str:
    return ENTRY_PREFIX + server.model.server_id
