"""Choice of a backend server for requests without a key."""

import math

from ..core.context import Context
from ..core.orders import AttemptOutcome
from ..declaration.models import Configuration
from .const import SCORE_STEPS_PER_E, TICK_INTERVAL_S
from .latency import Latency
from .models import BalancerSettings, OutlierSignal, OutlierState, PermitView
from .outliers import FAILURES, ServerRow, is_slow, may_eject


class Balancer:
    """Chooses among the backend servers of a service; decides for one instance."""

    def __init__(
        self, ctx: Context, permits: PermitView, cfg: BalancerSettings
    ) -> None:
        self.ctx = ctx
        self.permits = permits
        self.cfg = cfg
        self.rows: dict[str, ServerRow] = {}
        self._configuration: Configuration | None = None
        self._services: dict[str, tuple[ServerRow, ...]] = {}
        ctx.timers.subscribe(TICK_INTERVAL_S, self._tick)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; servers that take work again get it by a ramp."""
        former, self._configuration = self._configuration, configuration
        for name, entry in configuration.backend_servers.items():
            row = self.rows.get(name)
            if row is None:
                latency = Latency(self.cfg.latency_decay_s)
                row = self.rows[name] = ServerRow(name, entry.data_centre, latency)
            row.data_centre = entry.data_centre
            if (
                former is not None
                and configuration.accepts_work(name)
                and not former.accepts_work(name)
            ):
                row.returned_s = self.ctx.now_s
        for name in self.rows.keys() - configuration.backend_servers.keys():
            del self.rows[name]
        self._services = {
            service.name: tuple(self.rows[b.name] for b in service.backend_servers)
            for service in configuration.declaration.services
        }

    def choose(self, service: str, exclude: frozenset[str]) -> str | None:
        """Return a backend server that accepts work, or None if there is none."""
        rows = self._candidates(service, exclude)
        if not rows:
            return None
        idle = [r for r in rows if self.permits.idle(r.name) > 0]
        if idle:
            return min(idle, key=self._score).name
        pair = self.ctx.rng.sample(rows, min(2, len(rows)))
        return min(pair, key=self._queue_score).name

    def record(
        self, backend_server: str, outcome: AttemptOutcome, latency_s: float
    ) -> None:
        """Take in the end of an attempt.

        A cancelled attempt shows only that an answer takes at least this long.
        """
        row = self.rows.get(backend_server)
        if row is None:
            return
        answered = outcome is AttemptOutcome.ANSWERED
        cancelled = outcome is AttemptOutcome.CANCELLED
        if cancelled:
            latency_s = max(latency_s, row.latency.mean_s)
        if answered or cancelled:
            row.latency.record(latency_s, self.ctx.now_s)
        row.failures = 0 if answered else row.failures + (outcome in FAILURES)
        service = self._service_of(backend_server)
        slow = is_slow(row, service, self.cfg)
        if row.failures >= self._failures_allowed(row) or slow:
            self._signal_bad(row, service)
        elif answered:
            row.good += 1
            if row.good >= self.cfg.probation_good:
                row.signal(OutlierSignal.GOOD, self.ctx.now_s, self.cfg)

    def report_load(self, backend_server: str, load: float) -> None:
        """Take in a load report; it lags, so it only breaks ties."""
        row = self.rows.get(backend_server)
        if row is not None:
            row.load = load

    def _service_of(self, backend_server: str) -> tuple[ServerRow, ...]:
        if self._configuration is None:
            return ()
        return self._services[self._configuration.service_of[backend_server].name]

    def _failures_allowed(self, row: ServerRow) -> int:
        return 1 if row.state is OutlierState.PROBATION else self.cfg.failures

    def _signal_bad(self, row: ServerRow, service: tuple[ServerRow, ...]) -> None:
        on_trial = row.state is OutlierState.PROBATION
        if on_trial or may_eject(service, self.cfg):
            row.signal(OutlierSignal.BAD, self.ctx.now_s, self.cfg)

    def _candidates(self, service: str, exclude: frozenset[str]) -> list[ServerRow]:
        configuration = self._configuration
        if configuration is None:
            return []
        rows = [
            r
            for r in self._services.get(service, ())
            if r.name not in exclude and configuration.accepts_work(r.name)
        ]
        usable = [r for r in rows if r.state is not OutlierState.EJECTED]
        taking_turns = [r for r in usable if self._has_turn(r)]
        return taking_turns or usable or rows

    def _has_turn(self, row: ServerRow) -> bool:
        share = 1.0
        if row.state is OutlierState.PROBATION:
            share = self.cfg.probation_share
        since_s = self.ctx.now_s - row.returned_s
        share = min(share, since_s / self.cfg.return_ramp_s)
        return share >= 1.0 or self.ctx.rng.random() < share

    def _latency_s(self, row: ServerRow) -> float:
        latency_s = row.latency.score_s(self.ctx.now_s)
        local = row.data_centre == self.ctx.identity.data_centre
        return latency_s if local else latency_s * self.cfg.remote_factor

    def _score(self, row: ServerRow) -> tuple[int, float]:
        score = self._latency_s(row) * (self.permits.in_use(row.name) + 1)
        return int(math.log(max(score, 1e-9)) * SCORE_STEPS_PER_E), row.load

    def _queue_score(self, row: ServerRow) -> tuple[int, float, float]:
        queue_length = self.permits.queue_length(row.name)
        return queue_length, self._latency_s(row), row.load

    def _tick(self) -> None:
        for row in self.rows.values():
            ended = self.ctx.now_s >= row.ejected_until_s
            if row.state is OutlierState.EJECTED and ended:
                row.signal(OutlierSignal.WAIT_OVER, self.ctx.now_s, self.cfg)
