"""Second attempts at requests whose first one takes long."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.orders import AttemptOutcome, AttemptResult
from ..placement.component import Placement
from ..placement.models import NoServerAvailable, PlacementQuery, ServerAssignment
from .attempts import AttemptRunner
from .interfaces import Retries
from .models import RequestCounters, RequestRow
from .request_log import RequestLog

# Reported for a placed request that is not sent.
NOT_STARTED = AttemptResult(0, AttemptOutcome.CANCELLED, 0.0)


@attrs.frozen
class HedgingParts:
    """What hedging needs; `current` tells whether a request still has no answer."""

    ctx: Context
    retries: Retries
    placement: Placement
    attempts: AttemptRunner
    counters: RequestCounters
    log: RequestLog
    current: Callable[[RequestRow], bool]
    wanted: Callable[[RequestRow, bool], PlacementQuery]


class Hedging:
    """Sends a second attempt to another server while the first is under way."""

    def __init__(self, parts: HedgingParts) -> None:
        self._parts = parts

    def arm(self, row: RequestRow) -> None:
        """Hedge a request when it takes longer than usual."""
        if not row.route.idempotent or row.service.keyed or row.req.attempt:
            return
        delay_s = self._parts.retries.get_hedge_delay_s(row.service.name)
        if delay_s is not None:
            row.hedge_timer = self._parts.ctx.timers.call_later(
                delay_s, lambda: self._hedge(row)
            )

    def _hedge(self, row: RequestRow) -> None:
        parts = self._parts
        if not parts.current(row) or len(row.attempts) != 1:
            return
        if row.runs + len(row.attempts) >= row.route.attempts_max:
            return
        if not parts.retries.has_budget(row.service.name):
            return
        row.hedge_question = parts.placement.find_server(
            parts.wanted(row, True), lambda result: self._placed(row, result)
        )

    def _placed(
        self, row: RequestRow, result: ServerAssignment | NoServerAvailable
    ) -> None:
        parts = self._parts
        row.hedge_question = 0
        if isinstance(result, NoServerAvailable):
            return
        wanted = parts.current(row) and len(row.attempts) == 1
        if not wanted or not parts.retries.take_attempt(row.service.name):
            parts.placement.report_end(row.service.name, result, NOT_STARTED)
            return
        parts.counters.hedges += 1
        parts.log.hedged(row, result)
        parts.attempts.start(row, result, hedge=True)
