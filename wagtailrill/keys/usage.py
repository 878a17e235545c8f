"""Measures the request rate of each key position of one service for the granter."""

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from itertools import accumulate

import attrs

from ..core.context import Context
from .const import (
    STRIPE_POSITIONS,
    USAGE_CHANGE_DEVIATIONS,
    USAGE_CHANGE_REQUESTS,
    USAGE_FAST_REQUESTS_MIN,
    USAGE_FAST_TIME_CONSTANT_S,
    USAGE_LONG_TIME_CONSTANT_S,
    USAGE_RATE_MIN_PER_S,
    USAGE_RECENT_TIME_CONSTANT_S,
    USAGE_RISE_RATIO,
)


@attrs.define(eq=False, slots=True)
class PositionUsage:
    """Exponentially decayed request rates of one position, long, recent and fast."""

    updated_s: float
    long_per_s: float = 0.0
    recent_per_s: float = 0.0
    fast_per_s: float = 0.0

    def count_request(self, now_s: float) -> None:
        """Add a request to all rates."""
        self.decay_rates(now_s)
        self.long_per_s += 1.0 / USAGE_LONG_TIME_CONSTANT_S
        self.recent_per_s += 1.0 / USAGE_RECENT_TIME_CONSTANT_S
        self.fast_per_s += 1.0 / USAGE_FAST_TIME_CONSTANT_S

    def decay_rates(self, now_s: float) -> None:
        """Decay all rates by the time since the last update."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0.0:
            self.updated_s = now_s
            self.long_per_s *= math.exp(-elapsed_s / USAGE_LONG_TIME_CONSTANT_S)
            self.recent_per_s *= math.exp(-elapsed_s / USAGE_RECENT_TIME_CONSTANT_S)
            self.fast_per_s *= math.exp(-elapsed_s / USAGE_FAST_TIME_CONSTANT_S)

    def is_hot(self) -> bool:
        """Return whether enough requests have just come for the fast rate to count.

        A key that has become hot is detected early, and a few requests by chance are
        not taken for one.
        """
        requests = self.fast_per_s * USAGE_FAST_TIME_CONSTANT_S
        return requests >= USAGE_FAST_REQUESTS_MIN


class UsageTable:
    """Decayed request rates by key position."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._first_request_s: float | None = None
        self._usage_by_position: dict[int, PositionUsage] = {}
        self._collected_s = float("-inf")
        self._rates: dict[int, float] = {}
        self._positions: list[int] = []
        self._cumulative_rates: list[float] = [0.0]

    def count_request(self, position: int) -> None:
        """Count a request for a position."""
        now_s = self._ctx.now_s
        if self._first_request_s is None:
            self._first_request_s = now_s
        usage = self._usage_by_position.get(position)
        if usage is None:
            usage = self._usage_by_position[position] = PositionUsage(now_s)
        usage.count_request(now_s)
        self._collected_s = float("-inf")

    def collect_rates(self) -> dict[int, float]:
        """Return requests per second by position, and drop rarely used positions.

        A stripe whose load has changed has its recent rates, all others the long ones.
        """
        now_s = self._ctx.now_s
        if self._collected_s == now_s:
            return self._rates
        for usage in self._usage_by_position.values():
            usage.decay_rates(now_s)
        self._usage_by_position = {
            position: usage
            for position, usage in self._usage_by_position.items()
            if usage.long_per_s >= USAGE_RATE_MIN_PER_S
        }
        self._rates = self._estimate_rates(self._compute_long_factor(now_s))
        self._collected_s = now_s
        self._positions = sorted(self._rates)
        ordered_rates = (self._rates[position] for position in self._positions)
        self._cumulative_rates = [0.0, *accumulate(ordered_rates)]
        return self._rates

    def sum_rates(self, first: int, last: int) -> float:
        """Return requests per second of the positions `first` to `last`, inclusive."""
        self.collect_rates()
        start = bisect_left(self._positions, first)
        end = bisect_right(self._positions, last)
        return self._cumulative_rates[end] - self._cumulative_rates[start]

    def _compute_long_factor(self, now_s: float) -> float:
        """Return by what the long rates are too low, since they began at zero."""
        if self._first_request_s is None:
            return 1.0
        age_s = max(0.0, now_s - self._first_request_s)
        known_ratio = 1.0 - math.exp(-age_s / USAGE_LONG_TIME_CONSTANT_S)
        least_ratio = USAGE_RECENT_TIME_CONSTANT_S / USAGE_LONG_TIME_CONSTANT_S
        return 1.0 / max(known_ratio, least_ratio)

    def _estimate_rates(self, long_factor: float) -> dict[int, float]:
        factors = self._compute_recent_factors(long_factor)
        rates: dict[int, float] = {}
        for position, usage in self._usage_by_position.items():
            factor = factors.get(position // STRIPE_POSITIONS)
            rate = (
                usage.long_per_s * long_factor
                if factor is None
                else usage.recent_per_s * factor
            )
            rates[position] = max(rate, usage.fast_per_s) if usage.is_hot() else rate
        return rates

    def _compute_recent_factors(self, long_factor: float) -> dict[int, float]:
        """Return factors of the recent rates, by stripe whose load has changed.

        Just after a rise the recent rates are still too low. The fast rate of the
        stripe then tells its load, and the recent rates how it is distributed over
        the positions.
        """
        sums: defaultdict[int, StripeUsage] = defaultdict(StripeUsage)
        for position, usage in self._usage_by_position.items():
            stripe = sums[position // STRIPE_POSITIONS]
            stripe.long_per_s += usage.long_per_s * long_factor
            stripe.recent_per_s += usage.recent_per_s
            stripe.fast_per_s += usage.fast_per_s
        return {n: s.compute_factor() for n, s in sums.items() if s.has_changed()}


@attrs.define(eq=False, slots=True)
class StripeUsage:
    """Sums of the rates of a stripe's positions."""

    long_per_s: float = 0.0
    recent_per_s: float = 0.0
    fast_per_s: float = 0.0

    def has_changed(self) -> bool:
        """Return whether the recent or the fast rate differs from the long one."""
        return _differs(
            self.recent_per_s, self.long_per_s, USAGE_RECENT_TIME_CONSTANT_S
        ) or _differs(self.fast_per_s, self.long_per_s, USAGE_FAST_TIME_CONSTANT_S)

    def compute_factor(self) -> float:
        """Return by what the recent rates of a changed stripe are too low."""
        is_rising = self.fast_per_s > self.recent_per_s > 0.0
        if is_rising and _differs(
            self.fast_per_s, self.recent_per_s, USAGE_FAST_TIME_CONSTANT_S
        ):
            return USAGE_RISE_RATIO * self.fast_per_s / self.recent_per_s
        return 1.0


def _differs(rate_per_s: float, expected_per_s: float, time_constant_s: float) -> bool:
    """Return whether a decayed rate differs from the expected by more than chance."""
    expected_requests = expected_per_s * time_constant_s
    requests = rate_per_s * time_constant_s
    # Decayed counts vary half as much as those of a fixed period.
    deviation = math.sqrt(expected_requests / 2.0)
    tolerated = USAGE_CHANGE_DEVIATIONS * deviation + USAGE_CHANGE_REQUESTS
    return abs(requests - expected_requests) > tolerated
