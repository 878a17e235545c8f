"""Membership of one instance: the public class of this package."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.events import InstancesListed
from ..core.host import ComponentHost
from ..partitions.directory import Home, Member, PartitionListener
from ..peer.registry import Envelope
from .const import CONTROL_TICK_S
from .coordinator import Coordinator, Done, Hooks, TableChange, Takeover
from .election import Election
from .follower import Follower, Gate, hint_of
from .leaving import Leaving
from .messages import (
    MESSAGES,
    CoordinatorHint,
    Heartbeat,
    HeartbeatReply,
    TableDocument,
    TableRequest,
)
from .models import MembershipSettings
from .store_calls import StoreCalls
from .store_lease import StoreLease
from .table import CellTable
from .view import NO_HOMES, CellView, TableListener
from .writer import TableWriter, WriteJob


class Membership:
    """Keeps this instance in its cell; implements `PartitionDirectory`.

    Every instance follows the coordinator of the highest term, and one leads.
    """

    def __init__(self, ctx: Context, cfg: MembershipSettings) -> None:
        self.ctx = ctx
        self.cfg = cfg
        self.store_calls = StoreCalls(ctx)
        self._view = CellView(ctx, cfg)
        self._follower = Follower(self._view, self.store_calls)
        self._election = Election(self._follower, self.store_calls, self._take_over)
        self._hooks = Hooks()
        self._lead: Coordinator | None = None
        self._last_lead: Coordinator | None = None
        self._takeover_writer = TableWriter(cfg, self.store_calls)
        self._leaving = Leaving(self._follower)
        self._started = False
        self._handlers: dict[type, Callable[[Envelope], None]] = {
            Heartbeat: self._on_heartbeat,
            HeartbeatReply: self._on_reply,
            CoordinatorHint: self._on_hint,
            TableRequest: self._on_table_request,
            TableDocument: self._on_table,
        }

    def attach(self, host: ComponentHost) -> None:
        """Register handlers of messages and events, and subscribe timers."""
        host.before_step(self._before_step)
        host.on_messages(MESSAGES.values(), self._on_message)
        host.on_event(InstancesListed, self.handle_instances)
        self.ctx.timers.subscribe(CONTROL_TICK_S, self._tick)
        self.ctx.timers.subscribe(self.cfg.heartbeat_interval_s, self._reply)

    # Directory

    @property
    def table(self) -> CellTable | None:
        """Return the table that is applied, if there is one."""
        return self._view.table

    @property
    def table_version(self) -> int:
        """Return the version of the applied table, 0 if there is none."""
        return self._view.version

    def has_lease(self) -> bool:
        """Return whether the member lease is valid now."""
        return self._view.has_lease()

    def lease_remaining_s(self) -> float:
        """Return the rest of the member lease in seconds, 0 without a lease."""
        return self._view.lease_end_s - self.ctx.now_s if self.has_lease() else 0.0

    def home_of(self, partition: int) -> Home | None:
        """Return the home of a partition, or None while it has none."""
        table = self._view.table
        if table is None or partition >= len(table.homes):
            return None
        home = table.homes[partition]
        return home if home.instance else None

    def is_home(self, partition: int) -> bool:
        """Return whether this instance is the home and its lease is valid."""
        return partition in self._view.held and self.has_lease()

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current table."""
        return self._view.table.members if self._view.table is not None else ()

    def is_member(self, instance: str, incarnation: int) -> bool:
        """Return whether this process is in the current table."""
        return Member(instance, incarnation) in self.members()

    def suspected(self, instance: str) -> bool:
        """Return whether a member has been silent for the suspicion timeout."""
        view = self._view
        if self._lead is not None:
            members = [m for m in self.members() if m.instance == instance]
            return any(map(self._lead.planner.suspected, members))
        if view.coordinator is not None and view.coordinator.instance == instance:
            return self.ctx.now_s - view.heard_s > self.cfg.suspicion_timeout_s
        return instance in view.suspects

    # Listeners and payloads

    def add_listener(self, listener: PartitionListener) -> None:
        """Add a receiver of changes of homes, members and the own lease."""
        self._view.listeners.partitions.append(listener)

    def add_table_listener(self, listener: TableListener) -> None:
        """Add a receiver of tables; it runs before the partition listeners."""
        self._view.listeners.tables.append(listener)

    def set_acknowledge_gate(self, gate: Gate) -> None:
        """Set the condition under which a table version is acknowledged."""
        self._follower.gate = gate

    def add_report(self, name: str, provider: Callable[[], bytes]) -> None:
        """Attach a payload to this member's heartbeat replies."""
        self._follower.reports[name] = provider

    def on_report(self, name: str, handler: Callable[[Member, bytes], None]) -> None:
        """Handle members' payloads while this instance is the coordinator."""
        self._hooks.reports[name] = handler

    def add_notice(self, name: str, provider: Callable[[], bytes]) -> None:
        """Attach a payload to heartbeats while this instance is the coordinator."""
        self._hooks.notices[name] = provider

    def on_notice(self, name: str, handler: Callable[[bytes], None]) -> None:
        """Handle the coordinator's payloads."""
        self._follower.notices[name] = handler

    # Coordinator

    def coordinates(self) -> bool:
        """Return whether this instance is the coordinator with authority now."""
        return self._lead is not None and self._lead.has_authority()

    def in_outage_mode(self) -> bool:
        """Return whether the coordinator continues without the store.

        A member knows what the last heartbeat said.
        """
        if self._lead is not None:
            return self._lead.has_authority() and not self._lead.in_store_mode()
        return self._view.store_down

    def update_table(self, change: TableChange, on_done: Done) -> None:
        """Queue a change of the table; `on_done` gets whether it was written.

        The change may run several times, each time on the latest table.
        """
        if self._lead is None:
            on_done(False)
            return
        self._lead.update(change, on_done)

    def acknowledged_by_all(self, version: int) -> bool:
        """Return whether all members of the table acknowledged this version."""
        return self._lead is not None and self._lead.acknowledged_by_all(version)

    def leave(self, on_left: Callable[[], None]) -> None:
        """Hand the homes over and leave the cell; then call `on_left`."""
        self._leaving.start(on_left)
        self._follower.reply()

    # Steps

    def handle_instances(self, event: InstancesListed) -> None:
        """Take the names of the platform's instance list."""
        self._election.listed = frozenset(
            entry.instance for entry in event.entries if not entry.leaving
        )

    def _before_step(self) -> None:
        if not self._started:
            self._started = True
            self._follower.start()
        self._view.check_lapse()

    def _tick(self) -> None:
        if self._leaving.left:
            return
        if self._lead is not None:
            self._tick_lead(self._lead)
        elif self._takeover_writer.job is None:
            self._election.check()
        if self._leaving.tick(self._lead is not None):
            self._stop()

    def _tick_lead(self, lead: Coordinator) -> None:
        lead.tick()
        waits = lead.lease.down and not lead.stopped
        if not lead.has_authority() and not waits:
            self._step_down()
            self._election.defer()

    def _reply(self) -> None:
        if self._lead is None and not self._leaving.left:
            self._follower.reply()

    def _stop(self) -> None:
        self._election.stopped = True
        lead = self._lead
        if lead is None:
            return
        resigned = self._view.table is not None and self._view.table.resigned
        if resigned and lead.in_store_mode():
            lead.distribute()
            lead.lease.revoke()
        self._step_down()

    # Messages

    def _on_message(self, envelope: Envelope) -> None:
        if not self._leaving.left:
            self._handlers[type(envelope.message)](envelope)

    def _learn(self, term: int, coordinator: Member) -> None:
        view = self._view
        newer = term > view.term or (term == view.term and view.coordinator is None)
        if not newer or coordinator == view.me:
            return
        if self._lead is not None:
            self._step_down()
        view.follow(term, coordinator)
        self._follower.reset_coordinator()

    def _on_heartbeat(self, envelope: Envelope) -> None:
        view = self._view
        if envelope.message.term < view.term:
            hint = hint_of(view)
            if hint is not None:
                self.ctx.send(envelope.sender, hint)
            return
        coordinator = Member(envelope.sender, envelope.incarnation)
        self._learn(envelope.message.term, coordinator)
        if self._lead is None and view.coordinator == coordinator:
            self._follower.handle_heartbeat(envelope)

    def _on_reply(self, envelope: Envelope) -> None:
        if self._lead is not None and envelope.message.term <= self._lead.term:
            self._lead.handle_reply(envelope)
            return
        hint = hint_of(self._view)
        if hint is not None and hint.instance != self._view.me.instance:
            self.ctx.send(envelope.sender, hint, envelope.incarnation)

    def _on_hint(self, envelope: Envelope) -> None:
        hint: CoordinatorHint = envelope.message
        before = self._view.term, self._view.coordinator
        self._learn(hint.term, Member(hint.instance, hint.incarnation))
        if before != (self._view.term, self._view.coordinator):
            self._follower.reply()

    def _on_table_request(self, envelope: Envelope) -> None:
        if self._lead is not None and self._lead.has_authority():
            self._lead.send_table([envelope.sender])

    def _on_table(self, envelope: Envelope) -> None:
        document: TableDocument = envelope.message
        self._learn(document.term, Member(envelope.sender, envelope.incarnation))
        if self._lead is None:
            self._follower.handle_table(document)

    # Takeover

    def _take_over(self, lease: StoreLease) -> None:
        """Write the next term into the table before anything else."""
        taken_over_s = self.ctx.now_s
        previous: list[CellTable | None] = []

        def change(base: CellTable | None, version: int) -> CellTable:
            previous[:] = [base]
            return self._taken_over(base)

        def finished(table: CellTable | None, version: int) -> None:
            if table is None or table.term <= self._view.term:
                lease.revoke()
                return
            self._start_leading(
                table, version, Takeover(lease, previous[0], taken_over_s)
            )

        self._takeover_writer.start(WriteJob(change, lease.valid, finished), None, 0)

    def _taken_over(self, base: CellTable | None) -> CellTable:
        me = self._view.me
        if base is None:
            return CellTable(self._view.term + 1, me, "", homes=NO_HOMES)
        term = max(base.term, self._view.term) + 1
        homes = base.homes or NO_HOMES
        return attrs.evolve(
            base, term=term, coordinator=me, homes=homes, resigned=False
        )

    def _start_leading(
        self, table: CellTable, version: int, takeover: Takeover
    ) -> None:
        last, before = self._last_lead, takeover.previous
        continues = (
            last is not None
            and before is not None
            and before.coordinator == self._view.me
            and before.term == last.term
        )
        if continues:
            takeover = attrs.evolve(takeover, predecessor=last)
        self._view.follow(table.term, self._view.me)
        self._view.apply(table, version)
        self._follower.reset_coordinator()
        self._lead = self._last_lead = Coordinator(
            self._follower, self.store_calls, takeover, self._hooks, self._refused
        )
        self._lead.planner.leaving = lambda: self._follower.leaving
        self.ctx.log("coordinator_started", term=table.term, version=version)
        self._lead.broadcast()
        self._lead.tick()

    def _refused(self) -> None:
        """Handle the store's refusal to renew the store lease."""
        if self._lead is not None:
            self._step_down()
            self._election.force()

    def _step_down(self) -> None:
        lead, self._lead = self._lead, None
        if lead is not None:
            if lead.lease.down:
                self._follower.outage_confirmed_s = self.ctx.now_s
            lead.stop()
            self._view.coordinator = None
            self.ctx.log("coordinator_stopped", term=lead.term)
