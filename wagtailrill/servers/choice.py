"""Choice of a backend server by the time at which it would answer."""

import attrs

from ..core.context import Context
from ..core.orders import AttemptOutcome, AttemptResult
from .models import OutlierState, ServerRow
from .table import ServerTable
from .warmth import ColdAllowances


@attrs.frozen
class ChoiceSettings:
    """Weights of the choice; durations in seconds.

    `report_age_s` is how fast a reported load loses its worth, `distant_s` what a
    server of another data centre has to be faster by.
    """

    report_age_s: float = 0.6
    distant_s: float = 0.004
    work_weight: float = 0.1
    work_initial_s: float = 0.1


class ServerChoice:
    """Chooses among the servers of a service that take work."""

    def __init__(
        self,
        ctx: Context,
        table: ServerTable,
        cold: ColdAllowances,
        cfg: ChoiceSettings,
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._cold = cold
        self._cfg = cfg

    def choose(self, service: str, exclude: frozenset[str]) -> ServerRow | None:
        """Return the server that would answer first, or None if none takes work."""
        rows = [
            row
            for row in self._table.by_service.get(service, ())
            if self._table.accepts_work(row)
            and row.name not in exclude
            and self._cold.may_send(row)
        ]
        usable = [row for row in rows if row.outlier is not OutlierState.EJECTED]
        if not rows:
            return None
        return min(usable or rows, key=self.expected_s)

    def keyed(self, backend_server: str) -> ServerRow | None:
        """Return the row of a key's owner, or None while it cannot take a request."""
        row = self._table.rows.get(backend_server)
        if row is None or not self._cold.may_send(row):
            return None
        return row

    def expected_s(self, row: ServerRow) -> float:
        """Return the seconds until a new request would be answered."""
        cfg = self._cfg
        age_s = self._ctx.now_s - row.reported_s
        worth = max(0.0, 1.0 - age_s / cfg.report_age_s)
        slots = max(row.entry.slots, 1)
        slowness = 1.0 + (row.slowness - 1.0) * worth
        ahead = row.others + row.in_flight
        crowding = max(1.0, (ahead + 1.0) / slots)
        work_s = row.work_s or cfg.work_initial_s
        distant = row.entry.data_centre != self._ctx.identity.data_centre
        tie_s = 0.02 * work_s * ahead / slots + self._ctx.rng.random() * 1e-3
        return work_s * slowness * crowding + tie_s + (cfg.distant_s if distant else 0)

    def sent(self, row: ServerRow) -> None:
        """Count a request that is sent to a server."""
        row.in_flight += 1
        self._cold.sent(row)

    def ended(self, row: ServerRow, result: AttemptResult) -> None:
        """Take in the end of an attempt."""
        row.in_flight -= 1
        now_s = self._ctx.now_s
        if result.load is not None:
            load = result.load
            row.others = max(0.0, load.running + load.waiting - row.in_flight)
            row.slowness = load.slowness
            row.reported_s = now_s
        if result.outcome is AttemptOutcome.ANSWERED:
            crowding = max(1.0, (row.others + row.in_flight + 1) / row.entry.slots)
            sample_s = result.latency_s / (max(row.slowness, 0.1) * crowding)
            row.samples += 1
            weight = max(1.0 / row.samples, self._cfg.work_weight)
            row.work_s += weight * (sample_s - row.work_s)
        if result.leaving:
            row.leaving_seen = True
