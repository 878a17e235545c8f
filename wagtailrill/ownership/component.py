"""Ownership of key slots at one instance: routing, grants and moves."""

from ..core.context import Context
from ..core.host import ComponentHost
from ..declaration.models import Configuration
from ..membership.table import CellTable, SlotOwner, SlotState
from ..partitions.directory import Member
from ..peer.registry import Envelope
from . import const
from .backends import BackendWatcher
from .coordinator import OwnershipCoordinator
from .in_flight import OrdersInFlight
from .keys import is_hot_slot, key_hash
from .load import LoadTracker
from .messages import MESSAGES, BackendDoubt, BackendStatus, LoadReport
from .models import (
    Churn,
    Explanation,
    MembershipView,
    OwnershipSettings,
    RouteRefusal,
    SlotRoute,
)
from .reports import MemberReport
from .view import TableView

REPORT_NAME = "ownership"


class Ownership:
    """Routes keys to the backend servers that own them."""

    def __init__(
        self, ctx: Context, membership: MembershipView, cfg: OwnershipSettings
    ) -> None:
        self._ctx = ctx
        self._membership = membership
        self._cfg = cfg
        self._view = TableView()
        self._configuration: Configuration | None = None
        self._withdrawn_s: dict[str, float] = {}
        self._load = LoadTracker()
        self._orders = OrdersInFlight()
        self.backends = BackendWatcher(ctx, membership)
        self.coordinator = OwnershipCoordinator(
            ctx, membership, cfg, self.backends, self._orders
        )
        self._handlers = {
            BackendDoubt: self._on_doubt,
            BackendStatus: self._on_status,
            LoadReport: self._on_load,
        }
        membership.add_table_listener(self._apply_table)
        membership.set_acknowledge_gate(self.may_acknowledge)
        membership.add_report(REPORT_NAME, lambda: self._report().to_bytes())
        membership.on_report(REPORT_NAME, self._on_report)

    def attach(self, host: ComponentHost) -> None:
        """Take part in the steps of an instance."""
        host.on_messages(MESSAGES.values(), self._on_message)
        timers = self._ctx.timers
        timers.subscribe(const.TICK_S, self._tick)
        interval_s = self._cfg.load_report_interval_s
        first_s = self._ctx.rng.uniform(0.0, interval_s)
        timers.subscribe(interval_s, self._send_loads, first_s)

    def configure(self, configuration: Configuration) -> None:
        """Take over an accepted configuration."""
        self._configuration = configuration
        self.backends.configure(configuration)
        self.coordinator.configure(configuration)
        self._withdrawn_s = {
            name: self._withdrawn_s.get(name, self._ctx.now_s)
            for name in configuration.backend_servers
            if not configuration.accepts_work(name)
        }
        if self._membership.table is not None:
            self._apply_table(self._membership.table, self._membership.table_version)

    @property
    def churn(self) -> Churn:
        """Return the moves that this member started as coordinator."""
        return self.coordinator.churn

    def route(self, service: str, key: bytes) -> SlotRoute | RouteRefusal:
        """Return where an order for a key goes, or why it goes nowhere now."""
        view = self._view.services.get(service)
        if not self._membership.has_lease():
            return RouteRefusal.CUT_OFF
        if view is None:
            return RouteRefusal.NO_OWNER
        hashed = key_hash(key)
        number, owner = view.owner_of(hashed)
        refusal = self._refusal(owner)
        if refusal is not None:
            return refusal
        remaining_s = self._membership.lease_remaining_s()
        if remaining_s < const.LEASE_MARGIN_S:
            return RouteRefusal.CUT_OFF
        validity_s = min(self._cfg.order_validity_s, remaining_s)
        return SlotRoute(
            service=service,
            backend_server=owner.backend_server,
            slot=number,
            epoch=owner.epoch,
            fence=view.fence,
            key_hash=hashed,
            expires_s=self._ctx.now_s + validity_s,
            expires_unix_s=self._ctx.wall_s + validity_s,
        )

    def order_started(self, order_id: int, route: SlotRoute) -> None:
        """Record that an order is sent now; its route must still be in force."""
        check = self._ctx.invariants.check
        lease = self._membership.has_lease() and self._ctx.now_s < route.expires_s
        check(lease, "no_order_under_lapsed_grant", f"{route}")
        view = self._view.services.get(route.service)
        current = view.owner_of(route.key_hash) if view else None
        same = current is not None and _is_current(current, route)
        check(same, "no_order_for_old_epoch", f"{route} {current}")
        self._orders.start(order_id, route)
        self._load.count(route.service, route.key_hash)

    def order_ended(self, order_id: int, may_run: bool = False) -> None:
        """Record that an attempt ended.

        An order that the backend server may still run, because the attempt was lost,
        cancelled or timed out, counts as in flight until its absolute expiry.
        """
        if not may_run:
            self._orders.end(order_id)

    def orders_in_flight(self) -> int:
        """Return how many orders may still run; a drain ends at 0, before the lease."""
        return len(self._orders)

    def report_unreachable(self, backend_server: str) -> None:
        """Have a backend server probed at once after a failed attempt."""
        self.backends.report_unreachable(backend_server)

    def may_acknowledge(self, version: int) -> bool:
        """Return whether no order runs at a server that lost its slot by a version."""
        if self._view.version < version:
            return False
        return not self._orders.block(self._view, self._ctx.now_s)

    def explain(self, service: str, key: bytes) -> Explanation | None:
        """Return why a key is routed as it is, or None for an unknown service."""
        view = self._view.services.get(service)
        if view is None:
            return None
        number, owner = view.owner_of(key_hash(key))
        outcome = self.route(service, key)
        reason = outcome.value if isinstance(outcome, RouteRefusal) else "routed"
        return Explanation(
            service=service,
            slot=number,
            hot=is_hot_slot(number),
            owner=owner.backend_server,
            epoch=owner.epoch,
            state=owner.state.value,
            previous=owner.previous,
            fence=view.fence,
            table_version=self._view.version,
            reason=reason,
        )

    def _refusal(self, owner: SlotOwner) -> RouteRefusal | None:
        name = owner.backend_server
        if owner.state is SlotState.MOVING:
            return RouteRefusal.MOVING
        if not name:
            return RouteRefusal.NO_OWNER
        if self.backends.is_lost(name):
            return RouteRefusal.OWNER_LOST
        withdrawn_s = self._withdrawn_s.get(name, self._ctx.now_s)
        if self._ctx.now_s - withdrawn_s > const.WITHDRAWN_GRACE_S:
            return RouteRefusal.OWNER_LEAVING
        return None

    def _apply_table(self, table: CellTable, version: int) -> None:
        self._view = TableView.of(table, version)
        for view in self._view.services.values():
            self._load.set_hot(view.service, view.hot)
        self.backends.apply(self._view)

    def _tick(self) -> None:
        self.backends.tick()
        self._orders.prune(self._ctx.now_s)
        self.coordinator.tick(self._view, self._report)

    def _report(self) -> MemberReport:
        return MemberReport(
            self._view.version,
            self.backends.grant_ages_s(),
            self._membership.has_lease(),
        )

    def _on_report(self, member: Member, payload: bytes) -> None:
        try:
            report = MemberReport.from_bytes(payload)
        except ValueError:
            return
        self.coordinator.moves.report(member, report, self._ctx.now_s)

    def _send_loads(self) -> None:
        self._load.decay(self._cfg.load_report_interval_s)
        table = self._membership.table
        if table is None or not self._membership.has_lease():
            return
        for report in self._load.reports():
            self._ctx.send(table.coordinator.instance, report)

    def _on_message(self, envelope: Envelope) -> None:
        if self._membership.is_member(envelope.sender, envelope.incarnation):
            self._handlers[type(envelope.message)](envelope)

    def _on_doubt(self, envelope: Envelope) -> None:
        name = envelope.message.backend_server
        if self.backends.has_duty(name):
            self.backends.report_unreachable(name)

    def _on_status(self, envelope: Envelope) -> None:
        self.backends.status_received(envelope.message)

    def _on_load(self, envelope: Envelope) -> None:
        message: LoadReport = envelope.message
        self.coordinator.loads.receive(envelope.sender, message, self._ctx.now_s)


def _is_current(current: tuple[int, SlotOwner], route: SlotRoute) -> bool:
    number, owner = current
    return (
        owner.state is SlotState.SERVING
        and (number, owner.epoch) == (route.slot, route.epoch)
        and owner.backend_server == route.backend_server
    )
