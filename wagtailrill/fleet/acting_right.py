"""Judges for how long this instance may act for the duties that it holds.

Used by `Duties`.
"""

from ..core.context import Context
from ..store.revision import get_era
from .const import OUTAGE_DUTY_EXTENSION_S, REREGISTRATION_GRACE_S
from .duty_row import DutyRow
from .members import Members
from .models import DUTIES_PREFIX


class ActingRight:
    """Ties the right to act for a duty to the lease under which it was taken.

    During an outage of the store it lasts for another `OUTAGE_DUTY_EXTENSION_S`, since
    no one else can take the duty then. Another lease gives it back only once the mirror
    shows that nobody has taken the duty meanwhile.
    """

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members
        self._restored_lease_until_s = float("-inf")

    def may_act(self, row: DutyRow) -> bool:
        """Return whether this instance may act now for a duty that it holds."""
        return self._ctx.now_s < self._get_until_s(row)

    def _get_until_s(self, row: DutyRow) -> float:
        members = self._members
        if self.is_of_earlier_era(row.fence):
            return row.acts_until_s
        if row.lease_id != members.lease_id:
            return members.former_lease_until_s + OUTAGE_DUTY_EXTENSION_S
        if members.is_store_answering():
            return members.lease_until_s
        return members.lease_until_s + OUTAGE_DUTY_EXTENSION_S

    def confirm_lease(self, row: DutyRow) -> None:
        """Hold a duty under the present lease, if it was not taken before that began.

        Nobody takes it from a registered holder.
        """
        if self._members.is_registration_mirrored():
            item = self._members.get_item(DUTIES_PREFIX + row.name)
            if item is not None and item.revision == row.fence:
                row.lease_id = self._members.lease_id

    def note_restore(self) -> None:
        """Note the lease from before a restore of the store."""
        self._restored_lease_until_s = self._members.lease_until_s

    def limit_by_former_lease(self, row: DutyRow) -> None:
        """Bound the right to act for a duty that was held when the store was restored.

        It lasts until the entry has been written again.
        """
        until_s = self._restored_lease_until_s + OUTAGE_DUTY_EXTENSION_S
        row.acts_until_s = min(row.acts_until_s, until_s)

    def may_others_have_taken(self) -> bool:
        """Return whether another instance may have taken duties before the restore.

        The lease ended no earlier than this instance knows, and nobody takes a duty
        within a grace time after that.
        """
        grace_until_s = self._restored_lease_until_s + REREGISTRATION_GRACE_S
        return self._ctx.now_s >= grace_until_s

    def is_lease_valid_since_restore(self) -> bool:
        """Return whether the lease has been renewed or granted since the restore.

        The restore may have removed it, and with it the right to act.
        """
        until_s = self._members.lease_until_s
        return self._members.is_lease_valid() and until_s > self._restored_lease_until_s

    def is_of_earlier_era(self, revision: int) -> bool:
        """Return whether a revision is from before the latest restore."""
        return get_era(revision) < self._ctx.store_era.current
