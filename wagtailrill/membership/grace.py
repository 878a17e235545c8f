"""Wait of a new coordinator before it reassigns what silent members held."""

from collections.abc import Collection

from ..core.const import CLOCK_RATE_BOUND, granter_duration_s
from ..partitions.directory import Member
from .models import MembershipSettings


def majority(count: int) -> int:
    """Return the size of a majority."""
    return count // 2 + 1


class GraceWait:
    """Tracks acknowledgements of a new term and the end of the grace wait.

    A process acknowledges also for its predecessor of the same instance name, which
    had ended when it started; its own start counts as the last confirmation.
    """

    def __init__(
        self,
        cfg: MembershipSettings,
        members: Collection[Member],
        taken_over_s: float,
        resigned: bool,
    ) -> None:
        self._cfg = cfg
        self._waiting = {member.instance for member in members}
        self._needed = majority(len(members)) if members else 0
        self._acknowledged: set[str] = set()
        wait_s = cfg.member_lease_s if resigned else cfg.lease_cap_s
        self._end_s = taken_over_s + self.wait_s(wait_s)

    @staticmethod
    def wait_s(duration_s: float) -> float:
        """Return the wait in seconds for leases of a duration."""
        return granter_duration_s(duration_s)

    def acknowledge(self, instance: str, now_s: float, outage_age_s: float) -> None:
        """Record an acknowledgement whose sender confirmed an outage that long ago."""
        if instance not in self._waiting or self.has_majority():
            return
        self._acknowledged.add(instance)
        confirmed_s = now_s - outage_age_s * (1.0 - 2.0 * CLOCK_RATE_BOUND)
        cfg = self._cfg
        wait_s = self.wait_s(cfg.peer_confirmation_s + cfg.lease_cap_s)
        self._end_s = max(self._end_s, confirmed_s + wait_s)

    def has_majority(self) -> bool:
        """Return whether a majority of the table's members acknowledged the term."""
        return len(self._acknowledged) >= self._needed

    def over(self, now_s: float) -> bool:
        """Return whether silent members hold nothing any more."""
        return self.has_majority() and now_s >= self._end_s
