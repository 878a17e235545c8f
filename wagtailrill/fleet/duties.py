"""Elects one instance as the holder of each duty, by keys and leases in the store.

Key ownership, placement, rate limits and the relay of server entries register duties.
"""

from collections.abc import Iterable

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..peer.registry import Envelope
from .acting_right import ActingRight
from .awaited_answers import AwaitedAnswers
from .const import (
    ANNOUNCEMENT_INTERVAL_S,
    RANK_DELAY_S,
)
from .duty_entries import DutyEntries
from .duty_row import DutyRow, count_preferred_members
from .duty_ticks import DutyTicks
from .earlier_holders import EarlierHolders, Succession
from .holder_liveness import HolderLiveness
from .members import Members
from .messages import DutyAnnouncement, DutyStopped
from .models import (
    DUTIES_PREFIX,
    RESIGNED_HOLDER,
    DutyHolder,
    DutyListener,
    read_holder,
)


class Duties:
    """Takes vacant duties, and keeps them while this instance's member lease is valid.

    The key of a duty stays in the store and names its last holder, whose member key
    shows whether it still runs. A successor must assume that its predecessor acts for
    as long as `ActingRight` allows, unless that process is known to have ended. The
    same holds for the holders before it, which are listed in the store while they may
    act (`EarlierHolders`).

    After a restore of the store from a copy, an entry that was written in an earlier
    era names nobody: a later holder may be missing from the copy. The holder writes its
    entry again; a successor must assume that any instance may still act.
    """

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members
        self._rows: dict[str, DutyRow] = {}
        self._has_resigned = False
        self._liveness = HolderLiveness(ctx, members)
        self._earlier_holders = EarlierHolders(ctx, members, self._liveness)
        self._acting_right = ActingRight(ctx, members)
        self._entries = DutyEntries(ctx, members)
        ctx.store_era.add_listener(self._on_store_restored)
        members.add_listener(self._on_members_changed)
        self._ticks = DutyTicks(ctx, members, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.register_message_handler([DutyAnnouncement], self._on_announcement)
        host.register_message_handler([DutyStopped], self._on_stopped)

    def register(
        self,
        duty: str,
        listener: DutyListener,
        weight: int,
        is_exclusive: bool = True,
    ) -> None:
        """Become a candidate for a duty; `weight` is its relative load.

        Unless it `is_exclusive`, a second holder does no harm.
        """
        if duty not in self._rows:
            row = DutyRow(duty, listener, weight, is_exclusive)
            self._rows[duty] = row
            self._read_holder(row)
            self._ticks.resume()

    def withdraw(self, duty: str) -> None:
        """Stop being a candidate for a duty, and release it if held."""
        row = self._rows.pop(duty, None)
        if row is not None and row.is_held:
            self._release_duty(row)

    def holds(self, duty: str) -> bool:
        """Return whether this instance holds a duty and may act for it now."""
        row = self._rows.get(duty)
        return row is not None and row.is_held and self._acting_right.may_act(row)

    def get_fence(self, duty: str) -> int:
        """Return the fencing token of a duty held here, 0 if it is not."""
        row = self._rows.get(duty)
        return row.fence if row is not None and row.is_held else 0

    def get_holder(self, duty: str) -> DutyHolder | None:
        """Return the last known holder of a duty, None if none is known."""
        row = self._rows.get(duty)
        return row.holder if row is not None else None

    def list_held_duties(self) -> tuple[str, ...]:
        """Return the names of the duties that this instance holds."""
        return tuple(name for name in self._rows if self.holds(name))

    def hand_over(self, duty: str) -> None:
        """Stop acting for a duty at once, while the store cannot be told.

        It is for duties of which a second holder does no harm: others that are told
        take it without waiting for the end of this instance's lease.
        """
        row = self._rows.get(duty)
        if row is not None and row.is_held:
            self._ctx.log(LogName.DUTY_RESIGNED, duty=duty, fence=row.fence)
            self._stop_acting(row)
            row.holder = attrs.evolve(RESIGNED_HOLDER, fence=row.fence)

    def note_handed_over(self, duty: str, fence: int) -> None:
        """Note that the holder with a fencing token has handed a duty over."""
        row = self._rows.get(duty)
        if row is None or row.is_held or row.holder is None:
            return
        if row.holder.fence == fence:
            row.holder = attrs.evolve(RESIGNED_HOLDER, fence=fence)

    def resign_all(self) -> None:
        """Release all duties for good, since the process stops."""
        self._has_resigned = True
        for row in self._rows.values():
            if row.is_held:
                self._release_duty(row)

    def _release_duty(self, row: DutyRow) -> None:
        self._ctx.log(LogName.DUTY_RESIGNED, duty=row.name, fence=row.fence)
        self._stop_acting(row)
        revision: int | None = row.fence
        if self._acting_right.is_of_earlier_era(row.fence):
            revision = self._entries.get_revision(row)
        self._entries.write(row, RESIGNED_HOLDER, revision, lambda fence: None)

    def _stop_acting(self, row: DutyRow) -> None:
        row.is_held = False
        row.answers = AwaitedAnswers()
        row.listener.on_duty_lost(row.name)

    def _on_members_changed(self) -> None:
        self._ticks.resume()
        for row in self._rows.values():
            self._read_holder(row)

    def _read_holder(self, row: DutyRow) -> None:
        self._earlier_holders.observe(row)
        item = self._members.get_item(DUTIES_PREFIX + row.name)
        holder = read_holder(item) if item is not None else None
        known_fence = row.holder.fence if row.holder is not None else 0
        if holder is None or holder.is_outdated or holder.fence <= known_fence:
            return
        self._record_holder(row, holder)

    def _record_holder(self, row: DutyRow, holder: DutyHolder) -> None:
        row.holder, row.vacant_since_s = holder, None
        row.holder_seen_s = self._ctx.now_s
        self._ticks.resume()
        if not row.is_held or holder.fence <= row.fence:
            return
        if holder.instance == self._ctx.identity.instance:
            # A write after a restore that was not answered has taken effect.
            self._record_reassertion(row, holder.fence)
        else:
            self._ctx.log(
                LogName.DUTY_LOST,
                duty=row.name,
                fence=row.fence,
                holder=holder.instance,
                holder_fence=holder.fence,
            )
            self._stop_acting(row)

    def _tick(self) -> None:
        self._liveness.observe_era()
        for row in list(self._rows.values()):
            if row.is_held and not self._acting_right.may_act(row):
                self._ctx.log(LogName.DUTY_LOST, duty=row.name, fence=row.fence)
                self._stop_acting(row)
            elif row.is_held:
                self._keep_duty(row)
            elif not row.commit_pending:
                self._try_take(row)
        self._ticks.update(self._rows.values())

    # Taking a vacant duty

    def _try_take(self, row: DutyRow) -> None:
        is_own = self._liveness.is_own_predecessor(row.holder)
        if not is_own and not self._liveness.is_vacant(row.holder):
            row.vacant_since_s = None
            return
        if row.vacant_since_s is None:
            row.vacant_since_s = self._ctx.now_s
        if self._has_resigned or not self._members.is_lease_valid():
            return
        if self._ctx.store_budget.is_turned_away:
            return
        # After a restart of all, each takes the duties again that it had.
        own, rows = self._ctx.identity.instance, self._rows.values()
        capacities = self._members.list_capacities()
        preferred_count = (
            0 if is_own else count_preferred_members(row, rows, own, capacities)
        )
        if self._ctx.now_s - row.vacant_since_s < preferred_count * RANK_DELAY_S:
            return
        # Read now: the mirror may show this write before the commit is answered.
        succession = self._earlier_holders.plan(row)
        lease_id = self._members.lease_id
        self._entries.write(
            row,
            self._liveness.build_own_holder(0),
            self._entries.get_revision(row),
            lambda fence: self._on_taken(row, fence, succession, lease_id),
            succession,
        )

    def _on_taken(
        self, row: DutyRow, fence: int, succession: Succession, lease_id: int
    ) -> None:
        former_holder, predecessor_may_act_s = row.holder, succession.may_act_s
        row.holder = self._liveness.build_own_holder(fence)
        row.fence, row.lease_id = fence, lease_id
        if self._rows.get(row.name) is not row or self._has_resigned:
            self._release_duty(row)
            return
        row.is_held, row.vacant_since_s = True, None
        row.is_confirmed, row.acts_until_s = True, float("inf")
        row.predecessor_bound_s = self._ctx.now_s + predecessor_may_act_s
        row.predecessor_may_act_until_s = row.predecessor_bound_s
        row.answers = self._liveness.await_predecessors(
            succession.list_instances(), predecessor_may_act_s
        )
        self._ctx.log(
            LogName.DUTY_TAKEN,
            duty=row.name,
            fence=row.fence,
            predecessor_may_act_s=round(predecessor_may_act_s, 3),
            former_holder=former_holder.instance if former_holder is not None else "",
            may_act=",".join(sorted(succession.list_instances())),
            awaited=len(row.answers.instances),
        )
        row.listener.on_duty_taken(row.name, row.fence, predecessor_may_act_s)
        others = self._members.get_other_members()
        self._announce(row, row.answers.instances.union(others))

    # Keeping a duty

    def _on_store_restored(self) -> None:
        """Keep the held duties until their entries are written again.

        Those that others may have taken over meanwhile are asked about first.
        """
        self._acting_right.note_restore()
        for row in self._rows.values():
            if not row.is_held:
                continue
            self._acting_right.limit_by_former_lease(row)
            if self._acting_right.may_others_have_taken():
                row.is_confirmed = False
                others = self._liveness.list_possibly_running_others()
                others |= row.answers.instances
                # Its successor may have started since this instance lost the store.
                row.answers = AwaitedAnswers(others, True, not others)
            self._announce(row, self._members.get_other_members())

    def _keep_duty(self, row: DutyRow) -> None:
        now_s = self._ctx.now_s
        may_predecessor_act = now_s < row.predecessor_may_act_until_s
        if not may_predecessor_act and not self._acting_right.is_of_earlier_era(
            row.fence
        ):
            self._earlier_holders.forget(row)
        self._acting_right.confirm_lease(row)
        is_answer_needed = not row.is_confirmed or may_predecessor_act
        if is_answer_needed and now_s - row.announced_s >= ANNOUNCEMENT_INTERVAL_S:
            self._announce(row, row.answers.instances)
        if (
            self._acting_right.is_of_earlier_era(row.fence)
            and (row.is_confirmed or row.answers.are_complete)
            and not row.commit_pending
            and self._acting_right.is_lease_valid_since_restore()
        ):
            self._entries.write(
                row,
                self._liveness.build_own_holder(0),
                self._entries.get_revision(row),
                lambda fence: self._record_reassertion(row, fence),
            )

    def _record_reassertion(self, row: DutyRow, fence: int) -> None:
        if not row.is_held or fence <= row.fence:
            return
        self._ctx.log(
            LogName.DUTY_REASSERTED, duty=row.name, fence=fence, former_fence=row.fence
        )
        row.fence, row.holder = fence, self._liveness.build_own_holder(fence)
        row.lease_id = self._members.lease_id
        row.is_confirmed, row.acts_until_s = True, float("inf")

    # Messages

    def _announce(self, row: DutyRow, receivers: Iterable[str]) -> None:
        row.announced_s = self._ctx.now_s
        for name in receivers:
            self._ctx.send(name, DutyAnnouncement(row.name, row.fence))

    def _on_announcement(self, envelope: Envelope) -> None:
        message: DutyAnnouncement = envelope.message
        row = self._rows.get(message.duty)
        if row is None:
            return
        if row.is_held and message.fence < row.fence:
            self._await_earlier_holder(row, envelope.sender)
            return
        known_fence = row.holder.fence if row.holder is not None else 0
        if message.fence > known_fence:
            self._record_holder(
                row,
                DutyHolder(envelope.sender, envelope.incarnation, message.fence),
            )
        if message.fence >= known_fence and not (
            row.is_held and row.fence >= message.fence
        ):
            self._ctx.send(envelope.sender, self._liveness.build_answer(message))

    def _await_earlier_holder(self, row: DutyRow, sender: str) -> None:
        """Wait for a holder that does not know of its successor, and announce it."""
        self._announce(row, (sender,))
        now_s, until_s = self._ctx.now_s, row.predecessor_bound_s
        if now_s >= until_s:
            return
        row.answers.add_again(sender)
        if row.predecessor_may_act_until_s < until_s:
            row.predecessor_may_act_until_s = until_s
            row.listener.on_predecessor_found(row.name, until_s - now_s)

    def _on_stopped(self, envelope: Envelope) -> None:
        message: DutyStopped = envelope.message
        row = self._rows.get(message.duty)
        if row is None or not row.is_held or message.fence != row.fence:
            return
        row.answers.record(envelope.sender, message.knows_all)
        if row.answers.awaits_all:
            self._await_others(row, message.instances)
        is_waiting = self._ctx.now_s < row.predecessor_may_act_until_s
        if is_waiting and row.answers.are_complete:
            row.predecessor_may_act_until_s = float("-inf")
            row.listener.on_predecessor_stopped(row.name)

    def _await_others(self, row: DutyRow, names: Iterable[str]) -> None:
        """Await also those that another instance knows, or that have registered."""
        others = self._liveness.list_possibly_running_others().union(names)
        added = row.answers.add(others - {self._ctx.identity.instance})
        if added:
            self._announce(row, added)
