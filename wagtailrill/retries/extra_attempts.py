"""Budget of retries and hedges, and the hedging delay; used by the request pipeline."""

from collections import deque
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..declaration.models import Configuration
from .histogram import LatencyHistogram


@attrs.frozen
class ExtraAttemptSettings:
    """Fleet-wide limits of extra attempts, that is of retries and hedges.

    In any window of `window_s` seconds a service may get `share` times its requests
    plus `allowance` extra attempts. Only the fraction `part` of that is used, since
    each instance counts its own requests and attempts. A request is hedged when it
    takes longer than the quantile `hedge_quantile` of latencies, once there are
    `hedge_samples_min` of them.
    """

    share: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0
    part: float = 0.8
    hedge_quantile: float = 0.9
    hedge_samples_min: int = 30


@attrs.define
class ServiceRow:
    """Recent requests and extra attempts of one service, and its latencies.

    `depends_on` are its direct and indirect dependencies. The deques hold the monotonic
    times in seconds of the current window.
    """

    depends_on: tuple[str, ...] = ()
    histogram: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    request_times_s: deque[float] = attrs.field(factory=deque)
    extra_times_s: deque[float] = attrs.field(factory=deque)

    def drop_before(self, window_start_s: float) -> None:
        """Drop the times before the start of the window."""
        for times_s in (self.request_times_s, self.extra_times_s):
            while times_s and times_s[0] < window_start_s:
                times_s.popleft()


class ExtraAttemptBudget:
    """Limits the extra attempts of this instance to its part of the fleet's budget.

    The process before this one may have used the instance's part of the allowance. So
    there is none until a window has passed since the start, unless the whole deployment
    starts for the first time.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: ExtraAttemptSettings,
        list_instances: Callable[[], tuple[str, ...]],
        is_first_start: bool = False,
    ) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._list_instances = list_instances
        self._rows: dict[str, ServiceRow] = {}
        # Monotonic time of the first configuration, `-inf` if there was none before.
        self._started_s = float("-inf") if is_first_start else None

    def apply_settings(self, cfg: ExtraAttemptSettings) -> None:
        """Replace the settings."""
        self._cfg = cfg

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; services that it keeps retain their counts."""
        if self._started_s is None:
            self._started_s = self._ctx.now_s
        self._rows = {
            name: self._rows.get(name) or ServiceRow()
            for name in configuration.services
        }
        for name, row in self._rows.items():
            row.depends_on = _find_dependencies(configuration, name)

    def count_request(self, service: str) -> None:
        """Count a caller's request."""
        row = self._rows.get(service)
        if row is not None:
            row.request_times_s.append(self._ctx.now_s)
            row.drop_before(self._ctx.now_s - self._cfg.window_s)

    def has_budget(self, service: str) -> bool:
        """Return whether the budget has room for one extra attempt."""
        row = self._rows.get(service)
        if row is None or not self._has_budget(row):
            return False
        # Extra attempts would add load to a dependency that has used up its budget.
        dependencies = (self._rows.get(name) for name in row.depends_on)
        return all(other is None or self._has_budget(other) for other in dependencies)

    def take_attempt(self, service: str) -> bool:
        """Take one extra attempt from the budget; return whether there was one."""
        if not self.has_budget(service):
            return False
        self._rows[service].extra_times_s.append(self._ctx.now_s)
        return True

    def record_latency(self, service: str, latency_s: float) -> None:
        """Record the latency of an answer in seconds."""
        row = self._rows.get(service)
        if row is not None:
            row.histogram.record_latency(latency_s)

    def get_hedge_delay_s(self, service: str) -> float | None:
        """Return after how many seconds to hedge a request, None for never."""
        row = self._rows.get(service)
        if row is None or row.histogram.total < self._cfg.hedge_samples_min:
            return None
        return row.histogram.get_quantile_s(self._cfg.hedge_quantile)

    def _has_budget(self, row: ServiceRow) -> bool:
        row.drop_before(self._ctx.now_s - self._cfg.window_s)
        return len(row.extra_times_s) + 1 <= self._compute_budget(row)

    def _compute_budget(self, row: ServiceRow) -> float:
        cfg = self._cfg
        allowance = 0.0
        if self._started_s is not None and self._has_run_for_window(self._started_s):
            allowance = cfg.allowance / max(len(self._list_instances()), 1)
        return cfg.part * (cfg.share * len(row.request_times_s) + allowance)

    def _has_run_for_window(self, started_s: float) -> bool:
        return self._ctx.now_s - started_s >= self._cfg.window_s


def _find_dependencies(configuration: Configuration, service: str) -> tuple[str, ...]:
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
