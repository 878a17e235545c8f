"""Remembers what processes of backend servers have said of themselves in answers.

The server table uses it. A process is remembered apart from its row, since its entry
may be missing for a while although it runs, as after an outage of the store.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from .const import LEAVING_RETENTION_S
from .models import ServerProcess

UNPAUSED_S = float("-inf")
NOT_LEAVING_S = float("inf")


@attrs.define(eq=False)
class _ProcessNotices:
    """What one process has said, and when last; monotonic times in seconds."""

    last_told_s: float
    leaving_since_s: float = NOT_LEAVING_S
    paused_until_s: float = UNPAUSED_S


class NoticeMemory:
    """Leaving processes, and the ends of the pauses that processes have asked for.

    `is_present` tells whether a process has an entry. Others are forgotten
    `LEAVING_RETENTION_S` after they last said something, which is no shorter than the
    longest pause.
    """

    def __init__(
        self, ctx: Context, is_present: Callable[[ServerProcess], bool]
    ) -> None:
        self._ctx = ctx
        self._is_present = is_present
        self._notices: dict[ServerProcess, _ProcessNotices] = {}

    def record_leaving(self, process: ServerProcess) -> bool:
        """Record that a process leaves; return whether that is news."""
        known = self._get_or_add(process)
        is_news = known.leaving_since_s == NOT_LEAVING_S
        known.leaving_since_s = min(known.leaving_since_s, self._ctx.now_s)
        return is_news

    def record_pause(self, process: ServerProcess, until_s: float) -> float:
        """Record a pause; return when the longest one of the process ends."""
        known = self._get_or_add(process)
        known.paused_until_s = max(known.paused_until_s, until_s)
        return known.paused_until_s

    def is_leaving(self, process: ServerProcess) -> bool:
        """Return whether a process has said that it leaves."""
        return self.get_leaving_since_s(process) < NOT_LEAVING_S

    def get_leaving_since_s(self, process: ServerProcess) -> float:
        """Return when a process said that it leaves, infinity if it has not."""
        known = self._notices.get(process)
        return known.leaving_since_s if known is not None else NOT_LEAVING_S

    def get_paused_until_s(self, process: ServerProcess) -> float:
        """Return when the pause of a process ends, minus infinity without one."""
        known = self._notices.get(process)
        return known.paused_until_s if known is not None else UNPAUSED_S

    def count(self) -> int:
        """Return the number of processes that are remembered."""
        return len(self._notices)

    def _get_or_add(self, process: ServerProcess) -> _ProcessNotices:
        now_s = self._ctx.now_s
        known = self._notices.get(process)
        if known is None:
            self._drop_ended()
            known = self._notices[process] = _ProcessNotices(now_s)
        known.last_told_s = now_s
        return known

    def _drop_ended(self) -> None:
        now_s = self._ctx.now_s
        self._notices = {
            process: known
            for process, known in self._notices.items()
            if self._is_present(process)
            or now_s - known.last_told_s < LEAVING_RETENTION_S
        }
