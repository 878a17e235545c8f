"""Finds the backend server for each request; acts as dispatcher for some services."""

import itertools
from collections.abc import Callable

import attrs

from ..admission.const import OUT_OF_SERVICE_RETRY_AFTER_S
from ..core.context import Context
from ..core.host import ComponentHost
from ..core.request_models import (
    AttemptOutcome,
    AttemptResult,
    LoadReport,
    ServerNotice,
)
from ..core.timer import PeriodicTimer
from ..costs.book import CostBook
from ..costs.estimator import CostEstimator
from ..declaration.models import Configuration
from ..fleet.const import SERVICE_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..keys.component import DUTY_PREFIX as KEYS_DUTY_PREFIX, KeyOwnership
from ..keys.server_loads import Capacity
from ..peer.registry import Envelope
from ..servers.choice import ServerChoice
from ..servers.distance import DistanceSettings
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .canary import CanaryGate
from .const import (
    ANSWER_TIMEOUT_S,
    CONSECUTIVE_TIMEOUTS_MAX,
    LOCAL_CHOICE_PERIOD_S,
    TICK_INTERVAL_S,
)
from .costs import build_request, read_told_cost
from .dispatcher import Dispatcher, DispatcherParts
from .messages import (
    NO_KEY,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from .models import (
    NoServerAvailable,
    PlacementCallback,
    PlacementQuery,
    PlacementRef,
    ServerAssignment,
)
from .pauses import PauseChecks
from .reports import build_end
from .rows import PendingQuery, ServiceRow

DUTY_PREFIX = "place/"


@attrs.frozen
class PlacementParts:
    """Components that placement uses."""

    ctx: Context
    servers: ServerTable
    choice: ServerChoice
    keys: KeyOwnership
    members: Members
    duties: Duties
    costs: CostBook
    distance: DistanceSettings


class Placement:
    """Finds the backend server for a request.

    One instance, the dispatcher, places all requests of a service, since only it knows
    all requests at each server. If it does not answer, an instance chooses a server by
    its own view of the servers. `find_gate` returns what bounds the requests at a
    version under test for the dispatcher of a service.
    """

    def __init__(self, parts: PlacementParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._pause_checks = PauseChecks(parts.ctx, parts.choice, parts.keys)
        self.find_gate: Callable[[str], CanaryGate | None] = lambda service: None
        self._rows: dict[str, ServiceRow] = {}
        self._pending_queries: dict[int, PendingQuery] = {}
        self._query_numbers = itertools.count(1)
        # Only an instance that is a dispatcher has work at each tick.
        self._ticks = PeriodicTimer(parts.ctx.timers, TICK_INTERVAL_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        host.register_message_handler([PlaceRequest], self._on_request)
        host.register_message_handler([PlaceAnswer], self._on_answer)
        host.register_message_handler([PlaceEnd], self._on_end)

    def configure(self, configuration: Configuration) -> None:
        """Register for the duties of new services and withdraw from removed ones.

        A keyed service uses its duty of key ownership, which `KeyOwnership` registers.
        """
        for service in configuration.services.values():
            if service.name in self._rows:
                continue
            prefix = KEYS_DUTY_PREFIX if service.keyed else DUTY_PREFIX
            self._rows[service.name] = ServiceRow(prefix + service.name)
            if not service.keyed:
                self._parts.duties.register(
                    prefix + service.name,
                    self,
                    SERVICE_DUTY_WEIGHT,
                    is_exclusive=False,
                )
        self._parts.costs.keep_services(frozenset(configuration.services))
        for name in self._rows.keys() - configuration.services.keys():
            self._parts.duties.withdraw(DUTY_PREFIX + name)
            del self._rows[name]

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Do nothing: the dispatcher is created on first use.

        A predecessor that still places requests does no harm, so it is not waited for.
        """

    def on_predecessor_stopped(self, duty: str) -> None:
        """Do nothing: a predecessor that still places requests does no harm."""

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Do nothing: a predecessor that still places requests does no harm."""

    def on_duty_lost(self, duty: str) -> None:
        """Do nothing: the next tick drops the dispatcher."""

    def estimate_capacity(self, server: ServerRow) -> Capacity:
        """Return the usual capacity of a server, in requests per second.

        An instance that is not the dispatcher assumes one per second and slot.
        """
        dispatcher = self._get_dispatcher(server.entry.service)
        if dispatcher is None:
            return Capacity(server.name, float(server.entry.slots))
        return dispatcher.estimate_capacity(server)

    def sum_outstanding_s(self) -> float:
        """Return the expected work of the requests that run by dispatchers here."""
        dispatchers = [row.dispatcher for row in self._rows.values()]
        return sum(d.get_outstanding_s() for d in dispatchers if d is not None)

    def get_last_answer_s(self, backend_server: str) -> float:
        """Return when a server last answered with a load report, in monotonic time.

        The time is minus infinity if none is known here.
        """
        server = self._parts.servers.rows.get(backend_server)
        dispatcher = self._get_dispatcher(server.entry.service) if server else None
        if server is None or dispatcher is None:
            return float("-inf")
        return dispatcher.get_last_answer_s(server)

    def record_load(self, backend_server: str, load: LoadReport) -> None:
        """Record a load report that did not come with the answer to a request."""
        server = self._parts.servers.rows.get(backend_server)
        if server is not None:
            dispatcher = self._get_dispatcher(server.entry.service)
            if dispatcher is not None:
                dispatcher.record_load(server, load)

    def find_server(self, query: PlacementQuery, on_result: PlacementCallback) -> int:
        """Find a server and call `on_result`, before returning or later.

        Return the number by which the query can be cancelled, 0 if it is already
        resolved.
        """
        refusal = self._find_refusal(query)
        if refusal is not None:
            on_result(refusal)
            return 0
        row = self._rows.get(query.service)
        dispatcher = self.find_dispatcher(query.service)
        if row is None or not dispatcher or self._ctx.now_s < row.local_until_s:
            on_result(self._place_locally(query))
            return 0
        number = next(self._query_numbers)
        pending = PendingQuery(query, dispatcher, on_result)
        self._pending_queries[number] = pending
        pending.timer = self._ctx.timers.call_later(
            ANSWER_TIMEOUT_S, lambda: self._on_timeout(number)
        )
        known_cost = None
        if row.is_dispatcher_new(dispatcher, self._ctx.now_s):
            known_cost = self._get_costs(query.service).estimate(
                query.traits.without_key()
            )
        self._ctx.send(dispatcher, build_request(number, query, known_cost))
        return number

    def _find_refusal(self, query: PlacementQuery) -> NoServerAvailable | None:
        """Return the refusal of a request that no server may get now, if it is one."""
        if self._parts.servers.is_out_of_service(query.service, query.keyed):
            instance = self._ctx.identity.instance
            return NoServerAvailable(
                False, False, OUT_OF_SERVICE_RETRY_AFTER_S, instance
            )
        return self._pause_checks.find_refusal(query)

    def find_dispatcher(self, service: str) -> str:
        """Return the instance that places the requests of a service, empty if none."""
        row = self._rows.get(service)
        holder = self._parts.duties.get_holder(row.duty) if row is not None else None
        return holder.instance if holder is not None else ""

    def describe_admission(self) -> dict[str, dict[str, int]]:
        """Return the admission counts of the services that are placed here."""
        return {
            name: row.dispatcher.describe_admission()
            for name, row in self._rows.items()
            if row.dispatcher is not None
        }

    def cancel_query(self, number: int, service: str) -> None:
        """Cancel a query that is not resolved yet, and tell its dispatcher."""
        pending = self._pending_queries.pop(number, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        self._send_end(pending.dispatcher, number, service)

    def report_end(
        self, service: str, assignment: ServerAssignment, result: AttemptResult
    ) -> None:
        """Report the end of an attempt to the dispatcher that placed it.

        The present dispatcher is told, too, if it is another one, or if this instance
        chose the server itself.
        """
        placed_by, name = assignment.placement_ref.dispatcher, assignment.server.name
        work_s = assignment.expected_work_s
        if placed_by:
            number = assignment.placement_ref.number
            self._send_end(placed_by, number, service, name, result, work_s)
        present = self.find_dispatcher(service)
        if present and present != placed_by:
            self._send_end(present, 0, service, name, result, work_s)

    def _send_end(
        self,
        dispatcher: str,
        number: int,
        service: str,
        backend_server: str = "",
        result: AttemptResult | None = None,
        expected_work_s: float = 0.0,
    ) -> None:
        end = build_end(number, service, backend_server, result, expected_work_s)
        self._ctx.send(dispatcher, end)

    # Asking the dispatcher

    def _place_locally(
        self, query: PlacementQuery
    ) -> ServerAssignment | NoServerAvailable:
        parts = self._parts
        server: ServerRow | None
        moving = False
        if query.keyed and query.key_position is not None:
            owner = parts.keys.get_routes(query.service).find_owner(query.key_position)
            moving = owner not in parts.servers.rows
            server = parts.choice.find_owner_without_dispatcher(owner)
        else:
            service, traits = query.service, query.traits
            server = parts.choice.choose_server(service, query.excluded, traits)
            if server is None and query.excluded and not query.extra:
                server = parts.choice.choose_server(service, frozenset(), traits)
        if server is not None:
            cost = parts.choice.estimate_cost(query.service, query.traits)
            return ServerAssignment(server, PlacementRef("", 0), cost.median_work_s)
        instance = self._ctx.identity.instance
        return self._find_refusal(query) or NoServerAvailable(
            moving, query.keyed, 0.0, instance
        )

    def _on_timeout(self, number: int) -> None:
        pending = self._pending_queries.pop(number, None)
        if pending is None:
            return
        row = self._rows.get(pending.query.service)
        if row is not None:
            row.consecutive_timeouts += 1
            if row.consecutive_timeouts >= CONSECUTIVE_TIMEOUTS_MAX:
                row.local_until_s = self._ctx.now_s + LOCAL_CHOICE_PERIOD_S
        self._send_end(pending.dispatcher, number, pending.query.service)
        pending.on_result(self._place_locally(pending.query))

    def _on_answer(self, envelope: Envelope) -> None:
        answer: PlaceAnswer = envelope.message
        pending = self._pending_queries.get(answer.number)
        if pending is None or envelope.sender != pending.dispatcher:
            return
        row = self._rows.get(pending.query.service)
        if row is not None:
            row.consecutive_timeouts = 0
        if pending.timer is not None:
            pending.timer.cancel()
        if answer.verdict is PlaceVerdict.QUEUED:
            left_s = pending.query.left_s
            pending.timer = self._ctx.timers.call_later(
                left_s, lambda: self._on_timeout(answer.number)
            )
            return
        del self._pending_queries[answer.number]
        pending.on_result(self._resolve_answer(answer, pending))

    def _resolve_answer(
        self, answer: PlaceAnswer, pending: PendingQuery
    ) -> ServerAssignment | NoServerAvailable:
        if answer.verdict is PlaceVerdict.NOT_HERE:
            return self._place_locally(pending.query)
        if answer.verdict is not PlaceVerdict.PLACED:
            moving = answer.verdict is PlaceVerdict.MOVING
            return NoServerAvailable(
                moving, False, answer.retry_after_s, pending.dispatcher
            )
        server = self._parts.choice.find_usable_server(answer.backend_server)
        told_cost = read_told_cost(answer)
        if told_cost is not None and pending.dispatcher != self._ctx.identity.instance:
            costs = self._get_costs(pending.query.service)
            costs.learn(pending.query.traits, told_cost)
        if server is None:
            # The server is unknown here, is leaving, wants a pause, or is cold and this
            # instance has already used its share of the requests allowed there.
            service, name = pending.query.service, answer.backend_server
            pause_left_s = self._parts.choice.get_pause_left_s(service, name)
            notice = ServerNotice(pause_s=pause_left_s)
            result = AttemptResult(0, AttemptOutcome.CANCELLED, 0.0, notice=notice)
            self._send_end(pending.dispatcher, answer.number, service, name, result)
            return self._place_locally(pending.query)
        placement_ref = PlacementRef(pending.dispatcher, answer.number)
        work_s = told_cost.median_work_s if told_cost is not None else 0.0
        return ServerAssignment(server, placement_ref, work_s)

    def _get_costs(self, service: str) -> CostEstimator:
        return self._parts.costs.get_estimator(service)

    # Acting as dispatcher

    def _get_dispatcher(self, service: str) -> Dispatcher | None:
        """Return the dispatcher of a service, None unless its duty is held here."""
        row = self._rows.get(service)
        if row is None or not self._parts.duties.holds(row.duty):
            return None
        if row.dispatcher is None:
            parts = self._parts
            self._ticks.start()
            row.dispatcher = Dispatcher(
                DispatcherParts(
                    parts.ctx,
                    parts.servers,
                    service,
                    lambda position: parts.keys.get_routes(service).find_owner(
                        position
                    ),
                    lambda position: parts.keys.estimate_unowned_s(service, position),
                    self._get_costs(service),
                    parts.distance,
                    self.find_gate(service),
                )
            )
        return row.dispatcher

    def _on_request(self, envelope: Envelope) -> None:
        request: PlaceRequest = envelope.message

        def reply(answer: PlaceAnswer) -> None:
            self._ctx.send(envelope.sender, answer, envelope.incarnation)

        dispatcher = self._get_dispatcher(request.service)
        if dispatcher is None:
            reply(PlaceAnswer(request.number, PlaceVerdict.NOT_HERE, "", 0.0))
            return
        data_centre = self._ctx.identity.data_centre
        member = self._parts.members.get_other_members().get(envelope.sender)
        if member is not None:
            data_centre = member.data_centre
        if request.key_position != NO_KEY:
            self._parts.keys.count_request(request.service, request.key_position)
        dispatcher.place_request(request, envelope.sender, data_centre, reply)

    def _on_end(self, envelope: Envelope) -> None:
        end: PlaceEnd = envelope.message
        dispatcher = self._get_dispatcher(end.service)
        if dispatcher is not None:
            dispatcher.record_end(end, envelope.sender)

    def _tick(self) -> None:
        for name, row in self._rows.items():
            if row.dispatcher is None:
                continue
            if self._get_dispatcher(name) is None:
                row.dispatcher = None
            else:
                row.dispatcher.tick()
        if all(row.dispatcher is None for row in self._rows.values()):
            self._ticks.stop()
