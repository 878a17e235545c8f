"""Elects one instance as the holder of each duty, by keys and leases in the store.

Key ownership, placement, rate limits and the relay of server entries register duties.
"""

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
    DUTY_TICK_S,
    OUTAGE_DUTY_EXTENSION_S,
    RANK_DELAY_S,
    REREGISTRATION_GRACE_S,
    START_SETTLE_S,
)
from .members import Members
from .messages import DutyAnnouncement, DutyStopped
from .models import (
    DUTIES_PREFIX,
    RESIGNED_HOLDER,
    DutyHolder,
    DutyListener,
    hash_rank,
    read_holder,
)


@attrs.define(eq=False)
class DutyRow:
    """State of one duty: its last known holder, and whether this instance holds it."""

    name: str
    listener: DutyListener
    weight: int
    holder: DutyHolder | None = None
    is_held: bool = False
    fence: int = 0
    commit_pending: bool = False
    # Time since which this instance has seen the duty without a live holder.
    vacant_since_s: float | None = None
    # The previous holder, while it may still act.
    predecessor: DutyHolder | None = None


class Duties:
    """Takes vacant duties, and keeps them while this instance's member lease is valid.

    The key of a duty stays in the store and names its last holder, whose member key
    shows whether it still runs. During an outage of the store the holder keeps the duty
    for another `OUTAGE_DUTY_EXTENSION_S`, since no one else can take it then. A
    successor must assume that its predecessor acts for as long, unless that process is
    known to have ended.
    """

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members
        self._rows: dict[str, DutyRow] = {}
        self._has_resigned = False
        members.add_listener(self._on_members_changed)
        ctx.timers.call_every(DUTY_TICK_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.register_message_handler([DutyAnnouncement], self._on_announcement)
        host.register_message_handler([DutyStopped], self._on_stopped)

    def register(self, duty: str, listener: DutyListener, weight: int) -> None:
        """Become a candidate for a duty; `weight` is its relative load."""
        if duty not in self._rows:
            row = DutyRow(duty, listener, weight)
            self._rows[duty] = row
            self._read_holder(row)

    def withdraw(self, duty: str) -> None:
        """Stop being a candidate for a duty, and release it if held."""
        row = self._rows.pop(duty, None)
        if row is not None and row.is_held:
            self._release_duty(row)

    def holds(self, duty: str) -> bool:
        """Return whether this instance holds a duty and may act for it now."""
        row = self._rows.get(duty)
        return row is not None and row.is_held and self._may_act()

    def get_holder(self, duty: str) -> DutyHolder | None:
        """Return the last known holder of a duty, None if none is known."""
        row = self._rows.get(duty)
        return row.holder if row is not None else None

    def list_held_duties(self) -> tuple[str, ...]:
        """Return the names of the duties that this instance holds."""
        return tuple(name for name in self._rows if self.holds(name))

    def resign_all(self) -> None:
        """Release all duties for good, since the process stops."""
        self._has_resigned = True
        for row in self._rows.values():
            if row.is_held:
                self._release_duty(row)

    def _may_act(self) -> bool:
        until_s = self._members.lease_until_s
        if not self._members.is_store_answering():
            until_s += OUTAGE_DUTY_EXTENSION_S
        return self._ctx.now_s < until_s

    def _release_duty(self, row: DutyRow) -> None:
        key = self._members.build_duty_key(row.name)
        put = Put(key, RESIGNED_HOLDER.to_bytes())
        self._ctx.log(LogName.DUTY_RESIGNED, duty=row.name, fence=row.fence)
        self._stop_acting(row)
        commit = Commit((Expected(key, row.fence),), (put,))
        self._ctx.call_store(commit, lambda result: None)

    def _stop_acting(self, row: DutyRow) -> None:
        row.is_held = False
        row.listener.on_duty_lost(row.name)

    def _on_members_changed(self) -> None:
        for row in self._rows.values():
            self._read_holder(row)

    def _read_holder(self, row: DutyRow) -> None:
        item = self._members.get_item(DUTIES_PREFIX + row.name)
        holder = read_holder(item) if item is not None else None
        known_fence = row.holder.fence if row.holder is not None else 0
        if holder is None or holder.fence <= known_fence:
            return
        self._record_holder(row, holder)

    def _record_holder(self, row: DutyRow, holder: DutyHolder) -> None:
        row.holder, row.vacant_since_s = holder, None
        if row.is_held and holder.fence > row.fence:
            self._ctx.log(
                LogName.DUTY_LOST,
                duty=row.name,
                fence=row.fence,
                holder=holder.instance,
                holder_fence=holder.fence,
            )
            self._stop_acting(row)

    def _tick(self) -> None:
        for row in list(self._rows.values()):
            if row.is_held and not self._may_act():
                self._ctx.log(LogName.DUTY_LOST, duty=row.name, fence=row.fence)
                self._stop_acting(row)
            elif not row.is_held and not row.commit_pending:
                self._try_take(row)

    def _try_take(self, row: DutyRow) -> None:
        if not self._is_vacant(row):
            row.vacant_since_s = None
            return
        if row.vacant_since_s is None:
            row.vacant_since_s = self._ctx.now_s
        if self._has_resigned or not self._members.is_lease_valid():
            return
        if (
            self._ctx.now_s - row.vacant_since_s
            < self._count_preferred_members(row) * RANK_DELAY_S
        ):
            return
        key = self._members.build_duty_key(row.name)
        identity = self._ctx.identity
        value = DutyHolder(identity.instance, identity.incarnation, 0).to_bytes()
        revision = row.holder.fence if row.holder is not None else 0
        commit = Commit((Expected(key, revision),), (Put(key, value),))
        # Read now: the mirror may show this write before the commit is answered.
        former_holder = row.holder
        predecessor_may_act_s = self._compute_may_act_s(former_holder)
        row.commit_pending = True
        self._ctx.call_store(
            commit,
            lambda result: self._on_committed(
                row, result, former_holder, predecessor_may_act_s
            ),
        )

    def _on_committed(
        self,
        row: DutyRow,
        result: StoreResult,
        former_holder: DutyHolder | None,
        predecessor_may_act_s: float,
    ) -> None:
        row.commit_pending = False
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
        if self._rows.get(row.name) is not row or self._has_resigned:
            row.fence = committed.revision
            self._release_duty(row)
            return
        row.is_held, row.fence, row.vacant_since_s = True, committed.revision, None
        self._ctx.log(
            LogName.DUTY_TAKEN,
            duty=row.name,
            fence=row.fence,
            predecessor_may_act_s=round(predecessor_may_act_s, 3),
        )
        row.listener.on_duty_taken(row.name, row.fence, predecessor_may_act_s)
        row.predecessor = former_holder if predecessor_may_act_s > 0.0 else None
        receivers = set(self._members.get_other_members())
        if row.predecessor is not None:
            receivers.add(row.predecessor.instance)
        for name in receivers:
            self._ctx.send(name, DutyAnnouncement(row.name, row.fence))

    def _on_announcement(self, envelope: Envelope) -> None:
        message: DutyAnnouncement = envelope.message
        row = self._rows.get(message.duty)
        if row is None:
            return
        known_fence = row.holder.fence if row.holder is not None else 0
        if message.fence > known_fence:
            self._record_holder(
                row,
                DutyHolder(envelope.sender, envelope.incarnation, message.fence),
            )
        if not row.is_held or row.fence < message.fence:
            self._ctx.send(envelope.sender, DutyStopped(message.duty, message.fence))

    def _on_stopped(self, envelope: Envelope) -> None:
        message: DutyStopped = envelope.message
        row = self._rows.get(message.duty)
        if row is None or not row.is_held or message.fence != row.fence:
            return
        predecessor = row.predecessor
        sender = (envelope.sender, envelope.incarnation)
        if (
            predecessor is not None
            and (predecessor.instance, predecessor.incarnation) == sender
        ):
            row.predecessor = None
            row.listener.on_predecessor_stopped(row.name)

    def _is_vacant(self, row: DutyRow) -> bool:
        """Return whether a duty has no live holder, as far as this instance knows."""
        if self._members.get_complete_duration_s() < START_SETTLE_S:
            return False
        holder = row.holder
        if holder is None or self._has_resigned_or_ended(holder):
            return True
        return self._members.get_absence_s(holder.instance) >= REREGISTRATION_GRACE_S

    def _has_resigned_or_ended(self, holder: DutyHolder) -> bool:
        return holder.instance == RESIGNED_HOLDER.instance or self._has_ended(holder)

    def _compute_may_act_s(self, holder: DutyHolder | None) -> float:
        """Return for how many seconds a former holder may still act."""
        if holder is None or self._has_resigned_or_ended(holder):
            return 0.0
        absent_s = self._members.get_absence_s(holder.instance)
        return max(0.0, OUTAGE_DUTY_EXTENSION_S - absent_s)

    def _has_ended(self, holder: DutyHolder) -> bool:
        """Return whether the process of a holder has ended, or is this one.

        The platform does not run two processes of one instance at the same time.
        """
        if holder.instance == self._ctx.identity.instance:
            return True
        member = self._members.get_other_members().get(holder.instance)
        return member is not None and member.incarnation != holder.incarnation

    def _count_preferred_members(self, row: DutyRow) -> int:
        """Return how many members rank before this one, the least loaded first."""
        weights = self._sum_duty_weights()
        own = self._ctx.identity.instance
        own_rank = (weights[own], hash_rank(row.name, own))
        return sum(
            (weights[name], hash_rank(row.name, name)) < own_rank
            for name in self._members.get_other_members()
        )

    def _sum_duty_weights(self) -> Counter[str]:
        """Return the total duty weight of each instance, with duties being taken."""
        weights: Counter[str] = Counter()
        for row in self._rows.values():
            if row.commit_pending:
                weights[self._ctx.identity.instance] += row.weight
            elif row.holder is not None and row.vacant_since_s is None:
                weights[row.holder.instance] += row.weight
        return weights
