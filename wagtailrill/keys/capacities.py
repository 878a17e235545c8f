"""Smooths the capacities of servers, by which their keys are assigned.

Used by the assigner of segments.
"""

import math
from collections import deque
from typing import Final

import attrs

from ..core.context import Context
from ..core.request_models import LoadReport
from ..servers.models import ServerRow
from .server_loads import Capacity

# Estimates from single requests vary by a third within a second. Keys should move for
# what lasts longer than a move takes to pay off.
SMOOTHING_TIME_CONSTANT_S: Final = 4.0
# A server whose reports have all been so much slower than its estimate for this time is
# slow for longer than a moment. Grants bring a report each 0.7 s.
LASTING_SLOWNESS_S: Final = 1.2
LASTING_SLOWNESS_RATIO: Final = 2.0
LASTING_REPORTS_MIN: Final = 3
# Capacities follow from the mean work and the median slowness of a server. Its mean
# slowness is higher by what lasts for moments, so that it is full at about this part.
USABLE_CAPACITY_RATIO: Final = 0.75


@attrs.define(eq=False)
class ServerEstimate:
    """Smoothed capacity of one server process, with its recent reports.

    `reports` has pairs of the monotonic time and the slowness reported.
    """

    row: ServerRow
    capacity: Capacity
    updated_s: float
    reports: deque[tuple[float, float]] = attrs.field(factory=deque)

    def update(self, capacity: Capacity, now_s: float) -> None:
        """Move the smoothed capacity towards a new estimate."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_TIME_CONSTANT_S)
        self.capacity = Capacity(
            capacity.name,
            _approach(self.capacity.requests_per_s, capacity.requests_per_s, weight),
            _approach(self.capacity.slowness, capacity.slowness, weight),
        )

    def record_report(self, slowness: float, now_s: float) -> None:
        """Note a reported slowness; keep the reports of the last while."""
        self.reports.append((now_s, slowness))
        while (
            len(self.reports) > LASTING_REPORTS_MIN
            and self.reports[1][0] <= now_s - LASTING_SLOWNESS_S
        ):
            self.reports.popleft()

    def find_lasting_slowness(self) -> float:
        """Return the least slowness reported lately, 0.0 without enough reports."""
        if len(self.reports) < LASTING_REPORTS_MIN:
            return 0.0
        if self.reports[-1][0] - self.reports[0][0] < LASTING_SLOWNESS_S:
            return 0.0
        return min(slowness for _, slowness in self.reports)


class CapacityTable:
    """Smoothed and usable capacities of the servers of one service."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._estimates: dict[str, ServerEstimate] = {}

    def record_report(self, name: str, report: LoadReport) -> None:
        """Record the load report of a server."""
        estimate = self._estimates.get(name)
        if estimate is not None:
            estimate.record_report(report.slowness, self._ctx.now_s)

    def estimate(self, row: ServerRow, present: Capacity) -> Capacity:
        """Return what a server can run for long; `present` is its present estimate."""
        now_s = self._ctx.now_s
        known = self._estimates.get(row.name)
        if known is None or known.row is not row:
            known = self._estimates[row.name] = ServerEstimate(row, present, now_s)
        known.update(present, now_s)
        capacity = known.capacity
        usable_per_s = capacity.requests_per_s * USABLE_CAPACITY_RATIO
        lasting_slowness = known.find_lasting_slowness()
        if lasting_slowness < LASTING_SLOWNESS_RATIO * capacity.slowness:
            return attrs.evolve(capacity, requests_per_s=usable_per_s)
        usable_per_s *= capacity.slowness / lasting_slowness
        return Capacity(capacity.name, usable_per_s, lasting_slowness)

    def forget_others(self, names: set[str]) -> None:
        """Drop the estimates of all other servers."""
        for name in self._estimates.keys() - names:
            del self._estimates[name]


def _approach(known: float, present: float, weight: float) -> float:
    """Return a value between two positive ones, by the ratio of the two."""
    if known <= 0.0 or present <= 0.0:
        return present
    return known * math.pow(present / known, weight)
