"""Records which requests run at which backend server, as far as a dispatcher knows."""

import heapq
from statistics import median_low

import attrs

from ..servers.load import ServerLoad
from .records import RequestKey


@attrs.define(eq=False)
class AssignedRequest:
    """A request that was assigned to a backend server and has not ended.

    `expires_s` is the monotonic time from which it no longer counts, even if its end
    was not reported.
    """

    load: ServerLoad
    placed_s: float
    expires_s: float


class Assignments:
    """Requests by server, in the order in which they were assigned."""

    def __init__(self) -> None:
        self._requests: dict[RequestKey, AssignedRequest] = {}
        self._keys_by_server: dict[str, dict[RequestKey, None]] = {}
        self._expiries: list[tuple[float, RequestKey]] = []

    def add(self, key: RequestKey, assigned: AssignedRequest) -> None:
        """Record that a request was assigned to a server."""
        self.remove(key)
        self._requests[key] = assigned
        assigned.load.assigned_requests += 1
        self._keys_by_server.setdefault(assigned.load.name, {})[key] = None
        heapq.heappush(self._expiries, (assigned.expires_s, key))

    def remove(self, key: RequestKey) -> ServerLoad | None:
        """Remove a request; return the load of its server, None if it is unknown."""
        assigned = self._requests.pop(key, None)
        if assigned is None:
            return None
        load = assigned.load
        load.assigned_requests -= 1
        keys = self._keys_by_server[load.name]
        del keys[key]
        if not keys:
            del self._keys_by_server[load.name]
        return load

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

    def compute_median_age_s(self, load: ServerLoad, now_s: float) -> float:
        """Return the median age of the requests that run at a server, 0.0 if none."""
        keys = self._keys_by_server.get(load.name, {})
        ages_s = [
            now_s - assigned.placed_s
            for key in keys
            if (assigned := self._requests[key]).load is load
        ]
        return median_low(ages_s) if ages_s else 0.0
