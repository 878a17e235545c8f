"""Judges whether the holders of duties, known or not, can still act for them.

Used by `Duties` when it takes a duty.
"""

from ..core.context import Context
from ..store.const import WATCH_PAUSE_S
from ..store.revision import FIRST_ERA
from .awaited_answers import AwaitedAnswers
from .const import (
    ENDED_HOLDER_MAX_S,
    REREGISTRATION_GRACE_S,
    RESTORE_SETTLE_S,
    START_SETTLE_S,
    UNKNOWN_HOLDER_MAX_S,
)
from .members import Members
from .messages import DutyAnnouncement, DutyStopped
from .models import RESIGNED_HOLDER, DutyHolder, HolderTerm


class HolderLiveness:
    """Judges holders by the members of the deployment and the era of the store.

    After a restore of the store there may be a holder that no entry names.
    """

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members
        # Monotonic time at which this instance learned of an era of the store.
        self._era_known_s: float | None = None

    def observe_era(self) -> None:
        """Record the time at which the era of the store is first known."""
        if self._era_known_s is None and self._ctx.store_era.current:
            self._era_known_s = self._ctx.now_s

    def is_vacant(self, holder: DutyHolder | None) -> bool:
        """Return whether a duty has no live holder, as far as this instance knows.

        `holder` is the last known one.
        """
        if self._members.get_complete_duration_s() < START_SETTLE_S:
            return False
        if self._ctx.now_s - self._get_restored_s() < RESTORE_SETTLE_S:
            return False
        if holder is None or self._has_ended(holder.term):
            return True
        absent_s = self._members.get_absence_s(holder.instance)
        return absent_s >= self._compute_reregistration_grace_s()

    def is_own_predecessor(self, holder: DutyHolder | None) -> bool:
        """Return whether a holder is an earlier process of this instance.

        It has ended, and nobody has taken the duty since. After a restore of the store
        that is not known.
        """
        identity = self._ctx.identity
        return (
            holder is not None
            and holder.instance == identity.instance
            and holder.incarnation != identity.incarnation
            and self._members.mirror.is_complete
            and self._ctx.now_s - self._get_restored_s() >= RESTORE_SETTLE_S
        )

    def compute_last_may_act_s(self, term: HolderTerm, seen_s: float) -> float:
        """Return for how many seconds the last holder may still act.

        Its entry was first seen at `seen_s`; it is not registered any more.
        """
        if self._has_ended(term):
            return 0.0
        absent_s = self._members.get_absence_s(term.instance)
        # Unless its end was seen, it may have come and gone while the mirror was not
        # up to date.
        absent_s = min(absent_s, self._ctx.now_s - seen_s)
        return max(0.0, ENDED_HOLDER_MAX_S - absent_s)

    def compute_earlier_may_act_s(self, term: HolderTerm, listed_s: float) -> float:
        """Return for how many seconds a holder before the last one may still act.

        It was first seen in the list at `listed_s`, when its lease had ended. It may be
        registered again, which does not extend its term.
        """
        if self._has_ended(term):
            return 0.0
        return max(0.0, listed_s + ENDED_HOLDER_MAX_S - self._ctx.now_s)

    def await_predecessors(
        self, earlier_instances: set[str], may_act_s: float
    ) -> AwaitedAnswers:
        """Return whose answers show that nobody else acts for a duty that was taken."""
        if self.compute_unknown_holder_s() > 0.0:
            others = self.list_possibly_running_others() | earlier_instances
            return AwaitedAnswers(others, True, self.knows_all_instances())
        if may_act_s <= 0.0:
            return AwaitedAnswers()
        return AwaitedAnswers(set(earlier_instances))

    def build_own_holder(self, fence: int) -> DutyHolder:
        """Return this process as a holder."""
        identity = self._ctx.identity
        return DutyHolder(identity.instance, identity.incarnation, fence)

    def build_answer(self, message: DutyAnnouncement) -> DutyStopped:
        """Return the answer of an instance that does not act for a duty."""
        return DutyStopped(
            message.duty,
            message.fence,
            self._members.list_possibly_running(),
            self.knows_all_instances(),
        )

    def list_possibly_running_others(self) -> set[str]:
        """Return the names of all other instances that may run."""
        names = set(self._members.list_possibly_running())
        return names - {self._ctx.identity.instance}

    def knows_all_instances(self) -> bool:
        """Return whether this instance knows all that may still act for a duty.

        One that started after a restore of the store does not know of those that the
        copy lacks and that cannot reach the store.
        """
        return self._members.get_complete_duration_s() >= UNKNOWN_HOLDER_MAX_S

    def _get_restored_s(self) -> float:
        """Return the latest time at which the present era can have begun.

        It is `-inf` if the store is known not to have been restored.
        """
        restored_s = self._ctx.store_era.risen_s
        if self._era_known_s is not None and self._ctx.store_era.current > FIRST_ERA:
            restored_s = max(restored_s, self._era_known_s)
        return restored_s

    def compute_unknown_holder_s(self) -> float:
        """Return for how many seconds a holder that no entry names may still act.

        Its lease is from before the restore, so it ended soon after it.
        """
        until_s = self._get_restored_s() + UNKNOWN_HOLDER_MAX_S
        return max(0.0, until_s - self._ctx.now_s)

    def _compute_reregistration_grace_s(self) -> float:
        """Return for how long a holder that registers again may seem to be gone.

        In a large fleet the mirror shows changes with a longer delay.
        """
        delay_s = self._members.mirror.watch_pause_s - WATCH_PAUSE_S
        return REREGISTRATION_GRACE_S + delay_s

    def _has_ended(self, term: HolderTerm) -> bool:
        """Return whether a holder has resigned, its process has ended or is this one.

        The platform does not run two processes of one instance at the same time, so
        another one that has registered after the term began shows its end. The mirror
        may still show an earlier process, when the holder has announced itself.
        """
        if term.instance in (RESIGNED_HOLDER.instance, self._ctx.identity.instance):
            return True
        member = self._members.get_other_members().get(term.instance)
        if member is None or member.incarnation == term.incarnation:
            return False
        return self._members.get_registered_revision(term.instance) > term.fence
