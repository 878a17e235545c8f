"""Ends requests before a planned stop of the instance does."""

from collections.abc import Callable, Iterable

from ..core.context import Context
from ..core.refusals import Refusal
from .models import RequestRow
from .refusals import DRAINING


class PlannedStop:
    """Refuses requests that cannot end before the stop; `stops_at_s` is monotonic.

    `is_open` tells whether a request has no answer yet, `refuse_request` answers it.
    """

    def __init__(
        self,
        ctx: Context,
        is_open: Callable[[RequestRow], bool],
        refuse_request: Callable[[RequestRow, Refusal], None],
    ) -> None:
        self.stops_at_s = float("inf")
        self._ctx = ctx
        self._is_open = is_open
        self._refuse_request = refuse_request

    def begin(self, stops_at_s: float, rows: Iterable[RequestRow]) -> None:
        """Set the time of the stop, by which all open requests have to end."""
        self.stops_at_s = stops_at_s
        for row in rows:
            if row.deadline_s > stops_at_s:
                self._limit_deadline(row)

    def refuse_if_late(self, row: RequestRow) -> bool:
        """Refuse a request that may not be sent any more; return whether it is one."""
        now_s = self._ctx.now_s
        is_late = row.deadline_s > self.stops_at_s or now_s > row.latest_send_s
        if not is_late or row.may_have_run:
            return False
        self._refuse_request(row, DRAINING)
        return True

    def _limit_deadline(self, row: RequestRow) -> None:
        """Make a request end by the stop.

        One that no server has got is refused as soon as less than its target latency is
        left: sending it later would only have it cut off while it runs.
        """
        if row.deadline_timer is not None:
            row.deadline_timer.cancel()
        row.deadline_s = self.stops_at_s
        row.latest_send_s = self.stops_at_s - row.route.target_s
        row.deadline_timer = self._ctx.timers.call_at(
            row.deadline_s, lambda: self._refuse_if_open(row)
        )
        self._ctx.timers.call_at(row.latest_send_s, lambda: self._refuse_if_unsent(row))

    def _refuse_if_open(self, row: RequestRow) -> None:
        if self._is_open(row):
            self._refuse_request(row, DRAINING)

    def _refuse_if_unsent(self, row: RequestRow) -> None:
        if not row.may_have_run:
            self._refuse_if_open(row)
