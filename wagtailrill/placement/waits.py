"""Estimates how long a request waits until a dispatcher places it.

Admission control decides by it whether a request waits or is rejected, and tells its
caller when to come back.
"""

from collections.abc import Callable

import attrs

from ..admission.const import SPARE_RATE_RATIO_MIN
from ..core.context import Context
from ..servers.load import Demand, LoadTable, ServerLoad
from .messages import NO_KEY
from .queue import RequestQueue
from .records import PendingRequest
from .server_index import ServerIndex


@attrs.frozen
class WaitEstimates:
    """Estimates from the queue, the servers and the demand of one dispatcher.

    `find_owner` returns the owner of a request's key, None if it has none that is
    usable; `estimate_unowned_s` returns in about how many seconds it has one again.
    `estimate_mean_work_s` returns the mean work of the service's requests, and
    `estimate_outstanding_s` the work that is left at a server, both in seconds on a
    server of slowness 1.0.
    """

    ctx: Context
    queue: RequestQueue
    index: ServerIndex
    loads: LoadTable
    demand: Demand
    find_owner: Callable[[PendingRequest], ServerLoad | None]
    estimate_unowned_s: Callable[[int], float]
    estimate_mean_work_s: Callable[[], float]
    estimate_outstanding_s: Callable[[ServerLoad], float]

    def estimate_wait_s(self, pending: PendingRequest) -> float:
        """Return how long a request of this rank waits until it is placed."""
        if pending.request.key_position == NO_KEY:
            work_rate = self.index.estimate_work_rate()
            ahead_s = self.queue.estimate_work_ahead_s(pending)
            ahead_s += self.estimate_mean_work_s()
            return ahead_s / work_rate if work_rate > 0.0 else float("inf")
        owner = self.find_owner(pending)
        if owner is None:
            return self.estimate_unowned_s(pending.request.key_position)
        return self._estimate_owner_wait_s(
            owner, self.queue.estimate_work_ahead_s(pending, owner.name)
        )

    def estimate_late_wait_s(self, pending: PendingRequest) -> float:
        """Return how long a late request waits for capacity that others leave unused.

        Only the owner of a key can run a request for it, so such a request waits behind
        all other requests for that owner.
        """
        if pending.request.key_position != NO_KEY:
            owner = self.find_owner(pending)
            if owner is None:
                return self.estimate_unowned_s(pending.request.key_position)
            lane = owner.name
            queued_s = self.queue.count(lane) * self.queue.get_mean_work_s(lane)
            return self._estimate_owner_wait_s(owner, queued_s)
        work_rate, mean_work_s = (
            self.index.estimate_work_rate(),
            self.estimate_mean_work_s(),
        )
        demand_rate = self.demand.compute_rate_per_s(self.ctx.now_s) * mean_work_s
        spare_rate = max(work_rate - demand_rate, work_rate * SPARE_RATE_RATIO_MIN)
        waiting_s = self.queue.count() * self.queue.get_mean_work_s() + mean_work_s
        return waiting_s / spare_rate if spare_rate > 0.0 else float("inf")

    def estimate_interval_s(self, owner: ServerLoad | None) -> float:
        """Return the mean time between freed slots of an owner, or of all servers."""
        mean_work_s = self.estimate_mean_work_s()
        if owner is not None:
            slowness = self.loads.estimate_present_slowness(owner)
            return mean_work_s * slowness / owner.slots
        work_rate = self.index.estimate_work_rate()
        return mean_work_s / work_rate if work_rate > 0.0 else float("inf")

    def _estimate_owner_wait_s(self, owner: ServerLoad, queued_s: float) -> float:
        """Return the wait for a slot of an owner behind `queued_s` of queued work."""
        in_flight = owner.estimate_in_flight()
        outstanding_s = self.estimate_outstanding_s(owner)
        outstanding_s += owner.external_requests * self.estimate_mean_work_s()
        # The slot that is freed first leaves the others with work.
        others_s = (owner.slots - 1) * outstanding_s / max(in_flight, 1.0)
        work_s = max(0.0, outstanding_s + queued_s - others_s)
        return work_s * self.loads.estimate_present_slowness(owner) / owner.slots
