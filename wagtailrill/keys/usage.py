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

    updated_s: float
    slow_per_s: float = 0.0
    fast_per_s: float = 0.0

    def count(self, now_s: float) -> None:
        """Count a request."""
        self.decay(now_s)
        self.slow_per_s += 1.0 / USAGE_DECAY_S
        self.fast_per_s += 1.0 / USAGE_FAST_DECAY_S

    def decay(self, now_s: float) -> None:
        """Let the rates fall as far as no request has come."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            self.updated_s = now_s
            self.slow_per_s *= math.exp(-elapsed_s / USAGE_DECAY_S)
            self.fast_per_s *= math.exp(-elapsed_s / USAGE_FAST_DECAY_S)

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

    def record(self, position: int) -> None:
        """Count a request."""
        row = self._rows.get(position)
        if row is None:
            row = self._rows[position] = PositionUsage(self._ctx.now_s)
        row.count(self._ctx.now_s)

    def rates(self) -> dict[int, float]:
        """Return requests per second by position, and forget rare ones."""
        now_s = self._ctx.now_s
        for row in self._rows.values():
            row.decay(now_s)
        self._rows = {
            position: row
            for position, row in self._rows.items()
            if row.slow_per_s >= USAGE_RATE_MIN
        }
        return {position: row.rate() for position, row in self._rows.items()}

    def rate(self, first: int, last: int) -> float:
        """Return requests per second of a range of positions."""
        return sum(r for p, r in self.rates().items() if first <= p <= last)
