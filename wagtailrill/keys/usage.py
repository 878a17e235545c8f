"""Measures the request rate of each key position of one service for the granter."""

import math

import attrs

from ..core.context import Context
from .const import (
    USAGE_FAST_REQUESTS_MIN,
    USAGE_FAST_TIME_CONSTANT_S,
    USAGE_RATE_MIN_PER_S,
    USAGE_SLOW_TIME_CONSTANT_S,
)


@attrs.define(eq=False, slots=True)
class PositionUsage:
    """Exponentially decayed request rates of one position, slow and fast."""

    updated_s: float
    slow_per_s: float = 0.0
    fast_per_s: float = 0.0

    def count_request(self, now_s: float) -> None:
        """Add a request to both rates."""
        self.decay_rates(now_s)
        self.slow_per_s += 1.0 / USAGE_SLOW_TIME_CONSTANT_S
        self.fast_per_s += 1.0 / USAGE_FAST_TIME_CONSTANT_S

    def decay_rates(self, now_s: float) -> None:
        """Decay both rates by the time since the last update."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            self.updated_s = now_s
            self.slow_per_s *= math.exp(-elapsed_s / USAGE_SLOW_TIME_CONSTANT_S)
            self.fast_per_s *= math.exp(-elapsed_s / USAGE_FAST_TIME_CONSTANT_S)

    def estimate_rate(self) -> float:
        """Return requests per second.

        The fast rate counts only after enough requests, so that a key that has become
        hot is detected early and a few requests by chance are not.
        """
        if self.fast_per_s * USAGE_FAST_TIME_CONSTANT_S < USAGE_FAST_REQUESTS_MIN:
            return self.slow_per_s
        return max(self.slow_per_s, self.fast_per_s)


class UsageTable:
    """Decayed request rates by key position."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._usage_by_position: dict[int, PositionUsage] = {}

    def count_request(self, position: int) -> None:
        """Count a request for a position."""
        usage = self._usage_by_position.get(position)
        if usage is None:
            usage = self._usage_by_position[position] = PositionUsage(self._ctx.now_s)
        usage.count_request(self._ctx.now_s)

    def collect_rates(self) -> dict[int, float]:
        """Return requests per second by position, and drop rarely used positions."""
        now_s = self._ctx.now_s
        for usage in self._usage_by_position.values():
            usage.decay_rates(now_s)
        self._usage_by_position = {
            position: usage
            for position, usage in self._usage_by_position.items()
            if usage.slow_per_s >= USAGE_RATE_MIN_PER_S
        }
        return {
            position: usage.estimate_rate()
            for position, usage in self._usage_by_position.items()
        }

    def sum_rates(self, first: int, last: int) -> float:
        """Return requests per second of the positions `first` to `last`, inclusive."""
        return sum(
            rate
            for position, rate in self.collect_rates().items()
            if first <= position <= last
        )
