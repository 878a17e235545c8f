"""Budget of extra attempts as a share of requests."""

import math

import attrs


@attrs.define
class Budget:
    """Decayed totals of requests and of extra attempts, in attempts or seconds."""

    share: float
    minimum: float
    window_s: float
    requests: float = 0.0
    extra: float = 0.0
    updated_s: float = 0.0

    def deposit(self, now_s: float, amount: float = 1.0) -> None:
        """Count a request, or the work of one."""
        self._decay(now_s)
        self.requests += amount

    def exhausted(self, now_s: float, amount: float = 1.0) -> bool:
        """Return whether one more extra attempt would exceed the budget."""
        self._decay(now_s)
        return self.extra + amount > self.share * self.requests + self.minimum

    def withdraw(self, now_s: float, amount: float = 1.0) -> bool:
        """Count an extra attempt; return False and count nothing if exhausted."""
        if self.exhausted(now_s, amount):
            return False
        self.extra += amount
        return True

    def correct(self, now_s: float, difference: float) -> None:
        """Charge what an extra attempt cost beyond its estimate."""
        self._decay(now_s)
        self.extra = max(0.0, self.extra + difference)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.updated_s) / self.window_s)
        self.requests *= factor
        self.extra *= factor
        self.updated_s = now_s
