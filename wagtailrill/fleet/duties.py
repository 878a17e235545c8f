"""Duties that one instance has at a time, by keys of the store under leases."""

from collections import Counter

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..peer.registry import Envelope
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Put,
    StoreResult,
)
from .const import (
    ABSENCE_GRACE_S,
    DUTY_TICK_S,
    OUTAGE_AUTHORITY_S,
    RANK_DELAY_S,
    SETTLE_S,
)
from .members import Members
from .messages import DutyAnnouncement, DutyStopped
from .models import (
    DUTIES,
    RESIGNED,
    DutyHolder,
    DutyListener,
    rank_of,
    read_holder,
)


@attrs.define(eq=False)
class DutyRow:
    """One duty: who has it, and whether this instance does."""

    name: str
    listener: DutyListener
    weight: int
    holder: DutyHolder | None = None
    held: bool = False
    fence: int = 0
    committing: bool = False
    # Since when this instance has seen that nobody has the duty.
    vacant_s: float | None = None
    # A former holder that may still act.
    predecessor: DutyHolder | None = None


class Duties:
    """Takes duties that nobody has, and keeps them while the member lease lasts.

    The key of a duty stays in the store and names its last holder, whose member key
    tells whether it still runs. A duty is kept through an outage of the store for
    `OUTAGE_AUTHORITY_S`: nobody else can take it then. A successor must reckon with a
    predecessor that acts for as long, unless that process is known to have ended.
    """

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members
        self._rows: dict[str, DutyRow] = {}
        self._resigned = False
        members.add_listener(self._changed)
        ctx.timers.subscribe(DUTY_TICK_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.on_messages([DutyAnnouncement], self._on_announcement)
        host.on_messages([DutyStopped], self._on_stopped)

    def register(self, duty: str, listener: DutyListener, weight: int) -> None:
        """Take part in a duty from now on; `weight` tells how much work it is."""
        if duty not in self._rows:
            row = DutyRow(duty, listener, weight)
            self._rows[duty] = row
            self._read(row)

    def withdraw(self, duty: str) -> None:
        """Take no part in a duty any more."""
        row = self._rows.pop(duty, None)
        if row is not None and row.held:
            self._release(row)

    def holds(self, duty: str) -> bool:
        """Return whether this instance may act for a duty now."""
        row = self._rows.get(duty)
        return row is not None and row.held and self._may_act()

    def holder(self, duty: str) -> DutyHolder | None:
        """Return the process that has a duty, as far as is known."""
        row = self._rows.get(duty)
        return row.holder if row is not None else None

    def held(self) -> tuple[str, ...]:
        """Return the duties of this instance."""
        return tuple(name for name in self._rows if self.holds(name))

    def resign(self) -> None:
        """Give up all duties: the process stops."""
        self._resigned = True
        for row in self._rows.values():
            if row.held:
                self._release(row)

    def _may_act(self) -> bool:
        until_s = self._members.lease_until_s
        if not self._members.store_answers():
            until_s += OUTAGE_AUTHORITY_S
        return self._ctx.now_s < until_s

    def _release(self, row: DutyRow) -> None:
        key = self._members.duty_key(row.name)
        put = Put(key, RESIGNED.to_bytes())
        self._ctx.log(LogName.DUTY_RESIGNED, duty=row.name, fence=row.fence)
        self._lose(row)
        commit = Commit((Expected(key, row.fence),), (put,))
        self._ctx.call_store(commit, lambda result: None)

    def _lose(self, row: DutyRow) -> None:
        row.held = False
        row.listener.duty_lost(row.name)

    def _changed(self) -> None:
        for row in self._rows.values():
            self._read(row)

    def _read(self, row: DutyRow) -> None:
        item = self._members.item(DUTIES + row.name)
        holder = read_holder(item) if item is not None else None
        known = row.holder.fence if row.holder is not None else 0
        if holder is None or holder.fence <= known:
            return
        self._learn(row, holder)

    def _learn(self, row: DutyRow, holder: DutyHolder) -> None:
        row.holder, row.vacant_s = holder, None
        if row.held and holder.fence > row.fence:
            self._ctx.log(
                LogName.DUTY_LOST,
                duty=row.name,
                fence=row.fence,
                holder=holder.instance,
                holder_fence=holder.fence,
            )
            self._lose(row)

    def _tick(self) -> None:
        for row in list(self._rows.values()):
            if row.held and not self._may_act():
                self._ctx.log(LogName.DUTY_LOST, duty=row.name, fence=row.fence)
                self._lose(row)
            elif not row.held and not row.committing:
                self._try(row)

    def _try(self, row: DutyRow) -> None:
        if not self._is_vacant(row):
            row.vacant_s = None
            return
        if row.vacant_s is None:
            row.vacant_s = self._ctx.now_s
        if self._resigned or not self._members.lease_valid():
            return
        if self._ctx.now_s - row.vacant_s < self._rank(row) * RANK_DELAY_S:
            return
        key = self._members.duty_key(row.name)
        identity = self._ctx.identity
        value = DutyHolder(identity.instance, identity.incarnation, 0).to_bytes()
        revision = row.holder.fence if row.holder is not None else 0
        commit = Commit((Expected(key, revision),), (Put(key, value),))
        # The mirror may show this write before its answer comes.
        former = row.holder
        predecessor_s = self._may_still_act_s(former)
        row.committing = True
        self._ctx.call_store(
            commit, lambda result: self._committed(row, result, former, predecessor_s)
        )

    def _committed(
        self,
        row: DutyRow,
        result: StoreResult,
        former: DutyHolder | None,
        predecessor_s: float,
    ) -> None:
        row.committing = False
        if result.is_error():
            # A commit without an answer may have taken effect; the mirror then names
            # this process as the holder, and the next attempt confirms it.
            return
        committed = result.ok
        assert isinstance(committed, Committed)
        identity = self._ctx.identity
        row.holder = DutyHolder(
            identity.instance, identity.incarnation, committed.revision
        )
        if self._rows.get(row.name) is not row or self._resigned:
            row.fence = committed.revision
            self._release(row)
            return
        row.held, row.fence, row.vacant_s = True, committed.revision, None
        self._ctx.log(
            LogName.DUTY_TAKEN,
            duty=row.name,
            fence=row.fence,
            predecessor_may_act_s=round(predecessor_s, 3),
        )
        row.listener.duty_taken(row.name, row.fence, predecessor_s)
        row.predecessor = former if predecessor_s > 0.0 else None
        names = set(self._members.live())
        if row.predecessor is not None:
            names.add(row.predecessor.instance)
        for name in names:
            self._ctx.send(name, DutyAnnouncement(row.name, row.fence))

    def _on_announcement(self, envelope: Envelope) -> None:
        message: DutyAnnouncement = envelope.message
        row = self._rows.get(message.duty)
        if row is None:
            return
        known = row.holder.fence if row.holder is not None else 0
        if message.fence > known:
            self._learn(
                row,
                DutyHolder(envelope.sender, envelope.incarnation, message.fence),
            )
        if not row.held or row.fence < message.fence:
            self._ctx.send(envelope.sender, DutyStopped(message.duty, message.fence))

    def _on_stopped(self, envelope: Envelope) -> None:
        message: DutyStopped = envelope.message
        row = self._rows.get(message.duty)
        if row is None or not row.held or message.fence != row.fence:
            return
        former = row.predecessor
        sender = (envelope.sender, envelope.incarnation)
        if former is not None and (former.instance, former.incarnation) == sender:
            row.predecessor = None
            row.listener.predecessor_stopped(row.name)

    def _is_vacant(self, row: DutyRow) -> bool:
        """Return whether nobody has a duty, as far as is known."""
        if self._members.complete_for_s() < SETTLE_S:
            return False
        holder = row.holder
        if holder is None or self._known_ended(holder):
            return True
        return self._members.absent_for_s(holder.instance) >= ABSENCE_GRACE_S

    def _known_ended(self, holder: DutyHolder) -> bool:
        return holder.instance == RESIGNED.instance or self._ended(holder)

    def _may_still_act_s(self, holder: DutyHolder | None) -> float:
        if holder is None or self._known_ended(holder):
            return 0.0
        absent_s = self._members.absent_for_s(holder.instance)
        return max(0.0, OUTAGE_AUTHORITY_S - absent_s)

    def _ended(self, holder: DutyHolder) -> bool:
        """Return whether the process of a holder has ended, or is this one.

        The platform does not run two processes of one instance at the same time.
        """
        if holder.instance == self._ctx.identity.instance:
            return True
        member = self._members.live().get(holder.instance)
        return member is not None and member.incarnation != holder.incarnation

    def _rank(self, row: DutyRow) -> int:
        """Return how many members should rather take a duty, the least busy first."""
        burdens = self._burdens()
        own = self._ctx.identity.instance
        place = (burdens[own], rank_of(row.name, own))
        return sum(
            (burdens[name], rank_of(row.name, name)) < place
            for name in self._members.live()
        )

    def _burdens(self) -> Counter[str]:
        """Return the weight of the duties of each instance, with those being taken."""
        burdens: Counter[str] = Counter()
        for row in self._rows.values():
            if row.committing:
                burdens[self._ctx.identity.instance] += row.weight
            elif row.holder is not None and row.vacant_s is None:
                burdens[row.holder.instance] += row.weight
        return burdens
