"""Requests by position of the keys of one service."""

import math

from ..core.context import Context
from .const import USAGE_DECAY_S, USAGE_RATE_MIN


class UsageTable:
    """Decayed requests per second by position."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._rates: dict[int, float] = {}
        self._updated_s = ctx.now_s

    def record(self, position: int) -> None:
        """Count a request."""
        self._rates[position] = self._rates.get(position, 0.0) + 1.0 / USAGE_DECAY_S

    def rates(self) -> dict[int, float]:
        """Return requests per second by position."""
        elapsed_s = self._ctx.now_s - self._updated_s
        if elapsed_s > 0.0:
            self._updated_s = self._ctx.now_s
            factor = math.exp(-elapsed_s / USAGE_DECAY_S)
            self._rates = {
                position: rate * factor
                for position, rate in self._rates.items()
                if rate * factor > USAGE_RATE_MIN
            }
        return self._rates
