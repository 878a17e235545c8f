"""Requests by position: counted by members, added up by the granter."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from ..core.context import Context
from .const import USAGE_DECAY_S, USAGE_POSITIONS_MAX
from .messages import KeyUsage, WorkSample

WORK_WEIGHT = 0.2


@attrs.define
class UsageCounter:
    """Counts of one member since its last report."""

    counts: Counter[int] = attrs.field(factory=Counter)

    def record(self, position: int) -> None:
        """Count a request."""
        self.counts[position] += 1

    def report(self, service: str, work: Iterable[WorkSample]) -> KeyUsage:
        """Return what was counted and begin anew."""
        counts, self.counts = self.counts, Counter()
        most = counts.most_common(USAGE_POSITIONS_MAX)
        return KeyUsage(
            service,
            tuple(position for position, _ in most),
            tuple(number for _, number in most),
            tuple(work),
        )


class UsageTable:
    """Decayed requests per second by position, and work by server."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._rates: dict[int, float] = {}
        self._work: dict[str, float] = {}
        self._updated_s = ctx.now_s

    def add(self, usage: KeyUsage) -> None:
        """Take in a member's report."""
        self._decay()
        for position, number in zip(usage.positions, usage.counts, strict=False):
            added = number / USAGE_DECAY_S
            self._rates[position] = self._rates.get(position, 0.0) + added
        for sample in usage.work:
            known = self._work.get(sample.backend_server, sample.work_s)
            known += WORK_WEIGHT * (sample.work_s - known)
            self._work[sample.backend_server] = known

    def rates(self) -> dict[int, float]:
        """Return requests per second by position."""
        self._decay()
        return self._rates

    def work_s(self, backend_server: str) -> float:
        """Return the seconds that a request takes at a server, 0 if unknown."""
        return self._work.get(backend_server, 0.0)

    def _decay(self) -> None:
        elapsed_s = self._ctx.now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self._updated_s = self._ctx.now_s
        factor = math.exp(-elapsed_s / USAGE_DECAY_S)
        self._rates = {
            position: rate * factor
            for position, rate in self._rates.items()
            if rate * factor > 0.01
        }
