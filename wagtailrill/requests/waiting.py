"""Requests whose key has no owner that can be asked."""

from collections.abc import Callable

from ..core.context import Context
from .const import WAIT_TICK_S
from .models import RequestRow, RequestState


class WaitingRequests:
    """Lets requests look for a backend server again, the most urgent first."""

    def __init__(self, ctx: Context, place: Callable[[RequestRow], None]) -> None:
        self._ctx = ctx
        self._place = place
        self._rows: dict[int, RequestRow] = {}
        self._ticking = False

    def add(self, row: RequestRow) -> None:
        """Let a request look again soon."""
        row.state = RequestState.WAITING
        self._rows[row.req.request_id] = row
        self._arm()

    def discard(self, row: RequestRow) -> None:
        """Forget a request that has ended."""
        self._rows.pop(row.req.request_id, None)

    def _arm(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._ctx.timers.call_later(WAIT_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        rows = sorted(self._rows.values(), key=_urgency)
        self._rows.clear()
        for row in rows:
            self._place(row)
        if self._rows:
            self._arm()


def _urgency(row: RequestRow) -> tuple[int, float]:
    return row.priority, row.arrived_s
