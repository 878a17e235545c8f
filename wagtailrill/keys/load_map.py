"""Request rates by key position, for the planning of owners."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from itertools import accumulate

from .const import KEY_POSITIONS

# Share of the rate of keys that are not busy which counts as spread over all positions.
EVEN_SPREAD_RATIO = 0.3
BUSY_RATE_MIN_PER_S = 1.0
# A run's load may deviate from the load wanted by these ratios.
RUN_LOAD_MIN_RATIO = 0.6
RUN_LOAD_MAX_RATIO = 1.4


class LoadMap:
    """Request rates by position.

    A share of the rate of keys that are not busy counts as spread over all positions,
    since few requests say little about a key. Without measured rates,
    `assumed_per_s` requests per second are spread over all positions. `is_known` is
    False without either.
    """

    def __init__(self, rates: Mapping[int, float], assumed_per_s: float = 0.0) -> None:
        self.is_known = bool(rates) or assumed_per_s > 0.0
        self._positions = sorted(rates)
        self._rates = {
            p: rate if rate >= BUSY_RATE_MIN_PER_S else rate * (1.0 - EVEN_SPREAD_RATIO)
            for p, rate in rates.items()
        }
        ordered_rates = [self._rates[p] for p in self._positions]
        self._cumulative_rates = [0.0, *accumulate(ordered_rates)]
        even_per_s = (
            sum(rates.values()) - self._cumulative_rates[-1] if rates else assumed_per_s
        )
        self._even_per_position = even_per_s / KEY_POSITIONS

    def sum_load(self, first: int, last: int) -> float:
        """Return the requests per second of the positions `first` to `last`."""
        start = bisect_left(self._positions, first)
        end = bisect_right(self._positions, last)
        return (
            self._cumulative_rates[end]
            - self._cumulative_rates[start]
            + (last - first + 1) * self._even_per_position
        )

    def list_positions(self, first: int, last: int) -> Sequence[int]:
        """Return the measured positions of a range, in order."""
        start = bisect_left(self._positions, first)
        return self._positions[start : bisect_right(self._positions, last)]

    def get_rate(self, position: int) -> float:
        """Return the requests per second of a measured position.

        The rate that counts as spread over all positions is not included.
        """
        return self._rates[position]

    def find_densest_run(
        self, first: int, last: int, wanted_per_s: float
    ) -> tuple[int, int] | None:
        """Return the narrowest run of measured positions with about the load wanted."""
        positions = self.list_positions(first, last)
        best: tuple[int, int] | None = None
        start, load_per_s = 0, 0.0
        for position in positions:
            load_per_s += self._rates[position]
            while (
                load_per_s > wanted_per_s * RUN_LOAD_MAX_RATIO
                and positions[start] <= position
            ):
                load_per_s -= self._rates[positions[start]]
                start += 1
            if load_per_s < wanted_per_s * RUN_LOAD_MIN_RATIO:
                continue
            run = (positions[start], position)
            if best is None or run[1] - run[0] < best[1] - best[0]:
                best = run
        return best

    def find_hottest(self, first: int, last: int) -> int | None:
        """Return the measured position of a range with the most requests."""
        positions = self.list_positions(first, last)
        return max(positions, key=self.get_rate) if positions else None
