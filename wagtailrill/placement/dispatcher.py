"""Places the requests of one service while this instance has its duty."""

from collections.abc import Callable
from statistics import median_low

import attrs

from ..core.context import Context
from ..core.orders import AttemptOutcome, LoadReport
from ..keys.planner import Capacity
from ..servers.load import Demand, LoadTable, ServerLoad
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import (
    FORGET_AFTER_S,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    SPARE_MAX,
    SPARE_PART_MIN,
    WAIT_PART_MAX,
    WAIT_PART_MIN,
    WORK_MARGIN,
)
from .messages import (
    NO_KEY,
    NO_REPORT,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from .queue import Assignment, Outlook, Reply, Waiting

OwnerOf = Callable[[int], str]


@attrs.frozen
class DispatcherParts:
    """What a dispatcher needs.

    For keyed services `owner_of` returns who holds a position, empty for nobody, and
    `served_in_s` about how long that lasts.
    """

    ctx: Context
    servers: ServerTable
    service: str
    owner_of: OwnerOf
    served_in_s: Callable[[int], float]


class Dispatcher:
    """Knows what is at each server, and lets requests wait here for a free slot.

    All of it is a hint: a server refuses what it has no room for.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._loads = LoadTable(parts.ctx)
        self._assignments: dict[tuple[str, int], Assignment] = {}
        self._waiting: list[Waiting] = []
        self._demand = Demand()

    def place(
        self, request: PlaceRequest, asker: str, data_centre: str, reply: Reply
    ) -> None:
        """Answer a request at once, or when there is room."""
        waiting = self._waiting_of(request, asker, data_centre, reply)
        if not request.extra:
            self._demand.count(self._ctx.now_s)
        if self._try(waiting, self._ahead_of(waiting)):
            return
        if request.extra:
            self._refuse(waiting)
            return
        if not self._worth_waiting(waiting):
            self._place_late(waiting)
            return
        self._waiting.append(waiting)
        reply(PlaceAnswer(request.number, PlaceVerdict.QUEUED, "", 0.0))

    def ended(self, end: PlaceEnd, asker: str) -> None:
        """Take in the end of a request, or that it is not wanted any more."""
        assignment = self._assignments.pop((asker, end.number), None)
        if assignment is not None:
            assignment.load.assigned -= 1
        if not end.backend_server:
            self._waiting = [
                w
                for w in self._waiting
                if (w.asker, w.request.number) != (asker, end.number)
            ]
            self._pump()
            return
        load = self._load(end.backend_server)
        if load is None:
            return
        report = None
        if end.running != NO_REPORT:
            report = LoadReport(end.running, end.waiting, load.slots, end.slowness)
        outcome = AttemptOutcome(end.outcome)
        self._loads.ended(load, outcome, end.latency_s, report)
        self._pump()

    def capacity_of(self, row: ServerRow) -> Capacity:
        """Return what a server can usually run."""
        load = self._loads.of(row)
        slowness = self._loads.usual_slowness(load)
        rate = load.slots / (self._loads.work_s * slowness)
        return Capacity(load.name, rate, slowness)

    def heard_s(self, row: ServerRow) -> float:
        """Return when a server last reported its load with an answer."""
        return self._loads.of(row).answered_s

    def load_reported(self, row: ServerRow, load: LoadReport) -> None:
        """Take in a load that a server reported beside an answer to a request."""
        self._loads.of(row).report(load, self._ctx.now_s)

    def tick(self) -> None:
        """Forget what is overdue, and refuse what has waited too long."""
        now_s = self._ctx.now_s
        self._check_assignments(now_s)
        for waiting in list(self._waiting):
            becomes_late = not waiting.late and now_s >= waiting.late_from_s
            waiting.late |= becomes_late
            if now_s >= waiting.hopeless_from_s or (
                becomes_late and not self._worth_waiting(waiting)
            ):
                self._waiting.remove(waiting)
                self._place_late(waiting)
        self._pump()

    def _check_assignments(self, now_s: float) -> None:
        """Drop overdue assignments, and learn how old those of each server are."""
        ages_s: dict[int, list[float]] = {}
        for key, assignment in list(self._assignments.items()):
            load = assignment.load
            if now_s >= assignment.until_s:
                load.assigned -= 1
                del self._assignments[key]
                continue
            ages_s.setdefault(id(load), []).append(now_s - assignment.placed_s)
        for load in self._loads.all():
            ages = ages_s.get(id(load))
            load.usual_age_s = median_low(ages) if ages else 0.0

    def _pump(self) -> None:
        """Place waiting requests where there is room, the most urgent first."""
        if not self._waiting:
            return
        self._waiting.sort(key=lambda waiting: waiting.rank)
        if self._waiting[0].request.key_position == NO_KEY:
            self._pump_anywhere()
        else:
            self._waiting = [w for w in self._waiting if not self._try(w, 0)]

    def _pump_anywhere(self) -> None:
        """Place requests that any server can run, as long as there is room."""
        left: list[Waiting] = []
        outlooks: dict[str, Outlook] = {}
        for number, waiting in enumerate(self._waiting):
            if waiting.excluded:
                placed = self._try(waiting, len(left))
            else:
                outlook = outlooks.get(waiting.data_centre)
                if outlook is None:
                    outlook = self._outlook(waiting.data_centre, frozenset())
                    outlooks[waiting.data_centre] = outlook
                if outlook.best is None:
                    left += self._waiting[number:]
                    break
                load = outlook.choice(waiting, len(left))
                placed = load is not None
                if load is not None:
                    self._assign(waiting, load)
            if placed:
                outlooks.clear()
            else:
                left.append(waiting)
        self._waiting = left

    def _try(self, waiting: Waiting, ahead: int) -> bool:
        """Place a request if there is room and nothing better to wait for."""
        if waiting.request.key_position == NO_KEY:
            outlook = self._outlook(waiting.data_centre, waiting.excluded)
            load = outlook.choice(waiting, ahead)
        else:
            load = self._owner(waiting)
            if load is not None and load.present() >= load.slots + SPARE_MAX:
                return False
        if load is None:
            return False
        self._assign(waiting, load)
        return True

    def _place_late(self, waiting: Waiting) -> None:
        """Use any free slot for a request that should not wait, or refuse it."""
        waiting.late = True
        if not self._try(waiting, 0):
            self._refuse(waiting)

    def _assign(self, waiting: Waiting, load: ServerLoad) -> None:
        request = waiting.request
        load.assigned += 1
        until_s = self._ctx.now_s + request.left_s + FORGET_AFTER_S
        self._assignments[waiting.asker, request.number] = Assignment(
            load, self._ctx.now_s, until_s
        )
        waiting.reply(PlaceAnswer(request.number, PlaceVerdict.PLACED, load.name, 0.0))

    def _owner(self, waiting: Waiting) -> ServerLoad | None:
        position = waiting.request.key_position
        name = self._parts.owner_of(position) if position != NO_KEY else ""
        row = self._parts.servers.rows.get(name)
        if row is None or not self._parts.servers.may_be_used(row):
            return None
        return self._loads.of(row)

    def _outlook(self, data_centre: str, excluded: frozenset[str]) -> Outlook:
        """Return what a request from a data centre can expect now."""
        best: ServerLoad | None = None
        best_s = float("inf")
        full: list[tuple[ServerLoad, float]] = []
        for row in self._candidates(excluded):
            load = self._loads.of(row)
            cost_s = self._loads.cost_s(load, data_centre)
            if load.present() >= load.slots:
                full.append((load, cost_s))
            elif cost_s < best_s:
                best, best_s = load, cost_s
        faster = [(load, cost_s) for load, cost_s in full if cost_s < best_s]
        return Outlook(
            best,
            best_s,
            sum(1.0 / self._loads.slot_s(load) for load, _ in faster),
            min((cost_s for _, cost_s in faster), default=float("inf")),
        )

    def _candidates(self, excluded: frozenset[str]) -> list[ServerRow]:
        servers = self._parts.servers
        rows = [
            row
            for row in servers.by_service.get(self._parts.service, ())
            if servers.accepts_work(row)
        ]
        now_s = self._ctx.now_s
        warm = [r for r in rows if not servers.is_cold(r)] or rows
        usable = [
            r
            for r in warm
            if r.name not in excluded and not self._loads.of(r).suspect(now_s)
        ]
        return usable or [r for r in warm if r.name not in excluded] or warm

    def _waiting_of(
        self, request: PlaceRequest, asker: str, data_centre: str, reply: Reply
    ) -> Waiting:
        now_s = self._ctx.now_s
        work_s = self._loads.work_s * WORK_MARGIN
        target_left_s = request.target_s - request.waited_s
        soonest_s = request.target_s * WAIT_PART_MIN - request.waited_s
        late_s = max(target_left_s - work_s, soonest_s)
        late_s = min(late_s, request.target_s * WAIT_PART_MAX - request.waited_s)
        hopeless_s = request.left_s - work_s
        return Waiting(
            request,
            asker,
            data_centre,
            reply,
            now_s,
            now_s + min(late_s, hopeless_s),
            now_s + hopeless_s,
            frozenset(request.excluded),
            late_s <= 0.0,
        )

    def _worth_waiting(self, waiting: Waiting) -> bool:
        """Return whether a request can be expected to be placed in time."""
        now_s = self._ctx.now_s
        if not waiting.late and now_s + self._wait_s(waiting) < waiting.late_from_s:
            return True
        return now_s + self._late_wait_s(waiting) < waiting.hopeless_from_s

    def _wait_s(self, waiting: Waiting) -> float:
        """Return how long requests of a rank wait until they are placed."""
        wait_s = self._owner_wait_s(waiting)
        return self._service_wait_s(waiting) if wait_s is None else wait_s

    def _late_wait_s(self, waiting: Waiting) -> float:
        """Return how long a late request waits, by the room that others leave.

        A key has one owner, so a request for it waits behind all others there: nobody
        else can run it.
        """
        if waiting.request.key_position != NO_KEY:
            owner = self._owner(waiting)
            if owner is None:
                return self._parts.served_in_s(waiting.request.key_position)
            ahead = owner.present() + 1.0 - owner.slots
            ahead += sum(self._owner(other) is owner for other in self._waiting)
            return ahead * self._loads.slot_s(owner)
        rate, used = self._service_rate(), self._demand.rate(self._ctx.now_s)
        spare = max(rate - used, rate * SPARE_PART_MIN)
        return (len(self._waiting) + 1) / spare if spare > 0.0 else float("inf")

    def _owner_wait_s(self, waiting: Waiting) -> float | None:
        """Return the wait for a key's owner, None if any server can be chosen."""
        position = waiting.request.key_position
        if position == NO_KEY:
            return None
        load = self._owner(waiting)
        if load is None:
            return self._parts.served_in_s(position)
        ahead = load.present() + 1.0 - load.slots
        ahead += sum(
            self._owner(other) is load and other.rank <= waiting.rank
            for other in self._waiting
        )
        return ahead * self._loads.slot_s(load)

    def _service_wait_s(self, waiting: Waiting) -> float:
        rate = self._service_rate()
        if rate <= 0.0:
            return float("inf")
        return (self._ahead_of(waiting) + 1) / rate

    def _ahead_of(self, waiting: Waiting) -> int:
        return sum(other.rank <= waiting.rank for other in self._waiting)

    def _service_rate(self) -> float:
        """Return the requests per second that all servers can begin."""
        return sum(
            1.0 / self._loads.slot_s(self._loads.of(row))
            for row in self._candidates(frozenset())
        )

    def _refuse(self, waiting: Waiting) -> None:
        request = waiting.request
        verdict = PlaceVerdict.REFUSED
        if request.key_position != NO_KEY and self._owner(waiting) is None:
            verdict = PlaceVerdict.MOVING
        wait_s = self._wait_s(waiting)
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        waiting.reply(PlaceAnswer(request.number, verdict, "", retry_after_s))

    def _load(self, name: str) -> ServerLoad | None:
        row = self._parts.servers.rows.get(name)
        return self._loads.of(row) if row is not None else None
