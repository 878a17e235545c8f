"""Rate limits, the bound derived from them, and the token bucket."""

import math
from collections.abc import Mapping

import attrs


@attrs.frozen
class RateSettings:
    """Tolerance by which the fleet may exceed a rate limit.

    Any window of `window_s` seconds admits at most
    (rate * window + burst) * (1 + `excess`) + `allowance` requests. `excess` is a
    ratio to the declared requests; `allowance` is a number of requests.
    """

    window_s: float = 5.0
    excess: float = 0.0
    allowance: float = 0.0

    def compute_bound(self, limit: "RateLimit") -> float:
        """Return the maximum number of requests of an organisation in any window."""
        declared = limit.rate_per_s * self.window_s + limit.burst
        return declared * (1.0 + self.excess) + self.allowance

    def compute_bucket_limit(
        self,
        limit: "RateLimit",
        bound_ratio: float,
        burst_ratio: float,
        bursts_per_window: int = 1,
    ) -> "RateLimit":
        """Return the bucket limit that admits `bound_ratio` of the bound in any window.

        A bucket admits at most its burst plus its rate times the window, so a small
        burst leaves a high rate. The burst may be used `bursts_per_window` times in a
        window. An infinite limit is returned unchanged.
        """
        if limit.is_unlimited:
            return limit
        bound = self.compute_bound(limit) * bound_ratio
        burst = max(1.0, bound * burst_ratio)
        return RateLimit(
            max(bound - bursts_per_window * burst, 0.0) / self.window_s, burst
        )


@attrs.frozen
class RateLimit:
    """Rate in requests/s and burst in requests; an infinite rate means no limit.

    An organisation without a limit has no bucket: sums with infinite numbers give NaN.
    """

    rate_per_s: float
    burst: float

    @property
    def is_unlimited(self) -> bool:
        """Return whether all requests are admitted."""
        return math.isinf(self.rate_per_s)


def split_limits(
    limits: Mapping[str, RateLimit],
) -> tuple[dict[str, RateLimit], frozenset[str]]:
    """Return the limits that bind, and the organisations that have none, by name."""
    binding = {name: limit for name, limit in limits.items() if not limit.is_unlimited}
    return binding, frozenset(limits.keys() - binding.keys())


@attrs.define
class TokenBucket:
    """Token bucket that starts empty unless `level` is given.

    An empty start is safe whatever was issued before.
    """

    limit: RateLimit
    updated_s: float
    level: float = 0.0

    def set_limit(self, limit: RateLimit, now_s: float) -> None:
        """Change the limit; tokens above the new burst are lost."""
        self._refill(now_s)
        self.limit = limit
        self.level = min(self.level, limit.burst)

    def take_tokens(self, wanted: int, now_s: float) -> int:
        """Take up to `wanted` whole tokens and return how many were taken."""
        self._refill(now_s)
        taken = min(wanted, math.floor(self.level))
        self.level -= taken
        return max(taken, 0)

    def return_tokens(self, tokens: int, now_s: float) -> None:
        """Put unused tokens back, up to the burst."""
        self._refill(now_s)
        self.level = min(self.level + tokens, self.limit.burst)

    def compute_token_delay_s(self) -> float:
        """Return the seconds from the last update until a token is due."""
        if self.level >= 1.0:
            return 0.0
        if self.limit.rate_per_s <= 0.0:
            return math.inf
        return (1.0 - self.level) / self.limit.rate_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        level = self.level + elapsed_s * self.limit.rate_per_s
        self.level = min(level, self.limit.burst)
