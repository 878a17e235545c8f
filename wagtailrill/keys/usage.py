"""Requests by position of the keys of one service."""

import math

import attrs

from ..core.context import Context
from .const import (
    FAST_SAMPLES_MIN,
    USAGE_DECAY_S,
    USAGE_FAST_DECAY_S,
    USAGE_RATE_MIN,
)


@attrs.define(eq=False, slots=True)
class PositionUsage:
    """Decayed requests per second of one position, over a longer and a shorter time."""

    slow_per_s: float = 0.0
    fast_per_s: float = 0.0

    def rate(self) -> float:
        """Return requests per second; a key that has become hot shows at once."""
        if self.fast_per_s * USAGE_FAST_DECAY_S < FAST_SAMPLES_MIN:
            return self.slow_per_s
        return max(self.slow_per_s, self.fast_per_s)


class UsageTable:
    """Decayed requests per second by position."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._rows: dict[int, PositionUsage] = {}
        self._updated_s = ctx.now_s

    def record(self, position: int) -> None:
        """Count a request."""
        row = self._rows.get(position)
        if row is None:
            row = self._rows[position] = PositionUsage()
        row.slow_per_s += 1.0 / USAGE_DECAY_S
        row.fast_per_s += 1.0 / USAGE_FAST_DECAY_S

    def rates(self) -> dict[int, float]:
        """Return requests per second by position."""
        self._decay()
        return {position: row.rate() for position, row in self._rows.items()}

    def rate(self, first: int, last: int) -> float:
        """Return requests per second of a range of positions."""
        self._decay()
        return sum(
            row.rate()
            for position, row in self._rows.items()
            if first <= position <= last
        )

    def _decay(self) -> None:
        elapsed_s = self._ctx.now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self._updated_s = self._ctx.now_s
        slow = math.exp(-elapsed_s / USAGE_DECAY_S)
        fast = math.exp(-elapsed_s / USAGE_FAST_DECAY_S)
        rare = []
        for position, row in self._rows.items():
            row.slow_per_s *= slow
            row.fast_per_s *= fast
            if row.slow_per_s < USAGE_RATE_MIN:
                rare.append(position)
        for position in rare:
            del self._rows[position]
