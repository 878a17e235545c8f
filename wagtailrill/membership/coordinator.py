"""Coordinator side: heartbeats, granted leases, authority and table updates."""

import itertools
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from ..core.const import granter_duration_s, holder_duration_s
from ..partitions.directory import Member
from ..peer.registry import Envelope
from .const import (
    HEARTBEATS_REMEMBERED,
    MAJORITY_CONTACT_S,
    MINORITY_TERM_S,
    UNASKED_AFTER_S,
)
from .follower import Follower
from .grace import GraceWait, majority
from .messages import Heartbeat, HeartbeatReply, Payload, TableDocument
from .models import PeerRow
from .planner import Planner
from .store_calls import StoreCalls
from .store_lease import LeaseListener, StoreLease
from .table import CellTable
from .writer import TableWriter, WriteJob

TableChange = Callable[[CellTable], CellTable | None]
Done = Callable[[bool], None]


@attrs.frozen
class Takeover:
    """A confirmed takeover: the store lease, the previous table and the time.

    `predecessor` is this instance's own earlier term if no other came in between:
    what it granted is known then, and its grace wait goes on.
    """

    lease: StoreLease
    previous: CellTable | None
    taken_over_s: float
    predecessor: "Coordinator | None" = None


@attrs.define
class Hooks:
    """Providers and handlers of the payloads that travel with heartbeats."""

    notices: dict[str, Callable[[], bytes]] = attrs.field(factory=dict)
    reports: dict[str, Callable[[Member, bytes], None]] = attrs.field(factory=dict)


