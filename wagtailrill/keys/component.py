"""Key ownership of one instance: routes for requests, and the granter's duty."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.orders import LoadReport
from ..core.refusals import RefusalCode
from ..declaration.models import Configuration
from ..fleet.const import SERVICE_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..peer.registry import Envelope
from ..requests.interfaces import KeyOwner
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from ..store.models import Found, Get, StoreResult
from .const import ANNOUNCE_INTERVAL_S, PUBLISH_INTERVAL_S, SILENCE_S, TICK_S
from .granter import Granter, GranterParts
from .messages import KeyRoutesNotice, KeyRoutesRequest, KeyRoutesUpdate
from .models import NO_ROUTES, KeyRoutes, KeyTable, SegmentRow, SegmentState
from .planner import Capacity
from .usage import UsageTable

DUTY_PREFIX = "keys/"
ROUTED_STATES = frozenset({SegmentState.SERVING})
ASK_INTERVAL_S = 0.1


@attrs.define(eq=False)
class ServiceRow:
    """One keyed service: routes and, with the duty, usage and granter."""

    name: str
    usage: UsageTable
    routes: KeyRoutes = NO_ROUTES
    heard_s: float = float("-inf")
    asked_s: float = float("-inf")
    reading: bool = False
    granter: Granter | None = None
    sequence: int = 0
    published_sequence: int = 0
    published_s: float = float("-inf")
    changed: bool = False


class KeyOwnership:
    """Implements `KeyRouter`, and `DutyListener` for the duty of each service."""

    def __init__(
        self,
        ctx: Context,
        servers: ServerTable,
        members: Members,
        duties: Duties,
        table_prefix: str,
    ) -> None:
        self._ctx = ctx
        self._servers = servers
        self._members = members
        self._duties = duties
        self._table_prefix = table_prefix
        self._rows: dict[str, ServiceRow] = {}
        self.capacity_of: Callable[[ServerRow], Capacity] = _unknown_capacity
        self.on_load: Callable[[str, LoadReport], None] = lambda name, load: None
        self.heard_s: Callable[[str], float] = lambda name: float("-inf")
        ctx.timers.subscribe(TICK_S, self._tick)
        ctx.timers.subscribe(ANNOUNCE_INTERVAL_S, self._announce)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        handlers: dict[type, Callable[[Envelope], None]] = {
            KeyRoutesUpdate: self._on_update,
            KeyRoutesRequest: self._on_request,
            KeyRoutesNotice: self._on_notice,
        }
        for cls, handler in handlers.items():
            host.on_messages([cls], handler)

    def configure(self, configuration: Configuration) -> None:
        """Take part in the duties of the keyed services."""
        keyed = {s.name for s in configuration.services.values() if s.keyed}
        for name in keyed - self._rows.keys():
            row = ServiceRow(name, UsageTable(self._ctx))
            self._rows[name] = row
            self._duties.register(DUTY_PREFIX + name, self, SERVICE_DUTY_WEIGHT)
            self._read_table(row)
        for name in self._rows.keys() - keyed:
            self._duties.withdraw(DUTY_PREFIX + name)
            del self._rows[name]

    # Routes

    def owner(self, service: str, position: int) -> KeyOwner | RefusalCode:
        """Return the owner of a key, or why there is none now."""
        row = self._rows.get(service)
        name = row.routes.owner_of(position) if row is not None else ""
        if not name or name not in self._servers.rows:
            return RefusalCode.KEY_MOVING
        return KeyOwner(name)

    def record(self, service: str, position: int) -> None:
        """Count a request for a key, if this instance assigns the keys."""
        row = self._rows.get(service)
        if row is not None:
            row.usage.record(position)

    def misdirected(self, service: str, position: int, backend_server: str) -> None:
        """Ask for newer routes, since a server does not hold a key."""
        row = self._rows.get(service)
        if row is not None:
            self._ask(row)

    def routes(self, service: str) -> KeyRoutes:
        """Return the routes of a service."""
        row = self._rows.get(service)
        return row.routes if row is not None else NO_ROUTES

    def served_in_s(self, service: str, position: int) -> float:
        """Return about how long a key has no owner, 0 if nobody here knows."""
        row = self._rows.get(service)
        if row is None or row.granter is None:
            return 0.0
        return row.granter.served_in_s(position)

    def explain(self, service: str, position: int) -> dict[str, str | int] | None:
        """Return what this instance knows of a key, None for other services."""
        row = self._rows.get(service)
        if row is None:
            return None
        holder = self._duties.holder(DUTY_PREFIX + service)
        routes = row.routes
        explanation: dict[str, str | int] = {
            "service": service,
            "position": position,
            "owner": routes.owner_of(position),
            "granter": holder.instance if holder is not None else "",
            "duty_fence": routes.duty_fence,
            "sequence": routes.sequence,
        }
        if row.granter is not None:
            explanation |= row.granter.explain(position)
        return explanation

    def _ask(self, row: ServiceRow) -> None:
        holder = self._duties.holder(DUTY_PREFIX + row.name)
        if holder is None or self._ctx.now_s - row.asked_s < ASK_INTERVAL_S:
            return
        row.asked_s = self._ctx.now_s
        routes = row.routes
        self._ctx.send(
            holder.instance,
            KeyRoutesRequest(row.name, routes.duty_fence, routes.sequence),
        )

    def _read_table(self, row: ServiceRow) -> None:
        if row.reading:
            return
        row.reading = True
        key = self._table_prefix + row.name

        def on_read(result: StoreResult) -> None:
            row.reading = False
            row.heard_s = self._ctx.now_s
            found = result.ok if result.is_ok() else None
            if not isinstance(found, Found) or found.item is None:
                return
            table = KeyTable.from_bytes(found.item.value)
            if table.is_ok():
                self._accept(row, _routes_of_table(table.ok))

        self._ctx.call_store(Get(key), on_read)

    def _accept(self, row: ServiceRow, routes: KeyRoutes) -> None:
        if routes.is_newer_than(row.routes):
            row.routes = routes

    # Messages

    def _on_update(self, envelope: Envelope) -> None:
        update: KeyRoutesUpdate = envelope.message
        row = self._rows.get(update.service)
        if row is None or not update.starts or update.starts[0] != 0:
            return
        row.heard_s = self._ctx.now_s
        names = update.names
        owners = tuple(names[i] if i < len(names) else "" for i in update.owners)
        if len(owners) == len(update.starts):
            routes = KeyRoutes(
                update.starts, owners, update.duty_fence, update.sequence
            )
            self._accept(row, routes)

    def _on_request(self, envelope: Envelope) -> None:
        request: KeyRoutesRequest = envelope.message
        row = self._rows.get(request.service)
        if row is None or row.granter is None:
            return
        known = KeyRoutes((0,), ("",), request.duty_fence, request.sequence)
        if row.routes.is_newer_than(known):
            self._ctx.send(envelope.sender, _update_of(row.name, row.routes))

    def _on_notice(self, envelope: Envelope) -> None:
        notice: KeyRoutesNotice = envelope.message
        row = self._rows.get(notice.service)
        if row is None:
            return
        row.heard_s = self._ctx.now_s
        known = row.routes
        if (notice.duty_fence, notice.sequence) > (known.duty_fence, known.sequence):
            request = KeyRoutesRequest(row.name, known.duty_fence, known.sequence)
            self._ctx.send(envelope.sender, request)

    # Duty

    def duty_taken(self, duty: str, fence: int, predecessor_may_act_s: float) -> None:
        """Begin to assign the keys of a service."""
        row = self._rows[duty.removeprefix(DUTY_PREFIX)]
        row.sequence = row.published_sequence = 0

        def changed() -> None:
            row.changed = True

        parts = GranterParts(
            self._ctx,
            self._servers,
            row.name,
            self._table_prefix + row.name,
            lambda server: self.capacity_of(server),
            lambda: self._duties.holds(duty),
            changed,
            lambda name, load: self.on_load(name, load),
            lambda name: self.heard_s(name),
        )
        row.granter = Granter(parts, row.usage, fence, predecessor_may_act_s)

    def predecessor_stopped(self, duty: str) -> None:
        """Learn that the predecessor does not act any more."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None and row.granter is not None:
            row.granter.predecessor_stopped()

    def duty_lost(self, duty: str) -> None:
        """Stop assigning keys."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None and row.granter is not None:
            row.granter.stop()
            row.granter = None

    def _tick(self) -> None:
        for row in self._rows.values():
            if row.granter is not None:
                row.granter.tick()
                if row.changed and row.granter.loaded:
                    row.changed = False
                    self._apply(row, row.granter.rows)
                if self._ctx.now_s >= row.published_s + PUBLISH_INTERVAL_S:
                    self._publish(row)
            elif self._ctx.now_s - row.heard_s > SILENCE_S:
                self._read_table(row)

    def _publish(self, row: ServiceRow) -> None:
        """Tell the members the routes if they have changed."""
        if row.published_sequence == row.sequence:
            return
        row.published_sequence, row.published_s = row.sequence, self._ctx.now_s
        update = _update_of(row.name, row.routes)
        for name in self._members.live():
            self._ctx.send(name, update)

    def _apply(self, row: ServiceRow, segments: list[SegmentRow]) -> None:
        row.sequence += 1
        holder = self._duties.holder(DUTY_PREFIX + row.name)
        starts: list[int] = []
        owners: list[str] = []
        for segment in segments:
            routed = segment.state in ROUTED_STATES
            owner = segment.segment.owner if routed else ""
            if not owners or owners[-1] != owner:
                starts.append(segment.segment.first)
                owners.append(owner)
        fence = holder.fence if holder is not None else 0
        row.routes = KeyRoutes(tuple(starts), tuple(owners), fence, row.sequence)

    def _announce(self) -> None:
        for row in self._rows.values():
            if row.granter is not None:
                routes = row.routes
                notice = KeyRoutesNotice(row.name, routes.duty_fence, routes.sequence)
                for name in self._members.live():
                    self._ctx.send(name, notice)


def _unknown_capacity(server: ServerRow) -> Capacity:
    return Capacity(server.name, float(server.entry.slots))


def _routes_of_table(table: KeyTable) -> KeyRoutes:
    return KeyRoutes(
        tuple(segment.first for segment in table.segments),
        tuple(segment.owner for segment in table.segments),
        table.duty_fence,
        0,
    )


def _update_of(service: str, routes: KeyRoutes) -> KeyRoutesUpdate:
    names = sorted(set(routes.owners))
    index = {name: number for number, name in enumerate(names)}
    return KeyRoutesUpdate(
        service,
        routes.duty_fence,
        routes.sequence,
        routes.starts,
        tuple(index[owner] for owner in routes.owners),
        tuple(names),
    )
