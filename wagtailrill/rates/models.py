"""Models of rates."""

import math

import attrs


@attrs.frozen
class RateSettings:
    """What the fleet may exceed a rate by, in any window of `window_s` seconds.

    At most (rate * window + burst) * (1 + `excess`) + `allowance` requests.
    """

    window_s: float = 5.0
    excess: float = 0.0
    allowance: float = 0.0

    def bound(self, limit: "Limit") -> float:
        """Return the most requests of an organisation in any window."""
        declared = limit.rate_per_s * self.window_s + limit.burst
        return declared * (1.0 + self.excess) + self.allowance

    def shape(
        self, limit: "Limit", part: float, burst_part: float, bursts: int = 1
    ) -> "Limit":
        """Return the bucket that lets a part of the bound through in any window.

        A bucket gives at most its burst and its rate times the window, so a small
        burst leaves a high rate. The burst may be given `bursts` times in a window.
        """
        if math.isinf(limit.rate_per_s):
            return limit
        bound = self.bound(limit) * part
        burst = max(1.0, bound * burst_part)
        return Limit(max(bound - bursts * burst, 0.0) / self.window_s, burst)


@attrs.frozen
class Limit:
    """Rate in requests/s and burst in requests; infinite is no limit."""

    rate_per_s: float
    burst: float


@attrs.define
class Bucket:
    """Token bucket; it starts empty, which is safe whatever went before."""

    limit: Limit
    updated_s: float
    level: float = 0.0

    def resize(self, limit: Limit, now_s: float) -> None:
        """Change the limit; tokens above the new burst are lost."""
        self._fill(now_s)
        self.limit = limit
        self.level = min(self.level, limit.burst)

    def take(self, wanted: int, now_s: float) -> int:
        """Take up to `wanted` tokens and return how many."""
        self._fill(now_s)
        taken = min(wanted, math.floor(self.level))
        self.level -= taken
        return max(taken, 0)

    def give_back(self, tokens: int, now_s: float) -> None:
        """Return tokens that were not used."""
        self._fill(now_s)
        self.level = min(self.level + tokens, self.limit.burst)

    def due_in_s(self) -> float:
        """Return the seconds until a token is due."""
        if self.level >= 1.0:
            return 0.0
        if self.limit.rate_per_s <= 0.0:
            return math.inf
        return (1.0 - self.level) / self.limit.rate_per_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        filled = self.level + elapsed_s * self.limit.rate_per_s
        self.level = min(filled, self.limit.burst)
