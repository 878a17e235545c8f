"""Start-time fair queueing between the organisations of one class."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from .const import DEFAULT_WEIGHT, SKIPPED_LAG_MAX
from .models import Item

Eligible = Callable[[Item], bool]
_Entry = tuple[float, int, "OrganisationQueue"]


@attrs.define(eq=False)
class OrganisationQueue:
    """Waiting requests of one organisation and its virtual start time."""

    weight: float
    start: float = 0.0
    items: OrderedDict[int, Item] = attrs.field(factory=OrderedDict)
    queued: bool = False


class ClassQueue:
    """Serves organisations in proportion to their weights, each first in first out.

    `virtual` is the start time of the item served last; an organisation that comes
    back after a break starts there and so gains nothing from the break.
    """

    def __init__(self) -> None:
        self.size = 0
        self.virtual = 0.0
        self._weights: dict[str, float] = {}
        self._rows: dict[str, OrganisationQueue] = {}
        self._heap: list[_Entry] = []
        self._order = itertools.count()

    def configure(self, weights: dict[str, float]) -> None:
        """Set the weights of organisations; those not named have weight 1."""
        self._weights = dict(weights)
        for name, row in self._rows.items():
            row.weight = self._weights.get(name, DEFAULT_WEIGHT)

    def waiting(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        row = self._rows.get(organisation)
        return len(row.items) if row is not None else 0

    def push(self, item: Item) -> None:
        """Add a request at the end of its organisation's queue."""
        row = self._rows.get(item.organisation)
        if row is None:
            weight = self._weights.get(item.organisation, DEFAULT_WEIGHT)
            row = self._rows[item.organisation] = OrganisationQueue(weight)
        if not row.items:
            row.start = max(row.start, self.virtual)
        row.items[item.request_id] = item
        self.size += 1
        if not row.queued:
            self._enqueue(row)

    def remove(self, item: Item) -> None:
        """Remove a waiting request."""
        row = self._rows[item.organisation]
        del row.items[item.request_id]
        self.size -= 1
        if not row.items and row.start <= self.virtual and not row.queued:
            del self._rows[item.organisation]

    def pop(self, eligible: Eligible | None) -> Item | None:
        """Remove and return the next eligible request."""
        skipped: list[_Entry] = []
        found: Item | None = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            row = entry[2]
            row.queued = False
            if not row.items:
                continue
            if entry[0] < row.start:
                self._enqueue(row)
                continue
            found = _first(row, eligible)
            if found is None:
                skipped.append(entry)
            else:
                self._serve(row, found)
        for _, _, row in skipped:
            row.start = max(row.start, self.virtual - SKIPPED_LAG_MAX)
            self._enqueue(row)
        if self.size == 0:
            self._reset()
        return found

    def _serve(self, row: OrganisationQueue, item: Item) -> None:
        del row.items[item.request_id]
        self.size -= 1
        self.virtual = max(self.virtual, row.start)
        row.start += item.cost / row.weight
        if row.items:
            self._enqueue(row)

    def _enqueue(self, row: OrganisationQueue) -> None:
        row.queued = True
        heapq.heappush(self._heap, (row.start, next(self._order), row))

    def _reset(self) -> None:
        # Virtual time means nothing once the class is empty.
        self.virtual = 0.0
        self._rows.clear()
        self._heap.clear()


def _first(row: OrganisationQueue, eligible: Eligible | None) -> Item | None:
    if eligible is None:
        return next(iter(row.items.values()))
    return next((item for item in row.items.values() if eligible(item)), None)
