"""Keeps the servers of a service in the order of what a request costs at each of them.

The dispatcher uses it. An event at a server changes the place of that server alone, so
that placing a request does not visit all of them.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Final

import attrs
from sortedcontainers import SortedList

from ..core.context import Context
from ..servers.load import Demand, LoadTable, ServerLoad
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import COST_REFRESH_INTERVAL_S, COST_TOLERANCE_RATIO, TICK_INTERVAL_S
from .records import DistanceCost, ServerDemand, ServerOptions

# Rates of full servers are summed in classes of cost, each this much above the last.
COST_CLASSES: Final = 64
COST_CLASSES_PER_E: Final = 8.0
# Class of a server that is as fast as usual; most others are slower.
USUAL_COST_CLASS: Final = 16


class Tier(enum.IntEnum):
    """Group of servers that is considered only if no earlier one has a server."""

    USABLE = 0
    SUSPECT = 1  # could not be reached lately
    COLD = 2
    COLD_SUSPECT = 3


WARM_TIERS: Final = (Tier.USABLE, Tier.SUSPECT)
COLD_TIERS: Final = (Tier.COLD, Tier.COLD_SUSPECT)
# By whether a server is cold, and whether it is suspect.
TIER_BY_STATE: Final = {
    (False, False): Tier.USABLE,
    (False, True): Tier.SUSPECT,
    (True, False): Tier.COLD,
    (True, True): Tier.COLD_SUSPECT,
}


@attrs.define(eq=False)
class Candidate:
    """A server as the index has it.

    `cost` is the cost of a second of work from the same data centre, and `rate` the
    seconds of work that the server ends per second when it is full. `tier` is None
    while the server accepts no work.
    """

    load: ServerLoad
    data_centre: str = ""
    tier: Tier | None = None
    cost: float = 0.0
    rate: float = 0.0
    free_slots: float = 0.0

    @property
    def entry(self) -> tuple[float, str]:
        """Return the sort key among servers, the cheapest first."""
        return self.cost, self.load.name


class ServerGroup:
    """The servers of one tier in one data centre.

    `rate` is the sum of their rates, `full_rate` that of the full ones.
    """

    def __init__(self) -> None:
        self.count = 0
        self.rate = 0.0
        self.full_rate = 0.0
        self._free = SortedList()
        self._full = SortedList()
        self._full_rates = [0.0] * COST_CLASSES

    def add(self, candidate: Candidate) -> None:
        """Add a server."""
        self.count += 1
        self.rate += candidate.rate
        if candidate.free_slots > 0.0:
            self._free.add(candidate.entry)
        else:
            self._full.add(candidate.entry)
            self.full_rate += candidate.rate
            self._full_rates[_get_cost_class(candidate.cost)] += candidate.rate

    def remove(self, candidate: Candidate) -> None:
        """Remove a server, whose fields are still those with which it was added."""
        self.count -= 1
        self.rate -= candidate.rate
        if candidate.free_slots > 0.0:
            self._free.remove(candidate.entry)
        else:
            self._full.remove(candidate.entry)
            self.full_rate -= candidate.rate
            self._full_rates[_get_cost_class(candidate.cost)] -= candidate.rate

    def change_slots(self, candidate: Candidate, free_slots: float) -> None:
        """Change the free slots of a server of the group."""
        if (candidate.free_slots > 0.0) is (free_slots > 0.0):
            candidate.free_slots = free_slots
            return
        self.remove(candidate)
        candidate.free_slots = free_slots
        self.add(candidate)

    def find_cheapest_free(self, excluded: frozenset[str]) -> tuple[float, str] | None:
        """Return cost and name of the cheapest server with a free slot, if any."""
        for cost, name in self._free:
            if name not in excluded:
                return cost, name
        return None

    def sum_faster_rate(self, cost: float) -> float:
        """Return the rate of the full servers that cost clearly less than `cost`."""
        return max(0.0, sum(self._full_rates[: _get_cost_class(cost)]))

    def get_lowest_full_cost(self) -> float:
        """Return the cost of the cheapest full server, infinite if there is none."""
        return self._full[0][0] if self._full else math.inf


def _get_cost_class(cost: float) -> int:
    if not 0.0 < cost < math.inf:
        return 0 if cost <= 0.0 else COST_CLASSES - 1
    number = USUAL_COST_CLASS + math.floor(COST_CLASSES_PER_E * math.log(cost))
    return min(max(number, 0), COST_CLASSES - 1)


# Groups of a tier by data centre.
DataCentreGroups = list[tuple[str, ServerGroup]]


class ServerIndex:
    """Finds the best server for a request among the servers of a service.

    Costs change with time, too: a part of the servers is looked at anew with each call
    of `refresh_some`. `accepts` returns whether a server may be chosen at all.
    """

    def __init__(
        self,
        ctx: Context,
        servers: ServerTable,
        loads: LoadTable,
        service: str,
        estimate_mean_work_s: Callable[[], float],
        demand: Demand,
        accepts: Callable[[ServerRow], bool],
    ) -> None:
        self._accepts = accepts
        self._ctx = ctx
        self._servers = servers
        self._loads = loads
        self._service = service
        self._estimate_mean_work_s = estimate_mean_work_s
        self._demand = demand
        self._rows: tuple[ServerRow, ...] = ()
        self._candidates: dict[str, Candidate] = {}
        self._groups: dict[Tier, dict[str, ServerGroup]] = {tier: {} for tier in Tier}
        self._to_refresh: list[str] = []

    def find_options(
        self, data_centre: str, excluded: frozenset[str], demand: ServerDemand
    ) -> ServerOptions:
        """Return the server options for a request from a data centre.

        Servers that are cold, excluded or could not be reached lately are left out
        unless no others remain.
        """
        self._follow_table()
        while True:
            groups, left_out = self._select_groups(excluded)
            costs = [
                demand.weigh_distance(group_data_centre, data_centre)
                for group_data_centre, _ in groups
            ]
            cost_s, name = _find_cheapest(groups, costs, left_out)
            candidate = self._candidates.get(name)
            if candidate is None or self._find_tier(candidate.load) is candidate.tier:
                break
            self._refresh(candidate)
        return self._make_options(groups, costs, candidate, cost_s, demand)

    def refresh(self, load: ServerLoad) -> None:
        """Put a server in its present place, after an event that concerns it."""
        candidate = self._candidates.get(load.name)
        if candidate is not None and candidate.load is load:
            self._refresh(candidate)

    def update_slots(self, load: ServerLoad) -> None:
        """Note that a server got a request; its cost stays as it is."""
        candidate = self._candidates.get(load.name)
        if candidate is None or candidate.load is not load or candidate.tier is None:
            return
        if load.has_no_report:
            self._refresh(candidate)  # an untried server costs less
            return
        group = self._groups[candidate.tier][candidate.data_centre]
        group.change_slots(candidate, _count_free_slots(load))

    def refresh_some(self, prepare: Callable[[ServerLoad], None]) -> None:
        """Refresh some servers, so that each is seen within the refresh interval.

        `prepare` updates what the load of a server does not know by itself. Until the
        first search, which a keyed service may never need, there is nothing to do.
        """
        if not self._candidates:
            return
        self._follow_table()
        if not self._to_refresh:
            self._to_refresh = list(self._candidates)
        share = TICK_INTERVAL_S / COST_REFRESH_INTERVAL_S
        for _ in range(math.ceil(len(self._candidates) * share)):
            if not self._to_refresh:
                return
            candidate = self._candidates.get(self._to_refresh.pop())
            if candidate is not None:
                prepare(candidate.load)
                self._refresh(candidate)

    def estimate_work_rate(self) -> float:
        """Return how many seconds of work the servers together end per second."""
        self._follow_table()
        groups, _ = self._select_groups(frozenset())
        rate = sum(group.rate for _, group in groups)
        return max(0.0, rate)

    def _follow_table(self) -> None:
        """Take over the servers of the table if they have changed."""
        rows = self._servers.rows_by_service.get(self._service, ())
        if rows is self._rows:
            return
        self._rows = rows
        loads = [self._loads.get_load(row) for row in rows]
        present = {load.name: load for load in loads}
        for name, candidate in list(self._candidates.items()):
            if present.get(name) is not candidate.load:
                self._take_out(candidate)
                del self._candidates[name]
        for load in loads:
            candidate = self._candidates.setdefault(load.name, Candidate(load))
            self._refresh(candidate)

    def _refresh(self, candidate: Candidate) -> None:
        load = candidate.load
        tier = self._find_tier(load)
        if tier is None:
            self._take_out(candidate)
            return
        cost = self._loads.estimate_local_cost_s(load) / self._loads.base_latency_s
        data_centre = load.row.entry.data_centre
        free_slots = _count_free_slots(load)
        if (
            tier is candidate.tier
            and data_centre == candidate.data_centre
            and abs(cost - candidate.cost) <= COST_TOLERANCE_RATIO * candidate.cost
        ):
            self._groups[tier][data_centre].change_slots(candidate, free_slots)
            return
        self._take_out(candidate)
        candidate.tier, candidate.cost = tier, cost
        candidate.rate = load.slots / self._loads.estimate_present_slowness(load)
        candidate.free_slots, candidate.data_centre = free_slots, data_centre
        groups = self._groups[tier]
        groups.setdefault(data_centre, ServerGroup()).add(candidate)

    def _take_out(self, candidate: Candidate) -> None:
        if candidate.tier is not None:
            self._groups[candidate.tier][candidate.data_centre].remove(candidate)
            candidate.tier = None

    def _find_tier(self, load: ServerLoad) -> Tier | None:
        if not self._accepts(load.row):
            return None
        is_cold = self._servers.is_cold(load.row)
        return TIER_BY_STATE[is_cold, load.is_suspect(self._ctx.now_s)]

    def _select_groups(
        self, excluded: frozenset[str]
    ) -> tuple[DataCentreGroups, frozenset[str]]:
        """Return the groups to choose from, and the servers to leave out of them."""
        tiers = WARM_TIERS if self._count(WARM_TIERS) else COLD_TIERS
        for tier in tiers:
            if self._count((tier,)) > self._count_excluded(tier, excluded):
                return list(self._groups[tier].items()), excluded
        groups = [item for tier in tiers for item in self._groups[tier].items()]
        return groups, frozenset()

    def _count(self, tiers: Iterable[Tier]) -> int:
        return sum(group.count for t in tiers for group in self._groups[t].values())

    def _count_excluded(self, tier: Tier, excluded: frozenset[str]) -> int:
        candidates = map(self._candidates.get, excluded)
        return sum(c is not None and c.tier is tier for c in candidates)

    def _make_options(
        self,
        groups: DataCentreGroups,
        costs: list[DistanceCost],
        best: Candidate | None,
        best_cost_s: float,
        demand: ServerDemand,
    ) -> ServerOptions:
        if best is None:
            return ServerOptions(None, math.inf, 0.0, math.inf)
        full_costs_s = [
            group.get_lowest_full_cost() * unit_s + least_s
            for (_, group), (unit_s, least_s) in zip(groups, costs, strict=True)
        ]
        fastest_cost_s = min(full_costs_s, default=math.inf)
        spare_rate_per_s = 0.0
        if fastest_cost_s < best_cost_s:
            misses_target = self._ctx.now_s + best_cost_s > demand.target_at_s
            spare_rate_per_s = self._estimate_spare_rate(
                groups, costs, best_cost_s, misses_target
            )
        return ServerOptions(
            best.load,
            best_cost_s,
            spare_rate_per_s,
            fastest_cost_s,
        )

    def _estimate_spare_rate(
        self,
        groups: DataCentreGroups,
        costs: list[DistanceCost],
        best_cost_s: float,
        misses_target: bool,
    ) -> float:
        """Return what faster servers start beyond the demand, in requests per second.

        They are the full servers at which a request costs less than `best_cost_s`. The
        demand does not count for a request that misses its target on the best free
        server: it loses nothing by waiting.
        """
        mean_work_s = self._estimate_mean_work_s()
        demand_rate = 0.0
        if not misses_target:
            demand_per_s = self._demand.compute_rate_per_s(self._ctx.now_s)
            demand_rate = demand_per_s * mean_work_s
        if sum(group.full_rate for _, group in groups) <= demand_rate:
            return 0.0
        faster_rate = sum(
            group.sum_faster_rate((best_cost_s - least_s) / unit_s)
            for (_, group), (unit_s, least_s) in zip(groups, costs, strict=True)
        )
        return max(0.0, faster_rate - demand_rate) / mean_work_s


def _find_cheapest(
    groups: DataCentreGroups, costs: list[DistanceCost], excluded: frozenset[str]
) -> tuple[float, str]:
    """Return cost and name of the best server with a free slot, no name without one."""
    best_cost_s, best_name = math.inf, ""
    for (_, group), (unit_s, least_s) in zip(groups, costs, strict=True):
        found = group.find_cheapest_free(excluded)
        if found is None:
            continue
        cost_s = found[0] * unit_s + least_s
        if cost_s < best_cost_s or not best_name:
            best_cost_s, best_name = cost_s, found[1]
    return best_cost_s, best_name


def _count_free_slots(load: ServerLoad) -> float:
    return max(0.0, load.slots - load.estimate_in_flight())
