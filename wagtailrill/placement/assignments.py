"""Records which requests run at which backend server, as far as a dispatcher knows."""

import heapq
from statistics import median_low

import attrs

from ..costs.models import NO_TRAITS, ExpectedCost, RequestTraits
from ..servers.load import ServerLoad
from .const import REMAINING_WORK_RATIO_MIN
from .records import RequestKey


@attrs.define(eq=False, slots=True)
class AssignedRequest:
    """A request that was assigned to a backend server and has not ended.

    `expires_s` is the monotonic time from which it no longer counts, even if its end
    was not reported. `had_free_slot` tells whether the server could run it at once.
    """

    load: ServerLoad
    placed_s: float
    expires_s: float
    cost: ExpectedCost
    traits: RequestTraits = NO_TRAITS
    had_free_slot: bool = True


class Assignments:
    """Requests by server, in the order in which they were assigned.

    `work_s` is their expected work, in seconds.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self._requests: dict[RequestKey, AssignedRequest] = {}
        self._keys_by_server: dict[str, dict[RequestKey, None]] = {}
        self._expiries: list[tuple[float, RequestKey]] = []

    def add(self, key: RequestKey, assigned: AssignedRequest) -> None:
        """Record that a request was assigned to a server."""
        self.remove(key)
        self._requests[key] = assigned
        assigned.load.assigned_requests += 1
        self.work_s += assigned.cost.work_s
        self._keys_by_server.setdefault(assigned.load.name, {})[key] = None
        heapq.heappush(self._expiries, (assigned.expires_s, key))

    def remove(self, key: RequestKey) -> AssignedRequest | None:
        """Remove a request and return it, None if it is unknown."""
        assigned = self._requests.pop(key, None)
        if assigned is None:
            return None
        load = assigned.load
        load.assigned_requests -= 1
        self.work_s = self.work_s - assigned.cost.work_s if self._requests else 0.0
        keys = self._keys_by_server[load.name]
        del keys[key]
        if not keys:
            del self._keys_by_server[load.name]
        return assigned

    def pop_expired(self, now_s: float) -> list[ServerLoad]:
        """Remove the requests that have expired; return the loads of their servers."""
        loads = []
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, key = heapq.heappop(self._expiries)
            assigned = self._requests.get(key)
            if assigned is not None and assigned.expires_s == expires_s:
                loads.append(assigned.load)
                self.remove(key)
        return loads

    def compute_median_age(self, load: ServerLoad, now_s: float) -> float:
        """Return the median age of a server's requests in proportion to their work.

        The result is 0.0 if there are none.
        """
        ages = [
            (now_s - assigned.placed_s) / assigned.cost.work_s
            for assigned in self._list_at(load)
        ]
        return median_low(ages) if ages else 0.0

    def estimate_outstanding_s(
        self, load: ServerLoad, slowness: float, now_s: float
    ) -> float:
        """Return the expected work that a server has left, in seconds.

        It is time on a server of slowness 1.0; `slowness` is that of the server now.
        """
        # A request that runs longer than expected has something left, too.
        return sum(
            max(
                assigned.cost.work_s - (now_s - assigned.placed_s) / slowness,
                assigned.cost.work_s * REMAINING_WORK_RATIO_MIN,
            )
            for assigned in self._list_at(load)
        )

    def _list_at(self, load: ServerLoad) -> list[AssignedRequest]:
        keys = self._keys_by_server.get(load.name, ())
        return [
            assigned for key in keys if (assigned := self._requests[key]).load is load
        ]
