"""Keeps the requests of a dispatcher that wait for a backend server, by rank.

Adding, finding and removing a request, and counting those ahead of it, take a time that
hardly grows with the queue.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator

from sortedcontainers import SortedKeyList

from .records import PendingRequest, RequestKey

# Lane of the requests that any server can run, and of those whose key has no owner.
COMMON_LANE = ""


class RequestQueue:
    """Waiting requests in lanes: one for each owner of keys, and a common one.

    Within a lane the requests are in the order of their rank.
    """

    def __init__(self) -> None:
        self._lanes: dict[str, SortedKeyList] = {}
        self._lane_work_s: dict[str, float] = {}
        self._lane_by_key: dict[RequestKey, str] = {}
        self._requests: dict[RequestKey, PendingRequest] = {}
        self._due: list[tuple[float, int, PendingRequest]] = []
        self._due_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[PendingRequest]:
        return iter(list(self._requests.values()))

    def add(self, pending: PendingRequest, lane: str = COMMON_LANE) -> None:
        """Add a request; it becomes due when it gets late and at its latest start."""
        former = self._requests.get(pending.key)
        if former is not None:  # a new process of its sender counts from 1 again
            self.remove(former)
        self._put_into_lane(pending, lane)
        self._requests[pending.key] = pending
        for time_s in (pending.late_from_s, pending.latest_start_s):
            heapq.heappush(self._due, (time_s, next(self._due_numbers), pending))

    def remove(self, pending: PendingRequest) -> None:
        """Remove a waiting request."""
        del self._requests[pending.key]
        self._take_out_of_lane(pending)

    def find(self, key: RequestKey) -> PendingRequest | None:
        """Return a waiting request, None if it does not wait."""
        return self._requests.get(key)

    def get_at(self, index: int, lane: str = COMMON_LANE) -> PendingRequest | None:
        """Return the request at a position of a lane, None behind its end."""
        requests = self._lanes.get(lane, ())
        return requests[index] if index < len(requests) else None

    def count(self, lane: str = COMMON_LANE) -> int:
        """Return the number of requests in a lane."""
        return len(self._lanes.get(lane, ()))

    def count_ahead(self, pending: PendingRequest, lane: str = COMMON_LANE) -> int:
        """Return how many requests of a lane come before a request, or with it."""
        requests = self._lanes.get(lane)
        if requests is None:
            return 0
        return int(requests.bisect_key_right(pending.rank))

    def estimate_work_ahead_s(
        self, pending: PendingRequest, lane: str = COMMON_LANE
    ) -> float:
        """Return about how much work, in seconds, comes before a request of a lane."""
        return self.count_ahead(pending, lane) * self.get_mean_work_s(lane)

    def get_mean_work_s(self, lane: str = COMMON_LANE) -> float:
        """Return the mean expected work of the requests of a lane, 0.0 without any."""
        count = self.count(lane)
        return self._lane_work_s[lane] / count if count else 0.0

    def count_in_time(self, lane: str = COMMON_LANE) -> int:
        """Return how many requests of a lane are not late; they come first."""
        requests = self._lanes.get(lane)
        return 0 if requests is None else int(requests.bisect_key_left((True,)))

    def mark_late(self, pending: PendingRequest) -> None:
        """Move a waiting request behind those that are not late."""
        lane = self._take_out_of_lane(pending)
        pending.late = True
        self._put_into_lane(pending, lane)

    def pop_due(self, now_s: float) -> list[PendingRequest]:
        """Return the waiting requests that became due since the last call."""
        due: dict[RequestKey, PendingRequest] = {}
        while self._due and self._due[0][0] <= now_s:
            pending = heapq.heappop(self._due)[2]
            if self._requests.get(pending.key) is pending:
                due[pending.key] = pending
        return list(due.values())

    def assign_lanes(self, find_lane: Callable[[PendingRequest], str]) -> None:
        """Move each request to the lane that it needs now."""
        for pending in self:
            lane = find_lane(pending)
            if lane != self._lane_by_key[pending.key]:
                self._take_out_of_lane(pending)
                self._put_into_lane(pending, lane)

    def list_lanes(self) -> tuple[str, ...]:
        """Return the names of the lanes in which requests wait."""
        return tuple(self._lanes)

    def _put_into_lane(self, pending: PendingRequest, lane: str) -> None:
        if lane not in self._lanes:
            self._lanes[lane] = SortedKeyList(key=lambda request: request.rank)
        self._lanes[lane].add(pending)
        work_s = self._lane_work_s.get(lane, 0.0)
        self._lane_work_s[lane] = work_s + pending.cost.work_s
        self._lane_by_key[pending.key] = lane

    def _take_out_of_lane(self, pending: PendingRequest) -> str:
        lane = self._lane_by_key.pop(pending.key)
        self._lanes[lane].remove(pending)
        self._lane_work_s[lane] -= pending.cost.work_s
        if not self._lanes[lane]:
            del self._lanes[lane], self._lane_work_s[lane]
        return lane
