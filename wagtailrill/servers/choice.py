"""Chooses a backend server for a request by what this instance itself has observed.

Placement and the attempts of requests use it.
"""

from ..core.context import Context
from ..core.request_models import AttemptResult
from ..costs.book import CostBook
from ..costs.models import NO_TRAITS, ExpectedCost, RequestTraits
from .distance import DistanceSettings
from .load import Expectation, LoadTable
from .models import ServerRow
from .table import ServerTable
from .warmth import ColdAllowances


class ServerChoice:
    """Chooses among the servers that accept work, without asking other instances.

    It also keeps to this instance's share of the allowance of each cold server.
    """

    def __init__(
        self,
        ctx: Context,
        table: ServerTable,
        cold_allowances: ColdAllowances,
        costs: CostBook,
        distance: DistanceSettings,
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._cold_allowances = cold_allowances
        self._costs = costs
        self._distance = distance
        self._loads: dict[str, LoadTable] = {}

    def choose_server(
        self, service: str, exclude: frozenset[str], traits: RequestTraits = NO_TRAITS
    ) -> ServerRow | None:
        """Return the server with the lowest expected latency, None if there is none.

        `exclude` holds the names of servers that are not considered, and `traits` are
        those of the request.
        """
        rows = [
            row
            for row in self._table.rows_by_service.get(service, ())
            if self._table.accepts_work(row)
            and row.name not in exclude
            and not row.is_paused(self._ctx.now_s)
            and self._cold_allowances.may_send(row)
        ]
        loads = self._get_loads(service)
        now_s = self._ctx.now_s
        reachable = [row for row in rows if not loads.get_load(row).is_suspect(now_s)]
        cost = self.estimate_cost(service, traits)
        remote_s = self._distance.estimate_bytes_s(traits, cost)
        return min(
            reachable or rows,
            key=lambda row: self._estimate_latency_s(row, cost, remote_s),
            default=None,
        )

    def estimate_cost(self, service: str, traits: RequestTraits) -> ExpectedCost:
        """Return the expected cost of a request, as far as this instance knows."""
        usual_work_s = self._get_loads(service).base_latency_s
        return self._costs.get_estimator(service).estimate(traits, usual_work_s)

    def find_usable_server(self, backend_server: str) -> ServerRow | None:
        """Return the row of a named server, None if it may not get a request now."""
        row = self._table.rows.get(backend_server)
        if row is None or not self._table.accepts_keyed_requests(row):
            return None
        if row.is_paused(self._ctx.now_s):
            return None
        if not self._cold_allowances.may_send(row):
            return None
        return row

    def find_owner_without_dispatcher(self, owner: str) -> ServerRow | None:
        """Return the row of a key's owner, None if it may not get a request now.

        Requests at a version under test are counted by the dispatcher alone.
        """
        row = self.find_usable_server(owner)
        if row is not None and self._table.versions.is_bounded(row.entry):
            return None
        return row

    def get_pause_left_s(self, service: str, owner: str = "") -> float:
        """Return for how many seconds all servers of a service still want no requests.

        With `owner` only that server counts. The result is 0 if one wants requests, or
        if there is none.
        """
        now_s = self._ctx.now_s
        if now_s >= self._table.last_pause_end_s:
            return 0.0
        pauses_s = [
            max(0.0, row.paused_until_s - now_s)
            for row in self._table.rows_by_service.get(service, ())
            if (row.name == owner if owner else self._table.accepts_work(row))
        ]
        return min(pauses_s, default=0.0)

    def record_send(self, row: ServerRow) -> None:
        """Record that a request is sent to a server."""
        self._ctx.invariants.check(
            self._table.versions.is_permitted(row.entry),
            "only_allowed_versions_run_requests",
            f"{row.name} of version {row.entry.version}",
        )
        self._get_loads(row.entry.service).get_load(row).assigned_requests += 1
        self._cold_allowances.record_send(row)

    def record_result(
        self, row: ServerRow, result: AttemptResult, traits: RequestTraits = NO_TRAITS
    ) -> None:
        """Record the result of an attempt at a request with some traits."""
        loads = self._get_loads(row.entry.service)
        cost = self.estimate_cost(row.entry.service, traits)
        load = loads.get_load(row)
        load.assigned_requests = max(0, load.assigned_requests - 1)
        # Without any knowledge of such requests the median of all is expected.
        expected = None
        if cost.certainty > 0.0:
            expected = Expectation(cost.median_work_s, cost.certainty)
        loads.record_end(load, result.outcome, result.latency_s, result.load, expected)

    def _estimate_latency_s(
        self, row: ServerRow, cost: ExpectedCost, remote_s: float
    ) -> float:
        loads = self._get_loads(row.entry.service)
        load = loads.get_load(row)
        load_factor = max(1.0, (load.estimate_in_flight() + 1.0) / load.slots)
        data_centre = self._ctx.identity.data_centre
        latency_s = loads.estimate_cost_s(load, data_centre, cost.work_s) * load_factor
        if row.entry.data_centre != data_centre:
            latency_s += remote_s
        # Jitter spreads requests over servers with equal estimates.
        return latency_s * (1.0 + 0.02 * self._ctx.rng.random())

    def _get_loads(self, service: str) -> LoadTable:
        loads = self._loads.get(service)
        if loads is None:
            loads = self._loads[service] = LoadTable(self._ctx)
        return loads
