"""Records of a dispatcher: pending requests, and server options."""

import math
import sys
from collections.abc import Callable

import attrs

from ..admission.const import PRIORITY_STEP_S
from ..costs.models import ExpectedCost, RequestTraits
from ..servers.distance import get_distance_ratio
from ..servers.load import ServerLoad
from .messages import PlaceAnswer, PlaceRequest

ReplyCallback = Callable[[PlaceAnswer], None]
# Sender and its number of a request.
RequestKey = tuple[str, int]
# Late requests come last; then those come first that get late first, where each step of
# priority counts as some time.
Rank = tuple[bool, float]


# Factor in seconds on a server's cost, and seconds that are added.
DistanceCost = tuple[float, float]


@attrs.frozen
class ServerDemand:
    """What a request needs of a server: work, and time for its bytes if it is remote.

    Both are in seconds. Its answer earns less after the monotonic time `target_at_s`.
    """

    work_s: float
    remote_s: float
    target_at_s: float

    def weigh_distance(self, server_data_centre: str, data_centre: str) -> DistanceCost:
        """Return the cost at the servers of a data centre for a request of another."""
        if server_data_centre == data_centre:
            return self.work_s, 0.0
        ratio = get_distance_ratio(server_data_centre, data_centre)
        return self.work_s * ratio, self.remote_s


@attrs.define(eq=False)
class PendingRequest:
    """A request that has no backend server yet.

    From `late_from_s` on it is not expected to reach its target latency; it then gets a
    slot only when no request that is not late can use it. From `latest_start_s` on it
    cannot end before its deadline. Both are monotonic times.
    """

    request: PlaceRequest
    sender: str
    data_centre: str
    reply: ReplyCallback
    arrived_s: float
    late_from_s: float
    latest_start_s: float
    excluded: frozenset[str]
    traits: RequestTraits
    cost: ExpectedCost
    demand: ServerDemand
    late: bool = False

    @property
    def key(self) -> RequestKey:
        """Return what identifies the request at the dispatcher."""
        return self.sender, self.request.number

    @property
    def is_extra(self) -> bool:
        """Return whether another attempt at the request already runs."""
        return self.request.extra

    @property
    def rank(self) -> Rank:
        """Return the sort key for the order in which requests are placed."""
        delay_s = self.request.priority * PRIORITY_STEP_S
        return self.late, self.late_from_s + delay_s


@attrs.frozen
class ServerOptions:
    """The best server with a free slot, and the faster servers that are full.

    `best_cost_s` is the cost of a request on the best server, that is its expected
    latency weighted by failures and distance. `fastest_cost_s` is the lowest cost on a
    faster, full server. The faster servers together can start `spare_rate_per_s` more
    requests per second than arrive, the rate at which a queue for them gets shorter;
    see `ServerIndex` for requests that would miss their target.
    """

    best: ServerLoad | None
    best_cost_s: float
    spare_rate_per_s: float
    fastest_cost_s: float

    def choose_server(
        self, pending: PendingRequest, ahead_count: int
    ) -> ServerLoad | None:
        """Return the server for a request, or None if it should wait.

        It should wait if it would end sooner on a faster server, where `ahead_count`
        other requests go first. Late requests and extra attempts never wait for a
        faster server.
        """
        if pending.late or pending.request.extra or self.spare_rate_per_s <= 0.0:
            return self.best
        return None if ahead_count < self.count_waiting() else self.best

    def count_waiting(self) -> int:
        """Return how many requests end sooner if they wait for a faster server."""
        if self.spare_rate_per_s <= 0.0 or self.fastest_cost_s >= self.best_cost_s:
            return 0
        if math.isinf(self.best_cost_s):
            return sys.maxsize
        saved_s = self.best_cost_s - self.fastest_cost_s
        return max(0, math.ceil(saved_s * self.spare_rate_per_s) - 1)
