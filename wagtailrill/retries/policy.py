"""Decides on retries and hedges of the requests of this instance."""

from typing import Final

import attrs

from ..core.context import Context
from ..core.orders import AttemptOutcome
from ..declaration.models import Configuration, Route
from .budget import Budget
from .const import HEDGE_WEIGHT
from .histogram import LatencyHistogram
from .models import RetrySettings

# The backend server ran nothing, so even an action may be sent again.
NOTHING_RUN: Final = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.FENCED, AttemptOutcome.CONNECT_FAILED}
)
MAY_HAVE_RUN: Final = frozenset(
    {AttemptOutcome.LOST, AttemptOutcome.BAD_ANSWER, AttemptOutcome.TIMED_OUT}
)
RETRIED_OUTCOMES: Final = {True: NOTHING_RUN | MAY_HAVE_RUN, False: NOTHING_RUN}


@attrs.define(eq=False)
class ServiceRow:
    """Budgets and latencies of one service."""

    retries: Budget
    hedges: Budget
    depends_on: tuple[str, ...] = ()
    histogram: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    hedge_s: float = 0.0

    @property
    def hedge_cost_s(self) -> float:
        """Return the duration expected of a hedge in seconds."""
        return max(self.hedge_s, self.histogram.mean_s())


class RetryPolicy:
    """Budgets per service, in the instance that received the request."""

    def __init__(self, ctx: Context, cfg: RetrySettings) -> None:
        self.ctx = ctx
        self.cfg = cfg
        self._rows: dict[str, ServiceRow] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; services that remain keep their budgets."""
        rows: dict[str, ServiceRow] = {}
        for name in configuration.services:
            row = rows[name] = self._rows.get(name) or self._new_row()
            row.depends_on = _transitive(configuration, name)
        self._rows = rows

    def on_request(self, service: str) -> None:
        """Count a caller's request."""
        row = self._rows.get(service)
        if row is not None:
            row.retries.deposit(self.ctx.now_s)

    def may_retry(
        self,
        service: str,
        route: Route,
        attempt_header: int,
        outcome: AttemptOutcome,
        attempts_made: int,
    ) -> bool:
        """Return whether to send a request again; True takes from the budget.

        `attempt_header` is the caller's `Wagtailrill-Attempt`, 0 if there is none.
        """
        row = self._rows.get(service)
        if row is None or attempt_header >= 1:
            return False
        if attempts_made >= self.cfg.attempts_max:
            return False
        if outcome not in RETRIED_OUTCOMES[route.idempotent]:
            return False
        if self._dependency_exhausted(row):
            return False
        return row.retries.withdraw(self.ctx.now_s)

    def hedge_delay_s(self, service: str) -> float | None:
        """Return after how many seconds to hedge an idempotent request, or None."""
        row = self._rows.get(service)
        if row is None or row.histogram.total < self.cfg.hedge_samples_min:
            return None
        if row.hedges.exhausted(self.ctx.now_s, row.hedge_cost_s):
            return None
        if self._dependency_exhausted(row):
            return None
        return row.histogram.quantile_s(self.cfg.hedge_quantile)

    def take_hedge(self, service: str) -> bool:
        """Take one hedge from the budget when its delay is over.

        Its work is estimated from earlier hedges until `hedge_ended`.
        """
        row = self._rows.get(service)
        if row is None:
            return False
        return row.hedges.withdraw(self.ctx.now_s, row.hedge_cost_s)

    def hedge_ended(self, service: str, latency_s: float) -> None:
        """Charge the work of a hedge: requests that take long have long hedges."""
        row = self._rows.get(service)
        if row is not None:
            row.hedges.correct(self.ctx.now_s, latency_s - row.hedge_cost_s)
            row.hedge_s += HEDGE_WEIGHT * (latency_s - row.hedge_s)

    def record(self, service: str, outcome: AttemptOutcome, latency_s: float) -> None:
        """Take in the latency of an answer to a request's first attempt."""
        row = self._rows.get(service)
        if row is not None and outcome is AttemptOutcome.ANSWERED:
            row.histogram.record(latency_s)
            row.hedges.deposit(self.ctx.now_s, latency_s)

    def backoff_s(self, attempts_made: int) -> float:
        """Return how many seconds to wait before the next attempt."""
        limit_s = self.cfg.backoff_base_s * 2.0 ** (attempts_made - 1)
        return self.ctx.rng.uniform(0.0, min(limit_s, self.cfg.backoff_max_s))

    def _new_row(self) -> ServiceRow:
        cfg, now_s = self.cfg, self.ctx.now_s
        return ServiceRow(
            Budget(cfg.retry_share, cfg.retry_minimum, cfg.window_s, updated_s=now_s),
            Budget(cfg.hedge_share, 0.0, cfg.window_s, updated_s=now_s),
        )

    def _dependency_exhausted(self, row: ServiceRow) -> bool:
        now_s = self.ctx.now_s
        return any(
            self._rows[name].retries.exhausted(now_s)
            for name in row.depends_on
            if name in self._rows
        )


def _transitive(configuration: Configuration, service: str) -> tuple[str, ...]:
    """Return the direct and indirect dependencies of a service."""
    found: dict[str, None] = {}
    pending = [service]
    while pending:
        declared = configuration.services.get(pending.pop())
        for name in declared.depends_on if declared else ():
            if name not in found and name != service:
                found[name] = None
                pending.append(name)
    return tuple(found)
