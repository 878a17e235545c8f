"""Load per key slot and of the hottest keys, in bounded memory."""

import math
import struct
from array import array
from collections.abc import Iterable

import attrs

from ..declaration.const import KEY_SLOT_COUNT
from . import const
from .keys import slot_of
from .messages import KeyLoad, LoadReport

_RATES = struct.Struct(f"<{KEY_SLOT_COUNT}e")
_RATE_MAX_PER_S = 65_000.0  # a half float holds up to 65,504


class KeySketch:
    """Space-saving sketch of the most frequent keys.

    It keeps at most twice `capacity` counters and evicts the lower half at once, so
    that an increment costs constant time on average. An estimate is too high by at
    most `floor`, the highest count evicted so far.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.floor = 0.0
        self._counts: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, hashed: int) -> None:
        """Count one request of a key."""
        self._counts[hashed] = self._counts.get(hashed, self.floor) + 1.0
        if len(self._counts) > 2 * self.capacity:
            self._evict()

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor."""
        self.floor *= factor
        for hashed in self._counts:
            self._counts[hashed] *= factor

    def estimate(self, hashed: int) -> float:
        """Return the estimated count of a key, 0 if it is not kept."""
        return self._counts.get(hashed, 0.0)

    def top(self, number: int) -> list[tuple[int, float]]:
        """Return the most frequent keys and their least possible counts."""
        ranked = sorted(self._counts.items(), key=lambda pair: (-pair[1], pair[0]))
        return [(h, c - self.floor) for h, c in ranked[:number] if c > self.floor]

    def _evict(self) -> None:
        ranked = sorted(self._counts.items(), key=lambda pair: (-pair[1], pair[0]))
        self.floor = ranked[self.capacity][1]
        self._counts = dict(ranked[: self.capacity])


class _ServiceLoad:
    """Decayed counts of one service."""

    def __init__(self) -> None:
        self.slots = array("d", bytes(8 * KEY_SLOT_COUNT))
        self.sketch = KeySketch(const.SKETCH_KEYS)
        self.hot: frozenset[int] = frozenset()


class LoadTracker:
    """Counts the requests that this member starts."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceLoad] = {}

    def count(self, service: str, hashed: int) -> None:
        """Count one request; a hot key does not count for its slot."""
        load = self._services.setdefault(service, _ServiceLoad())
        load.sketch.add(hashed)
        if hashed not in load.hot:
            load.slots[slot_of(hashed)] += 1.0

    def set_hot(self, service: str, hashes: Iterable[int]) -> None:
        """Move counts from key slots to keys that became hot, and back for others."""
        load = self._services.setdefault(service, _ServiceLoad())
        hot = frozenset(hashes)
        for hashed in hot ^ load.hot:
            sign = -1.0 if hashed in hot else 1.0
            slot = slot_of(hashed)
            moved = load.slots[slot] + sign * load.sketch.estimate(hashed)
            load.slots[slot] = max(moved, 0.0)
        load.hot = hot

    def decay(self, elapsed_s: float) -> None:
        """Let all counts fall by their half-life."""
        factor = 0.5 ** (elapsed_s / const.LOAD_HALF_LIFE_S)
        for load in self._services.values():
            load.sketch.decay(factor)
            load.slots = array("d", [count * factor for count in load.slots])

    def reports(self) -> list[LoadReport]:
        """Return a report per service in requests/s."""
        per_s = math.log(2.0) / const.LOAD_HALF_LIFE_S
        return [
            LoadReport(
                service,
                _RATES.pack(*(min(c * per_s, _RATE_MAX_PER_S) for c in load.slots)),
                tuple(
                    KeyLoad(hashed, count * per_s)
                    for hashed, count in load.sketch.top(const.HOT_KEYS_MAX)
                ),
            )
            for service, load in self._services.items()
        ]


@attrs.frozen
class ServiceRates:
    """Requests/s of a service in the whole cell, per key slot and of its top keys."""

    slots: tuple[float, ...]
    keys: dict[int, float]

    @property
    def total(self) -> float:
        """Return the service's requests/s; hot keys are in `keys` only."""
        return sum(self.slots)


@attrs.frozen
class _Received:
    at_s: float
    slots: tuple[float, ...]
    keys: tuple[KeyLoad, ...]


class LoadBook:
    """The last load reports of all members, kept by the coordinator."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _Received] = {}

    def receive(self, instance: str, report: LoadReport, now_s: float) -> None:
        """Keep a member's report; one of a wrong size is dropped."""
        if len(report.slot_rates) != _RATES.size:
            return
        rates = _RATES.unpack(report.slot_rates)
        received = _Received(now_s, rates, report.hot_keys)
        self._reports[instance, report.service] = received

    def rates(self, service: str, now_s: float) -> ServiceRates:
        """Return the sum of the reports that are recent enough."""
        oldest_s = now_s - const.LOAD_REPORT_MAX_AGE_S
        self._reports = {k: r for k, r in self._reports.items() if r.at_s >= oldest_s}
        fresh = [r for (_, name), r in self._reports.items() if name == service]
        if not fresh:
            return ServiceRates((0.0,) * KEY_SLOT_COUNT, {})
        keys: dict[int, float] = {}
        for report in fresh:
            for key in report.keys:
                keys[key.key_hash] = keys.get(key.key_hash, 0.0) + key.rate_per_s
        slots = tuple(map(sum, zip(*(r.slots for r in fresh), strict=True)))
        return ServiceRates(slots, keys)
