"""Load, capacity and room of the servers of a service, while moves are planned."""

import math
from collections.abc import Iterable, Sequence

import attrs

from .const import USAGE_LONG_TIME_CONSTANT_S
from .load_map import LoadMap

# An owner is overloaded above this utilisation, and relieved down to the second one.
OVERLOAD_UTILISATION = 0.95
RELIEVED_UTILISATION = 0.8
# Moves leave a target below this utilisation, or below this part of the source's if
# that is more, but never overloaded.
TARGET_UTILISATION_MAX = 0.75
TARGET_UTILISATION_RATIO = 0.5
# The decayed long rate varies like a count over twice its time constant. An owner is
# overloaded if its load would still be too high one standard deviation lower.
LOAD_MEASURED_S = 2.0 * USAGE_LONG_TIME_CONSTANT_S
# At a slowness this many times the median one, requests miss their target latency
# even without a wait, so that keys leave an owner that is not overloaded.
SLOW_OWNER_RATIO = 4.0
TARGETS_TRIED_MAX = 8
SOURCES_TRIED_MAX = 8


@attrs.frozen
class Holding:
    """Positions `first` to `last`, inclusive, of one owner; moved only if `movable`."""

    first: int
    last: int
    owner: str
    movable: bool = True


@attrs.frozen
class Capacity:
    """What a server can run: requests per second when all slots are used.

    `slowness` is the service time of a request relative to the usual time, 1.0.
    """

    name: str
    requests_per_s: float
    slowness: float = 1.0

    def estimate_in_progress(self, load_per_s: float) -> float:
        """Return the requests in progress, divided by a request's usual time (seconds).

        `load_per_s` is in requests per second.
        """
        return load_per_s * self.estimate_time(load_per_s)

    def estimate_time(self, load_per_s: float) -> float:
        """Return a request's time with its wait for a slot, relative to the usual time.

        The shape is that of a queue with several servers: short waits up to a
        utilisation of 0.8, and long ones near 1.
        """
        utilisation = load_per_s / max(self.requests_per_s, 1e-3)
        if utilisation >= 1.0:
            return self.slowness * (11.0 + 20.0 * (utilisation - 1.0))
        return self.slowness * (
            1.0 + utilisation**6 / (3.0 * (1.0 - utilisation) + 0.1)
        )


@attrs.define
class ServerLoads:
    """Requests per second by server, updated while moves are planned."""

    capacities: dict[str, Capacity]
    loads_per_s: dict[str, float]

    @classmethod
    def from_holdings(
        cls,
        holdings: Iterable[Holding],
        capacities: Sequence[Capacity],
        load_map: LoadMap,
    ) -> "ServerLoads":
        """Return the loads by the servers' holdings; unknown owners are left out."""
        loads = cls({c.name: c for c in capacities}, {c.name: 0.0 for c in capacities})
        for holding in holdings:
            if holding.owner in loads.loads_per_s:
                loads.loads_per_s[holding.owner] += load_map.sum_load(
                    holding.first, holding.last
                )
        return loads

    def estimate_added_requests(self, name: str, added_per_s: float) -> float:
        """Return the requests in progress that more load would add at a server."""
        capacity, load_per_s = self.capacities[name], self.loads_per_s[name]
        return capacity.estimate_in_progress(
            load_per_s + added_per_s
        ) - capacity.estimate_in_progress(load_per_s)

    def find_cheapest(self, added_per_s: float, names: Iterable[str]) -> str:
        """Return the server where more load adds the fewest requests in progress."""
        return min(
            names,
            key=lambda name: (self.estimate_added_requests(name, added_per_s), name),
        )

    def get_utilisation(self, name: str) -> float:
        """Return the part of a server's capacity that its load uses, 1.0 for all."""
        return self.loads_per_s[name] / max(self.capacities[name].requests_per_s, 1e-3)

    def list_sources(self, names: Iterable[str]) -> list[str]:
        """Return servers that are to give up keys, the longest request times first."""

        def estimate_time(name: str) -> float:
            return self.capacities[name].estimate_time(self.loads_per_s[name])

        slowness = sorted(c.slowness for c in self.capacities.values())
        slow_from = SLOW_OWNER_RATIO * slowness[len(slowness) // 2]
        sources = [
            name
            for name in names
            if self.is_overloaded(name) or self.capacities[name].slowness >= slow_from
        ]
        sources.sort(key=lambda name: (-estimate_time(name), name))
        return sources[:SOURCES_TRIED_MAX]

    def is_overloaded(self, name: str) -> bool:
        """Return whether a server's load is certainly too high."""
        load_per_s = self.loads_per_s[name]
        sure_per_s = load_per_s - math.sqrt(max(load_per_s, 0.0) / LOAD_MEASURED_S)
        return sure_per_s > OVERLOAD_UTILISATION * self.capacities[name].requests_per_s

    def estimate_room(self, name: str, source: str) -> float:
        """Return the requests per second that a server can take over from a source."""
        limit = max(
            TARGET_UTILISATION_MAX,
            min(
                TARGET_UTILISATION_RATIO * self.get_utilisation(source),
                OVERLOAD_UTILISATION,
            ),
        )
        capacity = self.capacities[name]
        return limit * capacity.requests_per_s - self.loads_per_s[name]

    def estimate_excess(self, name: str) -> float:
        """Return the requests per second that a source should give up."""
        load_per_s = self.loads_per_s[name]
        relieved_per_s = RELIEVED_UTILISATION * self.capacities[name].requests_per_s
        if load_per_s <= relieved_per_s:  # a slow owner, which gives up all its keys
            return load_per_s
        return load_per_s - relieved_per_s

    def list_targets(self, source: str) -> list[str]:
        """Return servers with room for keys of a source.

        The one where more load adds the fewest requests in progress comes first.
        """
        source_slowness = self.capacities[source].slowness
        names = [
            name
            for name in self.capacities
            if name != source
            and self.capacities[name].slowness
            < max(source_slowness, 1.0) * SLOW_OWNER_RATIO
            and self.estimate_room(name, source) > 0.0
        ]
        names.sort(key=lambda name: (self.estimate_added_requests(name, 1.0), name))
        return names[:TARGETS_TRIED_MAX]

    def move_load(self, moved_per_s: float, target: str, source: str = "") -> None:
        """Add load to `target` and subtract it from `source`, unless that is empty."""
        self.loads_per_s[target] += moved_per_s
        if source:
            self.loads_per_s[source] -= moved_per_s
