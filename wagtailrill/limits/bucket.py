"""Token bucket and demand estimate on a monotonic clock."""

import math

import attrs

from .const import (
    DEMAND_JUMP_DEVIATIONS,
    FAST_TIME_CONSTANT_S,
    FILL_FACTOR,
    SLOW_TIME_CONSTANT_S,
)


@attrs.define(eq=False)
class Bucket:
    """A token bucket that is brought up to date on use.

    It fills 1% slower than its rate, which makes up for a fast clock.
    """

    rate_per_s: float = 0.0
    capacity: float = 0.0
    level: float = 0.0
    updated_s: float = 0.0

    def settle(self, now_s: float) -> None:
        """Add the tokens due since the last call."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            filled = self.level + elapsed_s * self.rate_per_s * FILL_FACTOR
            self.level = min(self.capacity, filled)
            self.updated_s = now_s

    def take(self, now_s: float) -> bool:
        """Take one token if there is one."""
        self.settle(now_s)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def resize(self, now_s: float, rate_per_s: float, capacity: float) -> None:
        """Change rate and capacity; tokens above the capacity are lost."""
        self.settle(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def add(self, tokens: float) -> None:
        """Add tokens up to the capacity."""
        self.level = min(self.capacity, self.level + tokens)

    def remove(self, tokens: float) -> None:
        """Remove tokens that move elsewhere."""
        self.level = max(0.0, self.level - tokens)

    def clear(self, now_s: float) -> None:
        """Drop capacity, rate and tokens."""
        self.rate_per_s = self.capacity = self.level = 0.0
        self.updated_s = now_s

    def delay_s(self, tokens: float) -> float:
        """Return the seconds until so many tokens, taken one by one, have come."""
        if self.level >= tokens:
            return 0.0
        if self.rate_per_s <= 0 or self.capacity < 1.0:
            return math.inf
        return (tokens - self.level) / (self.rate_per_s * FILL_FACTOR)


@attrs.define(eq=False)
class DemandMeter:
    """Estimate of requests per second that is steady and still follows jumps.

    The slow average counts unless the fast one differs by more than noise.
    """

    fast: float = 0.0
    slow: float = 0.0
    updated_s: float = 0.0

    def record(self, now_s: float) -> None:
        """Count a request."""
        self._decay(now_s)
        self.fast += 1.0 / FAST_TIME_CONSTANT_S
        self.slow += 1.0 / SLOW_TIME_CONSTANT_S

    def per_s(self, now_s: float) -> float:
        """Return the estimate in requests per second."""
        self._decay(now_s)
        expected = max(self.slow, 1.0 / SLOW_TIME_CONSTANT_S)
        deviation = math.sqrt(expected / (2.0 * FAST_TIME_CONSTANT_S))
        jumped = abs(self.fast - self.slow) > DEMAND_JUMP_DEVIATIONS * deviation
        return self.fast if jumped else self.slow

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            self.fast *= math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
            self.slow *= math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)
            self.updated_s = now_s
