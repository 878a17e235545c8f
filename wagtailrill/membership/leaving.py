"""Planned leave of a member."""

from collections.abc import Callable

from .const import LEAVE_TIMEOUT_S
from .follower import Follower


class Leaving:
    """Waits for the handover of the homes, gives up the lease, and ends membership.

    The coordinator drops a leaving member only after it gave up its lease.
    """

    def __init__(self, follower: Follower) -> None:
        self.follower = follower
        self.view = follower.view
        self.left = False
        self._on_left: Callable[[], None] | None = None
        self._end_s = float("inf")

    def start(self, on_left: Callable[[], None]) -> None:
        """Start to leave."""
        self.follower.leaving = True
        self._on_left = on_left
        self._end_s = self.view.ctx.now_s + LEAVE_TIMEOUT_S

    def tick(self, leads: bool) -> bool:
        """Take the next step towards leaving; return whether that was the last."""
        if not self.follower.leaving or self.left:
            return False
        if self.view.join and not self._has_homes(leads):
            self.view.give_up_lease()
            self.follower.reply()
        table = self.view.table
        member = table is not None and self.view.me in table.members
        if not member or self.view.ctx.now_s >= self._end_s:
            self._finish()
        return self.left

    def _has_homes(self, leads: bool) -> bool:
        table = self.view.table
        if table is None:
            return False
        vacant = any(not home.instance for home in table.homes)
        handing_over = leads and vacant and len(table.members) > 1
        return bool(self.view.held) or handing_over

    def _finish(self) -> None:
        self.left = True
        self.view.give_up_lease()
        if self._on_left is not None:
            self._on_left()
