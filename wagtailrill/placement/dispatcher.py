"""Assigns the requests of one service to backend servers, or queues or refuses them.

Created by `Placement` on the instance that holds the duty of the service.
"""

from collections.abc import Callable
from functools import partial

import attrs

from ..admission.models import Decision, Occasion, Place, Reject, RejectReason, Wait
from ..admission.policy import AdmissionPolicy
from ..admission.times import compute_start_times
from ..core.context import Context
from ..core.request_models import AttemptOutcome, LoadReport
from ..costs.estimator import CostEstimator
from ..costs.models import NO_KEY_POSITION
from ..keys.server_loads import Capacity
from ..servers.distance import DistanceSettings
from ..servers.load import Demand, Expectation, LoadTable, ServerLoad
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .assignments import AssignedRequest, Assignments
from .canary import CanaryGate, CanaryPlacement
from .const import (
    OVERCOMMIT_REQUESTS_MAX,
    OVERCOMMIT_WORK_MAX_S,
    PLACEMENTS_TRIED_MAX,
    UNREPORTED_END_GRACE_S,
)
from .costs import build_placed_answer, read_known_cost, read_traits
from .messages import (
    NO_KEY,
    NO_REPORT,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from .pauses import ServerPauses
from .queue import COMMON_LANE, RequestQueue
from .records import PendingRequest, ReplyCallback, ServerDemand, ServerOptions
from .room import PendingRoom, RoomParts, ServerFinder
from .server_index import ServerIndex
from .waits import WaitEstimates

OwnerLookup = Callable[[int], str]


@attrs.frozen
class DispatcherParts:
    """Dependencies of a dispatcher.

    For keyed services `find_owner` returns the name of the server that owns a key
    position, empty if none does. `estimate_unowned_s` returns in about how many seconds
    a position without an owner has one again. `costs` learns from all requests of the
    service; `distance` weighs the bytes to other data centres. `gate` bounds the
    requests that go to servers of a version under test.
    """

    ctx: Context
    servers: ServerTable
    service: str
    find_owner: OwnerLookup
    estimate_unowned_s: Callable[[int], float]
    costs: CostEstimator = attrs.field(
        default=attrs.Factory(lambda parts: CostEstimator(parts.ctx), takes_self=True)
    )
    distance: DistanceSettings = attrs.field(factory=DistanceSettings)
    gate: CanaryGate | None = None


class Dispatcher:
    """Tracks the requests at each server and queues requests until a slot is free.

    Its view of the servers may be out of date: each server itself refuses requests
    beyond its capacity.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._loads = LoadTable(parts.ctx)
        self._costs = parts.costs
        self._demand = Demand()
        self._index = self._make_index(parts.servers.accepts_work)
        self._canary = CanaryPlacement(parts.servers, parts.gate, self._make_index)
        self._assignments = Assignments()
        self._queue = RequestQueue()
        self._pauses = ServerPauses(parts.ctx)
        self._waits = WaitEstimates(
            parts.ctx,
            self._queue,
            self._index,
            self._loads,
            self._demand,
            self._find_owner_load,
            parts.estimate_unowned_s,
            self._estimate_mean_work_s,
            self._estimate_outstanding_s,
        )
        self._policy = AdmissionPolicy(parts.ctx.rng)
        self._room_parts = RoomParts(
            self._queue, self._waits, self._find_owner_load, self._is_out_of_service
        )

    def _make_index(self, accepts: Callable[[ServerRow], bool]) -> ServerIndex:
        """Return an index of the servers that may get requests by `accepts`."""
        return ServerIndex(
            self._ctx,
            self._parts.servers,
            self._loads,
            self._parts.service,
            self._estimate_mean_work_s,
            self._demand,
            accepts,
        )

    def place_request(
        self, request: PlaceRequest, sender: str, data_centre: str, reply: ReplyCallback
    ) -> None:
        """Place, refuse or queue a request.

        `reply` is called at once, and again when a queued request is placed or refused.
        """
        pending = self._make_pending(request, sender, data_centre, reply)
        if not request.extra:
            self._demand.count_request(self._ctx.now_s)
        self._canary.count_request(request)
        decision = self._decide(pending, Occasion.ARRIVAL, self._find_server)
        if isinstance(decision, Wait):
            self._queue.add(pending, self._find_lane(pending))
            reply(PlaceAnswer(request.number, PlaceVerdict.QUEUED, "", 0.0))
        else:
            self._carry_out(pending, decision)

    def record_end(self, end: PlaceEnd, sender: str) -> None:
        """Record that a request has ended or was cancelled, and place queued ones."""
        key = (sender, end.number)
        assigned = self._assignments.remove(key)
        load = assigned.load if assigned is not None else None
        pending = self._queue.find(key)
        if not end.backend_server:
            if pending is not None:
                self._queue.remove(pending)
            if load is not None:
                self._update_server(load)
            return
        ended_load = self._find_load(end.backend_server)
        if ended_load is not None:
            self._record_outcome(ended_load, assigned, end, sender)
        if load is not None and load is not ended_load:
            self._update_server(load)
        if ended_load is not None:
            self._update_server(ended_load)

    def estimate_capacity(self, row: ServerRow) -> Capacity:
        """Return the usual capacity of a server, in requests per second."""
        load = self._loads.get_load(row)
        slowness = self._loads.estimate_lasting_slowness(load)
        rate_per_s = load.slots / (self._estimate_mean_work_s() * slowness)
        return Capacity(load.name, rate_per_s, slowness)

    def get_last_answer_s(self, row: ServerRow) -> float:
        """Return when a server last answered with a load report, in monotonic time."""
        return self._loads.get_load(row).last_answer_s

    def get_outstanding_s(self) -> float:
        """Return the expected work of all requests that run, in seconds."""
        return self._assignments.work_s

    def record_load(self, row: ServerRow, report: LoadReport) -> None:
        """Record a load report that did not come with the answer to a request."""
        load = self._loads.get_load(row)
        load.record_report(report, self._ctx.now_s)
        self._index.refresh(load)

    def describe_admission(self) -> dict[str, int]:
        """Return how many requests wait, and the counts of decisions so far."""
        return {"waiting": len(self._queue), **self._policy.counts}

    def tick(self) -> None:
        """Drop expired assignments; place queued requests or refuse those too late."""
        now_s = self._ctx.now_s
        self._pauses.drop_expired()
        self._policy.tick(now_s)
        for load in self._assignments.pop_expired(now_s):
            self._index.refresh(load)
            self._canary.refresh(load)
        self._index.refresh_some(self._update_age)
        self._canary.tick(self._update_age)
        self._refuse_unservable()
        for pending in self._queue.pop_due(now_s):
            self._handle_due_request(pending)
        self._queue.assign_lanes(self._find_lane)
        for lane in self._queue.list_lanes():
            self._place_queued(lane)

    def _refuse_unservable(self) -> None:
        """End the waiting of all requests once no server may get them any more."""
        lanes = self._queue.list_lanes()
        first = self._queue.get_at(0, lanes[0]) if lanes else None
        if first is None or not self._is_out_of_service(first):
            return
        for pending in self._queue:
            self._decide_due(pending)

    def _is_out_of_service(self, pending: PendingRequest) -> bool:
        keyed = pending.request.key_position != NO_KEY
        return self._parts.servers.is_out_of_service(self._parts.service, keyed)

    def _handle_due_request(self, pending: PendingRequest) -> None:
        """Let a request that became late give way, or end its waiting."""
        if not pending.late and self._ctx.now_s >= pending.late_from_s:
            self._queue.mark_late(pending)
            self._decide_due(pending)
        elif self._ctx.now_s >= pending.latest_start_s:
            self._decide_due(pending)

    def _decide_due(self, pending: PendingRequest) -> None:
        decision = self._decide(pending, Occasion.DUE, self._find_server)
        if not isinstance(decision, Wait):
            self._carry_out(pending, decision)

    def _decide(
        self, pending: PendingRequest, occasion: Occasion, find: ServerFinder
    ) -> Decision:
        room = PendingRoom(self._room_parts, pending, occasion, self._ctx.now_s, find)
        return self._policy.decide(pending, room)

    def _carry_out(self, pending: PendingRequest, decision: Place | Reject) -> None:
        """Place or refuse a request, which waits no longer."""
        if self._queue.find(pending.key) is pending:
            self._queue.remove(pending)
        if isinstance(decision, Place):
            self._assign_server(pending, decision.server)
            return
        is_moving = decision.reason is RejectReason.KEY_MOVING
        verdict = PlaceVerdict.MOVING if is_moving else PlaceVerdict.REFUSED
        pending.reply(
            PlaceAnswer(pending.request.number, verdict, "", decision.retry_after_s)
        )

    def _record_outcome(
        self,
        load: ServerLoad,
        assigned: AssignedRequest | None,
        end: PlaceEnd,
        sender: str,
    ) -> None:
        self._pauses.record_pause(sender, end.backend_server, end.pause_s)
        report = None
        if end.running != NO_REPORT:
            report = LoadReport(end.running, end.waiting, load.slots, end.slowness)
        outcome = AttemptOutcome(end.outcome)
        if assigned is None or assigned.load is not load:
            work_s = end.expected_work_s
            expected = Expectation(work_s) if work_s > 0.0 else None
            self._loads.record_end(load, outcome, end.latency_s, report, expected)
            return
        cost = assigned.cost
        expected = Expectation(
            cost.median_work_s, cost.certainty, assigned.had_free_slot
        )
        work_s = self._loads.record_end(load, outcome, end.latency_s, report, expected)
        if work_s > 0.0:
            self._costs.record(assigned.traits, work_s, end.response_bytes)

    def _update_server(self, load: ServerLoad) -> None:
        """Note that a request has left a server, and use the slot for queued ones."""
        # A server that answers is not slow because of the requests that are left.
        median_age_s = self._compute_median_age_s(load)
        load.median_age_s = min(load.median_age_s, median_age_s)
        self._index.refresh(load)
        self._canary.refresh(load)
        self._place_queued(load.name)
        self._place_queued(COMMON_LANE)

    def _update_age(self, load: ServerLoad) -> None:
        load.median_age_s = self._compute_median_age_s(load)

    def _compute_median_age_s(self, load: ServerLoad) -> float:
        """Return the median age of a server's requests, as if they were usual ones."""
        median_age = self._assignments.compute_median_age(load, self._ctx.now_s)
        return median_age * self._loads.base_latency_s

    def _estimate_outstanding_s(self, load: ServerLoad) -> float:
        """Return the work that a server has left, as time at slowness 1.0."""
        slowness = self._loads.estimate_present_slowness(load)
        now_s = self._ctx.now_s
        return self._assignments.estimate_outstanding_s(load, slowness, now_s)

    def _estimate_mean_work_s(self) -> float:
        return self._costs.estimate_mean_work_s(self._loads.base_latency_s)

    def _place_queued(self, lane: str) -> None:
        """Place the requests of a lane while there is room, in order of rank."""
        first = self._queue.get_at(0, lane)
        if first is None:
            return
        if first.request.key_position == NO_KEY:
            self._place_queued_anywhere()
            return
        while first is not None:
            decision = self._decide(first, Occasion.SLOT_FREED, self._find_server)
            if isinstance(decision, Wait):
                return
            self._carry_out(first, decision)
            first = self._queue.get_at(0, lane)

    def _place_queued_anywhere(self) -> None:
        """Place queued requests that any server can run while slots are free.

        Those that end sooner at a faster server are passed over. The search ends after
        some tries: the next event or tick goes on.
        """
        index, tries_left = 0, PLACEMENTS_TRIED_MAX
        while tries_left and (pending := self._queue.get_at(index)) is not None:
            options = self._find_options(pending)
            choose = partial(options.choose_server, ahead_count=index)
            decision = self._decide(pending, Occasion.SLOT_FREED, choose)
            if not isinstance(decision, Wait):
                self._carry_out(pending, decision)
                continue
            if options.best is None and not pending.excluded:
                return
            tries_left -= 1
            first_willing = min(options.count_waiting(), self._queue.count_in_time())
            index = max(index + 1, first_willing if options.best is not None else 0)

    def _find_server(self, pending: PendingRequest) -> ServerLoad | None:
        """Return a server for a request, None if it has to wait for one."""
        if pending.request.key_position == NO_KEY:
            canary = self._canary.choose_server(pending)
            if canary is not None:
                return canary
            options = self._find_options(pending)
            return options.choose_server(pending, self._queue.count_ahead(pending))
        load = self._find_owner_load(pending)
        if load is None or not self._canary.admits(load):
            return None
        requests_max = load.slots + self._count_overcommit(load)
        return load if load.estimate_in_flight() < requests_max else None

    def _count_overcommit(self, load: ServerLoad) -> int:
        """Return how many requests an owner gets beyond its slots."""
        slowness = self._loads.estimate_lasting_slowness(load)
        is_short = self._estimate_mean_work_s() * slowness < OVERCOMMIT_WORK_MAX_S
        return OVERCOMMIT_REQUESTS_MAX if is_short else 0

    def _assign_server(self, pending: PendingRequest, load: ServerLoad) -> None:
        request = pending.request
        now_s = self._ctx.now_s
        expires_s = now_s + request.left_s + UNREPORTED_END_GRACE_S
        assigned = AssignedRequest(
            load,
            now_s,
            expires_s,
            pending.cost,
            pending.traits,
            load.estimate_in_flight() < load.slots,
        )
        self._assignments.add(pending.key, assigned)
        self._index.update_slots(load)
        self._canary.record_placed(load)
        told_cost = pending.cost
        if pending.traits.key_position != NO_KEY_POSITION:
            told_cost = self._costs.estimate(pending.traits.without_key())
        pending.reply(build_placed_answer(request.number, load.name, told_cost))

    def _find_lane(self, pending: PendingRequest) -> str:
        """Return the name of the owner of a request's key, empty without one."""
        position = pending.request.key_position
        return COMMON_LANE if position == NO_KEY else self._parts.find_owner(position)

    def _find_owner_load(self, pending: PendingRequest) -> ServerLoad | None:
        row = self._parts.servers.rows.get(self._find_lane(pending))
        if row is None or not self._parts.servers.accepts_keyed_requests(row):
            return None
        return self._loads.get_load(row)

    def _find_options(self, pending: PendingRequest) -> ServerOptions:
        """Return the present server options for a request."""
        return self._index.find_options(
            pending.data_centre, pending.excluded, pending.demand
        )

    def _make_pending(
        self, request: PlaceRequest, sender: str, data_centre: str, reply: ReplyCallback
    ) -> PendingRequest:
        now_s = self._ctx.now_s
        traits, known_cost = read_traits(request), read_known_cost(request)
        if known_cost is not None:
            self._costs.learn(traits, known_cost)
        cost = self._costs.estimate(traits, self._loads.base_latency_s)
        times = compute_start_times(
            request.target_s,
            request.left_s,
            request.waited_s,
            cost.work_s,
        )
        return PendingRequest(
            request,
            sender,
            data_centre,
            reply,
            now_s,
            now_s + min(times.late_in_s, times.latest_start_in_s),
            now_s + times.latest_start_in_s,
            self._pauses.list_paused(sender).union(request.excluded),
            traits,
            cost,
            ServerDemand(
                cost.work_s,
                self._parts.distance.estimate_bytes_s(traits, cost),
                now_s + request.target_s - request.waited_s,
            ),
            times.late_in_s <= 0.0,
        )

    def _find_load(self, name: str) -> ServerLoad | None:
        row = self._parts.servers.rows.get(name)
        return self._loads.get_load(row) if row is not None else None
