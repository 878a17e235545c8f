"""Fits of measured series and their arithmetic at the target size."""

from collections.abc import Sequence
from typing import Final

import attrs

SECONDS_PER_DAY: Final = 86_400
BYTES_PER_KB: Final = 1_000
BYTES_PER_MB: Final = 1_000_000
# Rounding leaves equal values this far from their mean, relative to it.
ROUNDING: Final = 1e-12


@attrs.frozen
class Point:
    """One measurement: a size and the value found at it."""

    size: float
    value: float


@attrs.frozen
class Fit:
    """A straight line through a series; `r2` is its coefficient of determination."""

    slope: float
    intercept: float
    r2: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line; raise `ValueError` without two sizes."""
    if len({p.size for p in points}) < 2:
        raise ValueError("a fit needs at least two different sizes")
    count = len(points)
    mean_size = sum(p.size for p in points) / count
    mean_value = sum(p.value for p in points) / count
    spread = sum((p.size - mean_size) ** 2 for p in points)
    slope = sum((p.size - mean_size) * (p.value - mean_value) for p in points) / spread
    intercept = mean_value - slope * mean_size
    total = sum((p.value - mean_value) ** 2 for p in points)
    residual = sum((p.value - intercept - slope * p.size) ** 2 for p in points)
    constant = total <= count * (ROUNDING * mean_value) ** 2
    return Fit(slope, intercept, 1.0 if constant else 1.0 - residual / total)


@attrs.frozen
class NodeBudget:
    """What control work may cost one node."""

    core: float = 0.021
    memory_bytes: float = 64 * BYTES_PER_MB
    bytes_per_s: float = 11 * BYTES_PER_KB


@attrs.frozen
class StoreBudget:
    """Calls of the whole fleet; `writes_per_s` is the low reading of several hundred.

    A waiting watch counts as a read.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2_000.0
    value_max_bytes: float = BYTES_PER_MB


@attrs.frozen
class TargetSize:
    """The fleet that the design has to reach, from docs/design.md."""

    nodes: int = 5_900
    cell_members_max: int = 24
    requests_per_s: float = 76e6
    hot_keys: int = 230
    replacements_per_day: float = 1_300.0
    failures_per_day: float = 13.0
    configuration_changes_per_day: float = 14_000.0
    data_centres: int = 25
    node: NodeBudget = NodeBudget()
    store: StoreBudget = StoreBudget()

    @property
    def cells(self) -> int:
        """Return the smallest number of cells that hold all nodes."""
        return -(-self.nodes // self.cell_members_max)

    @property
    def requests_per_node_s(self) -> float:
        """Return the requests per second of a node with an equal part of the load."""
        return self.requests_per_s / self.nodes

    @property
    def nodes_per_data_centre(self) -> float:
        """Return the nodes of a data centre with an equal part of the fleet."""
        return self.nodes / self.data_centres

    def cores_per_node(self, request_us: float) -> float:
        """Return the busy cores of a node at a processor time per request in us."""
        return self.requests_per_node_s * request_us / 1e6


def per_second(events_per_day: float, calls_per_event: float) -> float:
    """Return the calls per second of events that are spread evenly over a day."""
    return events_per_day * calls_per_event / SECONDS_PER_DAY


def used(value: float, limit: float) -> float:
    """Return the fraction of a budget that a value uses; above 1 it is exceeded."""
    return value / limit


@attrs.frozen
class Series:
    """A measured quantity over sizes, with its fit and the value at the target."""

    name: str
    unit: str
    size_name: str
    points: tuple[Point, ...]
    target_size: float

    def fit(self) -> Fit:
        """Return the line through all points, several seeds at a size included."""
        return fit_line(self.points)

    def at_target(self) -> float:
        """Return the value of the line at the target size."""
        return self.fit().at(self.target_size)

    def means(self) -> tuple[Point, ...]:
        """Return the mean value at each size, by rising size."""
        sizes = sorted({p.size for p in self.points})
        return tuple(Point(size, self._mean_at(size)) for size in sizes)

    def _mean_at(self, size: float) -> float:
        values = [p.value for p in self.points if p.size == size]
        return sum(values) / len(values)


def merge(series: Sequence[Series]) -> tuple[Series, ...]:
    """Return one series per name and size name with the points of all of them."""
    merged: dict[tuple[str, str], Series] = {}
    for one in series:
        key = (one.name, one.size_name)
        known = merged.get(key)
        points = one.points if known is None else known.points + one.points
        merged[key] = attrs.evolve(one, points=points)
    return tuple(merged.values())
