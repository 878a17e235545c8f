"""Requests that wait to be placed again, as their key has no reachable owner."""

from collections.abc import Callable

from ..core.context import Context
from .const import PLACEMENT_RETRY_INTERVAL_S
from .models import RequestRow, RequestState


class WaitingRequests:
    """Retries the placement of waiting requests, by priority and then by age."""

    def __init__(
        self, ctx: Context, request_placement: Callable[[RequestRow], None]
    ) -> None:
        self._ctx = ctx
        self._request_placement = request_placement
        self._rows: dict[int, RequestRow] = {}
        self._tick_scheduled = False

    def add(self, row: RequestRow) -> None:
        """Have a request placed again at the next tick."""
        row.state = RequestState.WAITING
        self._rows[row.req.request_id] = row
        self._schedule_tick()

    def discard(self, row: RequestRow) -> None:
        """Remove a request that has ended, if it waits."""
        self._rows.pop(row.req.request_id, None)

    def _schedule_tick(self) -> None:
        if not self._tick_scheduled:
            self._tick_scheduled = True
            self._ctx.timers.call_later(PLACEMENT_RETRY_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        rows = sorted(self._rows.values(), key=_get_rank)
        self._rows.clear()
        for row in rows:
            self._request_placement(row)
        if self._rows:
            self._schedule_tick()


def _get_rank(row: RequestRow) -> tuple[int, float]:
    return row.priority, row.arrived_s
