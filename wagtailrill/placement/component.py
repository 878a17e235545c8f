"""Placement of one instance: asks the dispatcher, and is one for some services."""

import itertools

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.orders import AttemptResult, LoadReport
from ..core.timer import TimerHandle
from ..declaration.models import Configuration
from ..fleet.const import SERVICE_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..keys.component import DUTY_PREFIX as KEYS_DUTY_PREFIX, KeyOwnership
from ..keys.planner import Capacity
from ..peer.registry import Envelope
from ..servers.choice import ServerChoice
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import (
    ANSWER_TIMEOUT_S,
    SILENCE_PAUSE_S,
    SILENT_ANSWERS_MAX,
    TICK_S,
)
from .dispatcher import Dispatcher, DispatcherParts
from .messages import (
    NO_KEY,
    NO_REPORT,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from .models import NotPlaced, OnPlaced, Placed, Ticket, Wanted

DUTY_PREFIX = "place/"


@attrs.define(eq=False)
class Question:
    """A request for which the dispatcher has been asked."""

    wanted: Wanted
    dispatcher: str
    on_placed: OnPlaced
    timer: TimerHandle | None = None


@attrs.define(eq=False)
class ServiceRow:
    """What this instance knows of a service's dispatcher."""

    duty: str
    silent: int = 0
    alone_until_s: float = float("-inf")
    dispatcher: Dispatcher | None = None


@attrs.frozen
class PlacementParts:
    """The components that placement uses."""

    ctx: Context
    servers: ServerTable
    choice: ServerChoice
    keys: KeyOwnership
    members: Members
    duties: Duties


class Placement:
    """Finds the backend server for a request.

    One instance places all requests of a service, since it alone knows what is at each
    server. When it does not answer, an instance chooses by what it has seen itself.
    """

    def __init__(self, parts: PlacementParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._rows: dict[str, ServiceRow] = {}
        self._questions: dict[int, Question] = {}
        self._numbers = itertools.count(1)
        parts.ctx.timers.subscribe(TICK_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.on_messages([PlaceRequest], self._on_request)
        host.on_messages([PlaceAnswer], self._on_answer)
        host.on_messages([PlaceEnd], self._on_end)

    def configure(self, configuration: Configuration) -> None:
        """Take part in the duties of the services."""
        for service in configuration.services.values():
            if service.name in self._rows:
                continue
            prefix = KEYS_DUTY_PREFIX if service.keyed else DUTY_PREFIX
            self._rows[service.name] = ServiceRow(prefix + service.name)
            if not service.keyed:
                self._parts.duties.register(
                    prefix + service.name, self, SERVICE_DUTY_WEIGHT
                )
        for name in self._rows.keys() - configuration.services.keys():
            self._parts.duties.withdraw(DUTY_PREFIX + name)
            del self._rows[name]

    def duty_taken(self, duty: str, fence: int, predecessor_may_act_s: float) -> None:
        """Begin to place requests; what a predecessor does is no harm."""

    def predecessor_stopped(self, duty: str) -> None:
        """Take no notice: a predecessor does no harm."""

    def duty_lost(self, duty: str) -> None:
        """Stop placing requests."""

    def capacity_of(self, server: ServerRow) -> Capacity:
        """Return what a server can run, as far as is known here."""
        dispatcher = self._dispatcher(server.entry.service)
        if dispatcher is None:
            return Capacity(server.name, float(server.entry.slots))
        return dispatcher.capacity_of(server)

    def heard_s(self, backend_server: str) -> float:
        """Return when a server last reported its load with an answer."""
        server = self._parts.servers.rows.get(backend_server)
        dispatcher = self._dispatcher(server.entry.service) if server else None
        if server is None or dispatcher is None:
            return float("-inf")
        return dispatcher.heard_s(server)

    def load_reported(self, backend_server: str, load: LoadReport) -> None:
        """Take in a load that a server reported with another answer."""
        server = self._parts.servers.rows.get(backend_server)
        if server is not None:
            dispatcher = self._dispatcher(server.entry.service)
            if dispatcher is not None:
                dispatcher.load_reported(server, load)

    def place(self, wanted: Wanted, on_placed: OnPlaced) -> int:
        """Call back with a server, now or later; return the question's number."""
        row = self._rows.get(wanted.service)
        holder = self._parts.duties.holder(row.duty) if row is not None else None
        if (
            row is None
            or holder is None
            or not holder.instance
            or self._ctx.now_s < row.alone_until_s
        ):
            on_placed(self._place_alone(wanted))
            return 0
        number = next(self._numbers)
        question = Question(wanted, holder.instance, on_placed)
        self._questions[number] = question
        question.timer = self._ctx.timers.call_later(
            ANSWER_TIMEOUT_S, lambda: self._silent(number)
        )
        position = NO_KEY
        if wanted.keyed and wanted.key_position is not None:
            position = wanted.key_position
        request = PlaceRequest(
            number=number,
            service=wanted.service,
            key_position=position,
            priority=wanted.priority,
            waited_s=wanted.waited_s,
            target_s=wanted.target_s,
            left_s=wanted.left_s,
            excluded=tuple(wanted.excluded),
            extra=wanted.extra,
        )
        self._ctx.send(holder.instance, request)
        return number

    def cancel(self, number: int, service: str) -> None:
        """Tell that a request is not wanted any more."""
        question = self._questions.pop(number, None)
        if question is None:
            return
        if question.timer is not None:
            question.timer.cancel()
        self._send_end(question.dispatcher, number, service)

    def ended(self, service: str, placed: Placed, result: AttemptResult) -> None:
        """Report the end of a request to the one that placed it."""
        ticket = placed.ticket
        dispatcher = ticket.dispatcher
        if not dispatcher:
            row = self._rows.get(service)
            holder = self._parts.duties.holder(row.duty) if row is not None else None
            dispatcher = holder.instance if holder is not None else ""
        if dispatcher:
            self._send_end(
                dispatcher, ticket.number, service, placed.server.name, result
            )

    def _send_end(
        self,
        dispatcher: str,
        number: int,
        service: str,
        backend_server: str = "",
        result: AttemptResult | None = None,
    ) -> None:
        load = result.load if result is not None else None
        self._ctx.send(
            dispatcher,
            PlaceEnd(
                number=number,
                service=service,
                backend_server=backend_server,
                outcome=result.outcome.value if result is not None else "cancelled",
                latency_s=result.latency_s if result is not None else 0.0,
                running=load.running if load is not None else NO_REPORT,
                waiting=load.waiting if load is not None else NO_REPORT,
                slowness=load.slowness if load is not None else 1.0,
            ),
        )

    # Asking

    def _place_alone(self, wanted: Wanted) -> Placed | NotPlaced:
        parts = self._parts
        server: ServerRow | None
        moving = False
        if wanted.keyed and wanted.key_position is not None:
            owner = parts.keys.routes(wanted.service).owner_of(wanted.key_position)
            moving = owner not in parts.servers.rows
            server = parts.choice.known(owner)
        else:
            server = parts.choice.choose(wanted.service, wanted.excluded)
            if server is None and wanted.excluded and not wanted.extra:
                server = parts.choice.choose(wanted.service, frozenset())
        if server is None:
            return NotPlaced(moving, wanted.keyed, 0.0, self._ctx.identity.instance)
        return Placed(server, Ticket("", 0))

    def _silent(self, number: int) -> None:
        question = self._questions.pop(number, None)
        if question is None:
            return
        row = self._rows.get(question.wanted.service)
        if row is not None:
            row.silent += 1
            if row.silent >= SILENT_ANSWERS_MAX:
                row.alone_until_s = self._ctx.now_s + SILENCE_PAUSE_S
        self._send_end(question.dispatcher, number, question.wanted.service)
        question.on_placed(self._place_alone(question.wanted))

    def _on_answer(self, envelope: Envelope) -> None:
        answer: PlaceAnswer = envelope.message
        question = self._questions.get(answer.number)
        if question is None or envelope.sender != question.dispatcher:
            return
        row = self._rows.get(question.wanted.service)
        if row is not None:
            row.silent = 0
        if question.timer is not None:
            question.timer.cancel()
        if answer.verdict is PlaceVerdict.QUEUED:
            left_s = question.wanted.left_s
            question.timer = self._ctx.timers.call_later(
                left_s, lambda: self._silent(answer.number)
            )
            return
        del self._questions[answer.number]
        question.on_placed(self._read(answer, question))

    def _read(self, answer: PlaceAnswer, question: Question) -> Placed | NotPlaced:
        if answer.verdict is PlaceVerdict.NOT_HERE:
            return self._place_alone(question.wanted)
        if answer.verdict is not PlaceVerdict.PLACED:
            moving = answer.verdict is PlaceVerdict.MOVING
            return NotPlaced(moving, False, answer.retry_after_s, question.dispatcher)
        server = self._parts.choice.known(answer.backend_server)
        if server is None:
            # Unknown here, or cold and this instance has used its share.
            self._send_end(
                question.dispatcher,
                answer.number,
                question.wanted.service,
                answer.backend_server,
            )
            return self._place_alone(question.wanted)
        return Placed(server, Ticket(question.dispatcher, answer.number))

    # Dispatching

    def _dispatcher(self, service: str) -> Dispatcher | None:
        row = self._rows.get(service)
        if row is None or not self._parts.duties.holds(row.duty):
            return None
        if row.dispatcher is None:
            parts = self._parts
            row.dispatcher = Dispatcher(
                DispatcherParts(
                    parts.ctx,
                    parts.servers,
                    service,
                    lambda position: parts.keys.routes(service).owner_of(position),
                    lambda position: parts.keys.served_in_s(service, position),
                )
            )
        return row.dispatcher

    def _on_request(self, envelope: Envelope) -> None:
        request: PlaceRequest = envelope.message

        def reply(answer: PlaceAnswer) -> None:
            self._ctx.send(envelope.sender, answer, envelope.incarnation)

        dispatcher = self._dispatcher(request.service)
        if dispatcher is None:
            reply(PlaceAnswer(request.number, PlaceVerdict.NOT_HERE, "", 0.0))
            return
        data_centre = self._ctx.identity.data_centre
        member = self._parts.members.live().get(envelope.sender)
        if member is not None:
            data_centre = member.data_centre
        if request.key_position != NO_KEY:
            self._parts.keys.record(request.service, request.key_position)
        dispatcher.place(request, envelope.sender, data_centre, reply)

    def _on_end(self, envelope: Envelope) -> None:
        end: PlaceEnd = envelope.message
        dispatcher = self._dispatcher(end.service)
        if dispatcher is not None:
            dispatcher.ended(end, envelope.sender)

    def _tick(self) -> None:
        for name, row in self._rows.items():
            if row.dispatcher is None:
                continue
            if self._dispatcher(name) is None:
                row.dispatcher = None
            else:
                row.dispatcher.tick()
