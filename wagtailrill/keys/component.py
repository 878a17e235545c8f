"""Finds the owners of keys, and assigns the keys of services whose duty is held here.

Used by the request pipeline and by placement.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.refusals import RefusalCode
from ..core.request_models import LoadReport
from ..core.timer import PeriodicTimer
from ..declaration.models import Configuration
from ..fleet.const import SERVICE_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..peer.registry import Envelope
from ..requests.interfaces import KeyOwner
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from ..store.models import Found, Get, StoreResult
from .const import (
    ANNOUNCE_INTERVAL_S,
    GRANTER_SILENCE_MAX_S,
    KEY_POSITIONS,
    PUBLISH_INTERVAL_S,
    SILENCE_CHECK_INTERVAL_S,
    TICK_INTERVAL_S,
)
from .granter import Granter, GranterParts
from .messages import KeyRoutesNotice, KeyRoutesRequest, KeyRoutesUpdate
from .models import NO_ROUTES, KeyRoutes, KeyTable, SegmentRow
from .routes import (
    ROUTED_STATES,
    build_routes,
    build_update,
    merge_segments,
    read_update,
)
from .server_loads import Capacity
from .usage import UsageTable

DUTY_PREFIX = "keys/"
ROUTES_REQUEST_INTERVAL_S = 0.1


@attrs.define(eq=False)
class ServiceRow:
    """State of one keyed service; `granter` is set while this instance has the duty.

    `last_heard_s` is when the granter was last heard of or the table last read.
    `sequence` numbers the granter's routes within one term of the duty. Times are
    monotonic.
    """

    name: str
    usage: UsageTable
    routes: KeyRoutes = NO_ROUTES
    last_heard_s: float = float("-inf")
    last_routes_request_s: float = float("-inf")
    read_pending: bool = False
    granter: Granter | None = None
    sequence: int = 0
    published_sequence: int = 0
    published_s: float = float("-inf")
    segments_changed: bool = False


class KeyOwnership:
    """Knows the owners of all keyed services' keys and assigns them under a duty.

    Implements `KeyRouter`, and `DutyListener` for the duty of each service. The router
    connects `estimate_capacity`, `on_load_report` and `get_last_answer_s` to placement.
    """

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
        self.estimate_capacity: Callable[[ServerRow], Capacity] = _assume_capacity
        self.on_load_report: Callable[[str, LoadReport], None] = lambda name, load: None
        self.get_last_answer_s: Callable[[str], float] = lambda name: float("-inf")
        # Only an instance that grants keys has work at each tick.
        self._ticks = PeriodicTimer(ctx.timers, TICK_INTERVAL_S, self._run_granters)
        ctx.timers.call_every(SILENCE_CHECK_INTERVAL_S, self._check_granters)
        ctx.timers.call_every(ANNOUNCE_INTERVAL_S, self._announce_routes)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        handlers: dict[type, Callable[[Envelope], None]] = {
            KeyRoutesUpdate: self._on_routes_update,
            KeyRoutesRequest: self._on_routes_request,
            KeyRoutesNotice: self._on_routes_notice,
        }
        for cls, handler in handlers.items():
            host.register_message_handler([cls], handler)

    def configure(self, configuration: Configuration) -> None:
        """Register for the duties of the configured keyed services."""
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

    def find_owner(self, service: str, position: int) -> KeyOwner | RefusalCode:
        """Return the owner of a key, or the refusal code while it has none."""
        row = self._rows.get(service)
        name = row.routes.find_owner(position) if row is not None else ""
        if not name or name not in self._servers.rows:
            return RefusalCode.KEY_MOVING
        return KeyOwner(name)

    def count_request(self, service: str, position: int) -> None:
        """Count a request for a key in the usage of a keyed service."""
        row = self._rows.get(service)
        if row is not None:
            row.usage.count_request(position)

    def report_misdirection(
        self, service: str, position: int, backend_server: str
    ) -> None:
        """Request newer routes after a server has reported that it lacks a key."""
        row = self._rows.get(service)
        if row is not None:
            self._request_routes(row)

    def get_routes(self, service: str) -> KeyRoutes:
        """Return the routes of a service, `NO_ROUTES` if it is not keyed."""
        row = self._rows.get(service)
        return row.routes if row is not None else NO_ROUTES

    def estimate_unowned_s(self, service: str, position: int) -> float:
        """Return about how many seconds a key stays without an owner.

        It is 0 if this instance does not have the duty.
        """
        row = self._rows.get(service)
        if row is None or row.granter is None:
            return 0.0
        return row.granter.estimate_unowned_s(position)

    def explain_key(self, service: str, position: int) -> dict[str, str | int] | None:
        """Return a key's owner and the routes' version, None for an unkeyed service.

        The duty holder adds the state of the segment.
        """
        row = self._rows.get(service)
        if row is None:
            return None
        holder = self._duties.get_holder(DUTY_PREFIX + service)
        routes = row.routes
        explanation: dict[str, str | int] = {
            "service": service,
            "position": position,
            "owner": routes.find_owner(position),
            "granter": holder.instance if holder is not None else "",
            "duty_fence": routes.duty_fence,
            "sequence": routes.sequence,
        }
        if row.granter is not None:
            explanation |= row.granter.explain_position(position)
        return explanation

    def collect_gauges(self) -> dict[str, float]:
        """Return figures of the services whose keys are assigned here, added up.

        Shares are of all positions of a service; `keys_moved_share` counts from the
        taking of the duty.
        """
        granters = [row.granter for row in self._rows.values() if row.granter]
        segments = [row for granter in granters for row in granter.rows]
        moved = sum(granter.moved_positions for granter in granters)
        waiting = sum(
            row.segment.last - row.segment.first + 1
            for row in segments
            if row.state not in ROUTED_STATES
        )
        return {
            "key_segments": float(len(segments)),
            "keys_moved_share": moved / KEY_POSITIONS,
            "keys_in_motion_share": waiting / KEY_POSITIONS,
        }

    def _request_routes(self, row: ServiceRow) -> None:
        holder = self._duties.get_holder(DUTY_PREFIX + row.name)
        if (
            holder is None
            or self._ctx.now_s - row.last_routes_request_s < ROUTES_REQUEST_INTERVAL_S
        ):
            return
        row.last_routes_request_s = self._ctx.now_s
        routes = row.routes
        self._ctx.send(
            holder.instance,
            KeyRoutesRequest(row.name, routes.duty_fence, routes.sequence),
        )

    def _read_table(self, row: ServiceRow) -> None:
        if row.read_pending:
            return
        row.read_pending = True
        table_key = self._table_prefix + row.name

        def on_read(result: StoreResult) -> None:
            row.read_pending = False
            row.last_heard_s = self._ctx.now_s
            found = result.ok if result.is_ok() else None
            if not isinstance(found, Found) or found.item is None:
                return
            parsed = KeyTable.from_bytes(found.item.value)
            if parsed.is_ok():
                self._accept_routes(row, build_routes(parsed.ok))

        self._ctx.call_store(Get(table_key), on_read)

    def _accept_routes(self, row: ServiceRow, routes: KeyRoutes) -> None:
        if routes.is_newer_than(row.routes):
            row.routes = routes

    # Messages

    def _on_routes_update(self, envelope: Envelope) -> None:
        update: KeyRoutesUpdate = envelope.message
        row = self._rows.get(update.service)
        routes = read_update(update)
        if row is None or routes is None:
            return
        row.last_heard_s = self._ctx.now_s
        self._accept_routes(row, routes)

    def _on_routes_request(self, envelope: Envelope) -> None:
        request: KeyRoutesRequest = envelope.message
        row = self._rows.get(request.service)
        if row is None or row.granter is None:
            return
        known = KeyRoutes((0,), ("",), request.duty_fence, request.sequence)
        if row.routes.is_newer_than(known):
            self._ctx.send(envelope.sender, build_update(row.name, row.routes))

    def _on_routes_notice(self, envelope: Envelope) -> None:
        notice: KeyRoutesNotice = envelope.message
        row = self._rows.get(notice.service)
        if row is None:
            return
        row.last_heard_s = self._ctx.now_s
        known = row.routes
        if (notice.duty_fence, notice.sequence) > (known.duty_fence, known.sequence):
            request = KeyRoutesRequest(row.name, known.duty_fence, known.sequence)
            self._ctx.send(envelope.sender, request)

    # Duty

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Begin to assign the keys of a service."""
        row = self._rows[duty.removeprefix(DUTY_PREFIX)]
        row.sequence = row.published_sequence = 0

        def mark_changed() -> None:
            row.segments_changed = True

        parts = GranterParts(
            self._ctx,
            self._servers,
            row.name,
            self._table_prefix + row.name,
            lambda server: self.estimate_capacity(server),
            lambda: self._duties.holds(duty),
            mark_changed,
            lambda name, load: self.on_load_report(name, load),
            lambda name: self.get_last_answer_s(name),
            lambda: self._duties.get_fence(duty),
        )
        row.granter = Granter(parts, row.usage, fence, predecessor_may_act_s)
        self._ticks.start()

    def on_predecessor_stopped(self, duty: str) -> None:
        """Pass on to the granter that its predecessor has stopped."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None and row.granter is not None:
            row.granter.on_predecessor_stopped()

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Pass on to the granter that a predecessor acts."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None and row.granter is not None:
            row.granter.on_predecessor_found(predecessor_may_act_s)

    def on_duty_lost(self, duty: str) -> None:
        """Stop assigning keys."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None and row.granter is not None:
            row.granter.stop()
            row.granter = None

    def _run_granters(self) -> None:
        """Run the granters of held duties and publish their changed routes."""
        granting = [row for row in self._rows.values() if row.granter is not None]
        if not granting:
            self._ticks.stop()
        for row in granting:
            if row.granter is None:
                continue
            row.granter.tick()
            if row.segments_changed and row.granter.table_loaded:
                row.segments_changed = False
                self._update_routes(row, row.granter.rows)
            if self._ctx.now_s >= row.published_s + PUBLISH_INTERVAL_S:
                self._publish_routes(row)

    def _check_granters(self) -> None:
        """Read the tables of services whose granters have been silent.

        A granter that is gone is left out: nobody has written its table then.
        """
        for row in self._rows.values():
            silent_s = self._ctx.now_s - row.last_heard_s
            if (
                row.granter is None
                and silent_s > GRANTER_SILENCE_MAX_S
                and self._may_granter_write(row)
            ):
                self._read_table(row)

    def _may_granter_write(self, row: ServiceRow) -> bool:
        """Return whether the granter is registered and the store may serve this one."""
        if self._ctx.store_budget.is_turned_away:
            return False
        holder = self._duties.get_holder(DUTY_PREFIX + row.name)
        if holder is None or row.routes.duty_fence == 0:
            return True
        return holder.instance in self._members.get_other_members()

    def _publish_routes(self, row: ServiceRow) -> None:
        """Send the routes to the live members if they have changed."""
        if row.published_sequence == row.sequence:
            return
        row.published_sequence, row.published_s = row.sequence, self._ctx.now_s
        update = build_update(row.name, row.routes)
        for name in self._members.get_other_members():
            self._ctx.send(name, update)

    def _update_routes(self, row: ServiceRow, segment_rows: list[SegmentRow]) -> None:
        row.sequence += 1
        holder = self._duties.get_holder(DUTY_PREFIX + row.name)
        starts, owners = merge_segments(segment_rows)
        fence = holder.fence if holder is not None else 0
        row.routes = KeyRoutes(starts, owners, fence, row.sequence)

    def _announce_routes(self) -> None:
        for row in self._rows.values():
            if row.granter is not None:
                routes = row.routes
                notice = KeyRoutesNotice(row.name, routes.duty_fence, routes.sequence)
                for name in self._members.get_other_members():
                    self._ctx.send(name, notice)


def _assume_capacity(server: ServerRow) -> Capacity:
    return Capacity(server.name, float(server.entry.slots))
