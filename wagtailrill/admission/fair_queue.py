"""Bounded fair queue with deadlines and a deferrable class."""

import heapq

from ..core.refusals import Refusal, RefusalCode
from .class_queue import ClassQueue, Eligible
from .const import (
    DEFERRABLE_RETRY_AFTER_S,
    RETRY_AFTER_S,
    SERVICE_TIME_FALL,
    SERVICE_TIME_RISE,
    STALE_DEADLINES_MIN,
)
from .models import Item, QueueSettings


class FairQueue:
    """Requests that wait for one service, fair between organisations.

    Deferrable requests are served after the others, but get at least
    `deferrable_fraction` of the pops while any of them can be served.
    """

    def __init__(self, cfg: QueueSettings | None = None) -> None:
        self.service_time_s = 0.0
        self._cfg = cfg or QueueSettings()
        self._prompt = ClassQueue()
        self._deferrable = ClassQueue()
        self._items: dict[int, Item] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._dropped: list[Item] = []
        self._credit = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def configure(self, weights: dict[str, float]) -> None:
        """Set the weights of organisations."""
        self._prompt.configure(weights)
        self._deferrable.configure(weights)

    def record_service_time(self, service_time_s: float) -> None:
        """Take a measured service time into the estimate."""
        error = service_time_s - self.service_time_s
        gain = SERVICE_TIME_RISE if error > 0 else SERVICE_TIME_FALL
        self.service_time_s += gain * error

    def push(self, item: Item) -> Refusal | None:
        """Add a request, or return the refusal when the queue has no room."""
        refusal = self._check_room(item)
        if refusal is not None:
            return refusal
        self._class_of(item).push(item)
        self._items[item.request_id] = item
        heapq.heappush(self._deadlines, (item.deadline_s, item.request_id))
        return None

    def pop(self, now_s: float, eligible: Eligible | None = None) -> Item | None:
        """Remove and return the next eligible request that can meet its deadline.

        Requests dropped on the way are returned by the next `expire`.
        """
        self._drop_late(now_s)
        first, second = self._prompt, self._deferrable
        if self._credit >= 1.0:
            first, second = second, first
        item = first.pop(eligible) or second.pop(eligible)
        if item is None:
            return None
        del self._items[item.request_id]
        self._update_credit(item)
        self._compact_deadlines()
        return item

    def expire(self, now_s: float) -> list[Item]:
        """Remove and return the requests that cannot meet their deadline."""
        self._drop_late(now_s)
        dropped, self._dropped = self._dropped, []
        return dropped

    def remove(self, request_id: int) -> Item | None:
        """Remove and return a request whose caller left, if it waits."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self._class_of(item).remove(item)
            self._compact_deadlines()
        return item

    def _class_of(self, item: Item) -> ClassQueue:
        return self._deferrable if item.deferrable else self._prompt

    def _check_room(self, item: Item) -> Refusal | None:
        if item.request_id in self._items:
            raise ValueError(f"request {item.request_id} waits already")
        cfg, queue = self._cfg, self._class_of(item)
        per_organisation, total, retry_after_s = (
            (cfg.deferrable_per_organisation, cfg.deferrable, DEFERRABLE_RETRY_AFTER_S)
            if item.deferrable
            else (cfg.per_organisation, cfg.total, RETRY_AFTER_S)
        )
        if queue.waiting(item.organisation) >= per_organisation:
            return _queue_full("The organisation's queue is full.", retry_after_s)
        if queue.size >= total:
            return _queue_full("The service's queue is full.", retry_after_s)
        return None

    def _update_credit(self, item: Item) -> None:
        if item.deferrable:
            self._credit = max(0.0, self._credit - 1.0)
        elif self._deferrable.size:
            self._credit = min(1.0, self._credit + self._cfg.deferrable_fraction)

    def _drop_late(self, now_s: float) -> None:
        latest_s = now_s + self.service_time_s
        while self._deadlines and self._deadlines[0][0] <= latest_s:
            deadline_s, request_id = heapq.heappop(self._deadlines)
            item = self._items.get(request_id)
            if item is not None and item.deadline_s == deadline_s:
                del self._items[request_id]
                self._class_of(item).remove(item)
                self._dropped.append(item)

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) <= 2 * len(self._items) + STALE_DEADLINES_MIN:
            return
        self._deadlines = [(i.deadline_s, i.request_id) for i in self._items.values()]
        heapq.heapify(self._deadlines)


def _queue_full(message: str, retry_after_s: float) -> Refusal:
    return Refusal(RefusalCode.QUEUE_FULL, message, retry_after_s=retry_after_s)
