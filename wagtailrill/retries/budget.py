"""Budget of extra attempts as a share of requests."""

import math

import attrs


@attrs.define
class Budget:
    """Decayed counts of requests and of extra attempts."""

    share: float
    minimum: float
    window_s: float
    requests: float = 0.0
    extra: float = 0.0
    updated_s: float = 0.0

    def deposit(self, now_s: float) -> None:
        """Count a request."""
        self._decay(now_s)
        self.requests += 1.0

    def exhausted(self, now_s: float) -> bool:
        """Return whether one more extra attempt would exceed the budget."""
        self._decay(now_s)
        return self.extra + 1.0 > self.share * self.requests + self.minimum

    def withdraw(self, now_s: float) -> bool:
        """Count an extra attempt; return False and count nothing if exhausted."""
        if self.exhausted(now_s):
            return False
        self.extra += 1.0
        return True

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.updated_s) / self.window_s)
        self.requests *= factor
        self.extra *= factor
        self.updated_s = now_s