class Coordinator:
    """Leads the cell for one term, from the confirmed write of that term on."""

    def __init__(
        self,
        follower: Follower,
        store: StoreCalls,
        takeover: Takeover,
        hooks: Hooks,
        on_refused: Callable[[], None],
    ) -> None:
        self.follower = follower
        self.view = follower.view
        self.ctx = follower.ctx
        self.cfg = self.view.cfg
        self.term = self.view.term
        self.lease = takeover.lease
        self.hooks = hooks
        self.rows: dict[Member, PeerRow] = {}
        self.grace = self._grace(takeover)
        outage_age_s = self.ctx.now_s - follower.outage_confirmed_s
        self.grace.acknowledge(self.view.me.instance, self.ctx.now_s, outage_age_s)
        self.planner = Planner(self.view, self.rows, self.grace)
        self.planner.may_drop = self._hears_majority
        self.writer = TableWriter(self.cfg, store)
        self.stopped = False
        self._taken_over_s = takeover.taken_over_s
        self._heard_majority = False
        self._lease_listener = LeaseListener(self.broadcast, self._renewed, on_refused)
        self._numbers = itertools.count(1)
        self._updates: deque[tuple[TableChange, Done]] = deque()
        for member in self._members():
            self._row(member)

    def _grace(self, takeover: Takeover) -> GraceWait:
        if takeover.predecessor is not None:
            for member, row in takeover.predecessor.rows.items():
                self.rows[member] = attrs.evolve(
                    row, confirmed_s=float("-inf"), sent_times={}, last_reply=None
                )
            return takeover.predecessor.grace
        previous = takeover.previous
        return GraceWait(
            self.cfg,
            previous.members if previous else (),
            takeover.taken_over_s,
            previous.resigned if previous else False,
        )

    def _row(self, member: Member) -> PeerRow:
        row = self.rows.get(member)
        if row is None:
            row = self.rows[member] = PeerRow(member)
        return row

    def _members(self) -> tuple[Member, ...]:
        return self.view.table.members if self.view.table is not None else ()

    # Authority

    def in_store_mode(self) -> bool:
        """Return whether the store lease is valid."""
        return not self.stopped and self.lease.valid()

    def authority_end_s(self) -> float:
        """Return the end of the authority in monotonic seconds."""
        if self.stopped:
            return float("-inf")
        store_end_s = self.lease.end_s if not self.lease.ended else float("-inf")
        return max(
            store_end_s, self._outage_end_s() if self.lease.down else store_end_s
        )

    def has_authority(self) -> bool:
        """Return whether this coordinator may extend leases now."""
        return self.ctx.now_s < self.authority_end_s()

    def _outage_end_s(self) -> float:
        # An unconfirmed write may have changed the members whose majority a new
        # coordinator asks, so both sets need a majority.
        if self.view.table is None:
            return float("-inf")
        tables = [self.view.table, *self.writer.unresolved]
        return min(map(self._confirmed_end_s, tables))

    def _confirmed_end_s(self, table: CellTable) -> float:
        now_s = self.ctx.now_s
        times_s = sorted(
            (
                now_s if m == self.view.me else self._row(m).confirmed_s
                for m in table.members
            ),
            reverse=True,
        )
        needed = majority(len(times_s))
        if len(times_s) < needed:
            return float("-inf")
        confirmation_s = holder_duration_s(self.cfg.peer_confirmation_s)
        return times_s[needed - 1] + confirmation_s

    def _hears_majority(self) -> bool:
        now_s = self.ctx.now_s
        members = self._members()
        heard = sum(
            m == self.view.me or now_s - self._row(m).heard_s < MAJORITY_CONTACT_S
            for m in members
        )
        if not members or heard >= majority(len(members)):
            self._heard_majority = True
            return True
        recent = now_s - self._taken_over_s < MINORITY_TERM_S
        return recent and not self._heard_majority

    # Ticks

    def tick(self) -> None:
        """Renew the store lease, send due heartbeats and write due changes."""
        if self.stopped:
            return
        if self._hears_majority() or self.lease.down:
            self.lease.renew_if_due(self._lease_listener)
        if not self.has_authority():
            return
        self.extend_own_lease()
        self._ping()
        self._write_next()

    def extend_own_lease(self) -> None:
        """Hold the own member lease until the end of the authority."""
        if self.lease.down:
            self.follower.outage_confirmed_s = self.ctx.now_s
        self.view.heard_s = self.ctx.now_s
        self.view.store_down = self.lease.down
        self.view.extend_lease(self.authority_end_s())

    def _ping(self) -> None:
        interval_s = (
            self.cfg.heartbeat_interval_s if self.lease.down else UNASKED_AFTER_S
        )
        due_s = self.ctx.now_s - interval_s
        for member in self._members():
            if member != self.view.me and self._row(member).sent_s <= due_s:
                self._send(self._row(member), 0, 0.0)

    def broadcast(self) -> None:
        """Send a heartbeat that asks for a reply to every member."""
        if not self.has_authority():
            return
        for member in self._members():
            if member != self.view.me:
                self._send(self._row(member), 0, 0.0)

    def _send(self, row: PeerRow, answers: int, lease_s: float) -> None:
        table = self.view.table
        members = table.members if table else ()
        number = next(self._numbers)
        row.sent_s = self.ctx.now_s
        row.sent_times[number] = self.ctx.now_s
        if len(row.sent_times) > HEARTBEATS_REMEMBERED:
            del row.sent_times[next(iter(row.sent_times))]
        beat = Heartbeat(
            term=self.term,
            number=number,
            answers=answers,
            lease_s=lease_s,
            join=table.join_of(row.member) if table else 0,
            version=self.view.version,
            store_down=self.lease.down,
            suspected=tuple(m.instance for m in members if self.planner.suspected(m)),
            notices=tuple(Payload(k, get()) for k, get in self.hooks.notices.items()),
        )
        # A replacement process of the instance must learn of the term too.
        incarnation = row.member.incarnation if answers else 0
        self.ctx.send(row.member.instance, beat, incarnation)

    # Replies

    def handle_reply(self, envelope: Envelope) -> None:
        """Take a member's report and answer it with a lease if it may have one."""
        reply: HeartbeatReply = envelope.message
        member = Member(envelope.sender, envelope.incarnation)
        row = self._row(member)
        if reply.term < self.term:
            self._send(row, 0, 0.0)
            return
        self._record(row, reply)
        row.last_reply = reply
        self.grace.acknowledge(member.instance, self.ctx.now_s, reply.outage_age_s)
        for report in reply.reports:
            handler = self.hooks.reports.get(report.name)
            if handler is not None:
                handler(member, report.data)
        if self.has_authority():
            self._send(row, reply.number, self._grant(row, reply))

    def _record(self, row: PeerRow, reply: HeartbeatReply) -> None:
        row.heard_s = self.ctx.now_s
        row.join = reply.join
        row.lapsed_join = max(row.lapsed_join, reply.lapsed_join)
        row.applied = max(row.applied, reply.applied)
        row.acknowledged = max(row.acknowledged, reply.acknowledged)
        row.leaving = reply.leaving
        if reply.store_down:
            sent_s = row.sent_times.get(reply.heartbeat, float("-inf"))
            row.confirmed_s = max(row.confirmed_s, sent_s)

    def _renewed(self) -> None:
        """Pass the longer authority on to leases that it capped."""
        for member in self._members():
            row = self._row(member)
            if row.last_reply is not None and not self.planner.suspected(member):
                lease_s = self._grant(row, row.last_reply)
                self._send(row, row.last_reply.number, lease_s)

    def _grant(self, row: PeerRow, reply: HeartbeatReply) -> float:
        """Return the duration in seconds of the lease granted to a member."""
        table = self.view.table
        join = table.join_of(row.member) if table else 0
        if join == 0 or reply.join != join or row.lapsed_join >= join:
            return 0.0
        # A write that drops the member may take effect before the lease would end.
        if any(t.join_of(row.member) != join for t in self.writer.unresolved):
            return 0.0
        # The member counts from sending the reply, which was before it was heard.
        authority_s = self.authority_end_s() - row.heard_s
        lease_s = min(self.cfg.member_lease_s, authority_s + self.cfg.lease_cap_s)
        until_s = row.heard_s + granter_duration_s(lease_s)
        row.granted_until_s = max(row.granted_until_s, until_s)
        return lease_s

    def send_table(self, receivers: Iterable[str]) -> None:
        """Send the confirmed table to instances."""
        table = self.view.table
        if table is None:
            return
        document = TableDocument(self.term, self.view.version, table.to_bytes())
        for receiver in receivers:
            self.ctx.send(receiver, document)

    # Table

    def distribute(self) -> None:
        """Send the confirmed table to all other members."""
        others = [m for m in self._members() if m != self.view.me]
        self.send_table([member.instance for member in others])

    def update(self, change: TableChange, on_done: Done) -> None:
        """Queue a change of the table."""
        if not self.in_store_mode():
            on_done(False)
            return
        self._updates.append((change, on_done))
        self._write_next()

    def _write_next(self) -> None:
        table = self.view.table
        if self.writer.job is not None or table is None or not self.in_store_mode():
            return
        updates, self._updates = self._updates, deque()
        if not updates and self.planner.plan(table) is None:
            return
        done: list[tuple[Done, bool]] = []

        def change(base: CellTable | None, version: int) -> CellTable | None:
            done.clear()
            return self._changed(base, version, updates, done)

        def finished(new: CellTable | None, version: int) -> None:
            self._finished(new, version, [on_done for _, on_done in updates], done)

        job = WriteJob(change, self.in_store_mode, finished)
        self.writer.start(job, table, self.view.version)

    def _changed(
        self,
        base: CellTable | None,
        version: int,
        updates: deque[tuple[TableChange, Done]],
        done: list[tuple[Done, bool]],
    ) -> CellTable | None:
        if base is None or base.term != self.term:
            self.stopped = True
            return None
        if version > self.view.version:
            self._apply(base, version)
        new = base
        for update, on_done in updates:
            changed = update(new)
            done.append((on_done, changed is not None))
            new = new if changed is None else changed
        new = self.planner.plan(new) or new
        return None if new == base else new

    def _finished(
        self,
        new: CellTable | None,
        version: int,
        callbacks: list[Done],
        done: list[tuple[Done, bool]],
    ) -> None:
        if new is not None and not self.stopped:
            self._apply(new, version)
            self.distribute()
            for on_done, changed in done:
                on_done(changed)
        else:
            for on_done in callbacks:
                on_done(False)
        self._write_next()

    def _apply(self, new: CellTable, version: int) -> None:
        old = self.view.table
        if old is not None:
            self.planner.confirmed(old, new, version)
        self.view.apply(new, version)
        for member in new.members:
            self._row(member)
        self._forget()

    def _forget(self) -> None:
        """Forget processes that are no members and have been silent for long."""
        members = set(self.view.table.members) if self.view.table else set()
        now_s = self.ctx.now_s
        for member, row in list(self.rows.items()):
            silent = now_s - row.heard_s > self.cfg.member_lease_s
            if member not in members and silent:
                del self.rows[member]

    def acknowledged_by_all(self, version: int) -> bool:
        """Return whether every member of the table acknowledged the version."""
        if self.view.table is None or self.view.version < version:
            return False
        return all(
            self.follower.acknowledge() >= version
            if member == self.view.me
            else self._row(member).acknowledged >= version
            for member in self.view.table.members
        )

    def stop(self) -> None:
        """Stop leading; queued updates fail."""
        self.stopped = True
        updates, self._updates = self._updates, deque()
        for _, on_done in updates:
            on_done(False)
