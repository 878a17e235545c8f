"""Start id of a backend server and the capacity that follows from its uptime."""

import attrs

from ..core.const import granter_duration_s, holder_duration_s
from ..declaration.models import SlowStart


@attrs.define
class Ramp:
    """Slow start of one backend server at its home; times are the home's clock.

    Of two start ids the one seen last is current: a process that was replaced is not
    seen again. A late report of the old id is put right by the next answer.
    """

    started_s: float
    start_id: str = ""
    seen_s: float = float("-inf")

    def capacity(self, slots: int, slow_start: SlowStart, now_s: float) -> int:
        """Return how many of the slots may be used now."""
        step_s = granter_duration_s(slow_start.step_s)
        steps = int((now_s - self.started_s) / step_s)
        return min(slots, slow_start.slots + steps)

    def restart(self, now_s: float, uptime_s: float) -> None:
        """Begin the ramp anew for a server that has run for at least `uptime_s`."""
        self.started_s = now_s - holder_duration_s(uptime_s)

    def sighted(
        self, start_id: str, seen_s: float, now_s: float, uptime_s: float
    ) -> bool:
        """Take in a sighting of a start id; return whether it shows a restart."""
        if not start_id:
            return False
        if not self.start_id:
            # The server may have restarted since this home began to lend.
            self.start_id, self.seen_s = start_id, seen_s
            self.restart(now_s, uptime_s)
            return False
        if start_id == self.start_id:
            self.seen_s = max(self.seen_s, seen_s)
            self.started_s = min(self.started_s, now_s - holder_duration_s(uptime_s))
            return False
        if seen_s <= self.seen_s:
            return False
        self.start_id, self.seen_s = start_id, seen_s
        self.restart(now_s, uptime_s)
        return True
