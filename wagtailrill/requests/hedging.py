"""Hedges slow idempotent requests with a second attempt on another server."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.request_models import AttemptOutcome, AttemptResult
from ..placement.component import Placement
from ..placement.models import NoServerAvailable, PlacementQuery, ServerAssignment
from .attempts import AttemptRunner
from .interfaces import RetryBudget
from .models import RequestCounters, RequestRow
from .request_log import RequestLog

# Reported to placement for a placed request that is not sent.
NOT_SENT = AttemptResult(0, AttemptOutcome.CANCELLED, 0.0)


@attrs.frozen
class HedgingParts:
    """Dependencies of `Hedging`.

    `may_be_sent` returns whether a request still has no answer and a valid tenant key.
    `build_query` returns the placement query for a request; its second argument is
    true for a hedge.
    """

    ctx: Context
    retry_budget: RetryBudget
    placement: Placement
    attempts: AttemptRunner
    counters: RequestCounters
    log: RequestLog
    may_be_sent: Callable[[RequestRow], bool]
    build_query: Callable[[RequestRow, bool], PlacementQuery]


class Hedging:
    """Sends a second attempt to another server while the first still runs."""

    def __init__(self, parts: HedgingParts) -> None:
        self._parts = parts

    def schedule_hedge(self, row: RequestRow) -> None:
        """Hedge a request if it takes longer than usual."""
        if not row.route.idempotent or row.service.keyed or row.req.attempt_number:
            return
        delay_s = self._parts.retry_budget.get_hedge_delay_s(row.service.name)
        if delay_s is not None:
            row.hedge_timer = self._parts.ctx.timers.call_later(
                delay_s, lambda: self._request_placement(row)
            )

    def _request_placement(self, row: RequestRow) -> None:
        parts = self._parts
        if not parts.may_be_sent(row) or len(row.attempts) != 1:
            return
        if row.possible_runs + len(row.attempts) >= row.route.attempts_max:
            return
        if not parts.retry_budget.has_budget(row.service.name):
            return
        row.hedge_placement_id = parts.placement.find_server(
            parts.build_query(row, True),
            lambda result: self._handle_placement_result(row, result),
        )

    def _handle_placement_result(
        self, row: RequestRow, result: ServerAssignment | NoServerAvailable
    ) -> None:
        parts = self._parts
        row.hedge_placement_id = 0
        if isinstance(result, NoServerAvailable):
            return
        still_useful = parts.may_be_sent(row) and len(row.attempts) == 1
        if not still_useful or not parts.retry_budget.take_attempt(row.service.name):
            parts.placement.report_end(row.service.name, result, NOT_SENT)
            return
        parts.counters.hedges += 1
        parts.log.log_hedge(row, result)
        parts.attempts.start_attempt(row, result, is_hedge=True)
