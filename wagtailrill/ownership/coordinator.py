"""Duties of the coordinator: assignments, moves, hot keys and balance."""

from collections.abc import Callable, Mapping

import attrs

from ..core.context import Context
from ..declaration.const import KEY_SLOT_COUNT
from ..declaration.models import Configuration, Service
from ..membership.table import CellTable
from ..partitions.directory import Member
from . import changes, const
from .backends import BackendWatcher
from .hot_keys import plan_hot_keys
from .in_flight import OrdersInFlight
from .keys import hash_of_hot_slot, hot_slot, is_hot_slot, slot_of
from .load import LoadBook, ServiceRates
from .models import Churn, MembershipView, OwnershipSettings, TableChange
from .moves import MoveTracker
from .placement import (
    Item,
    MoveReason,
    PlacementMode,
    PlannedMove,
    ServerCapacity,
    choose_mode,
    plan_balance,
    plan_orphans,
    planning_loads,
)
from .reports import MemberReport
from .view import ServiceView, TableView

Step = Callable[[CellTable], CellTable]


@attrs.frozen
class _Fleet:
    """Backend servers of a service by what they may do now."""

    receivers: tuple[ServerCapacity, ...]
    staying: frozenset[str]


class OwnershipCoordinator:
    """Plans and completes changes of owners while this member coordinates."""

    def __init__(
        self,
        ctx: Context,
        membership: MembershipView,
        cfg: OwnershipSettings,
        backends: BackendWatcher,
        orders: OrdersInFlight,
    ) -> None:
        self._ctx = ctx
        self._membership = membership
        self._cfg = cfg
        self._backends = backends
        self._orders = orders
        self._configuration: Configuration | None = None
        self._update = 0
        self._updating = False
        self._revoke_due_s = 0.0
        self._balance_due_s = ctx.now_s + cfg.rebalance_interval_s
        self._modes: dict[str, PlacementMode] = {}
        self.moves = MoveTracker(membership)
        self.loads = LoadBook()
        self.churn = Churn()

    def configure(self, configuration: Configuration) -> None:
        """Plan by a new configuration from now on."""
        self._configuration = configuration

    def tick(self, view: TableView, own_report: Callable[[], MemberReport]) -> None:
        """Start at most one change of the cell table."""
        if self._configuration is None or not self._in_charge():
            self._stand_down()
            return
        if self._membership.table_version != view.version:
            return
        self.moves.observe(view)
        # Before any revocation, which would count as this member's last grant.
        identity = self._ctx.identity
        own = Member(identity.instance, identity.incarnation)
        self.moves.report(own, own_report(), self._ctx.now_s)
        keyed = [s for s in self._configuration.services.values() if s.keyed]
        checking = {s.name for s in keyed if s.checks_grants}
        self._revoke(checking)
        if not self._updating:
            self._change(
                [*self._completions(view, checking), *self._plans(keyed, view)]
            )

    def _in_charge(self) -> bool:
        membership = self._membership
        return (
            membership.table is not None
            and membership.coordinates()
            and not membership.in_outage_mode()
        )

    def _stand_down(self) -> None:
        self._updating = False
        self._update += 1
        self.moves.reset()

    def _revoke(self, checking: set[str]) -> None:
        if self._ctx.now_s < self._revoke_due_s:
            return
        for _, name in sorted(self.moves.to_revoke(checking)):
            self._revoke_due_s = self._ctx.now_s + const.PROBE_TIMEOUT_S
            if not self._backends.is_lost(name):
                self._backends.revoke(name, self._on_fence(name))

    def _on_fence(self, name: str) -> Callable[[int], None]:
        return lambda fence: self.moves.revoked(name, fence)

    def _change(self, steps: list[Step]) -> None:
        if not steps:
            return

        def change(table: CellTable) -> CellTable | None:
            changed = table
            for step in steps:
                changed = step(changed)
            return None if changed == table else changed

        self._write(change)

    def _write(self, change: TableChange) -> None:
        self._updating = True
        self._update += 1
        update = self._update

        def done(written: bool) -> None:
            if self._update == update:
                self._updating = False

        self._membership.update_table(change, done)

    def _completions(self, view: TableView, checking: set[str]) -> list[Step]:
        blocked = self._orders.block(view, self._ctx.now_s)
        ready = self.moves.ready(checking, blocked, self._ctx.now_s)
        return [_complete_step(service, epochs) for service, epochs in ready.items()]

    def _plans(self, keyed: list[Service], view: TableView) -> list[Step]:
        balance = self._ctx.now_s >= self._balance_due_s
        if balance:
            self._balance_due_s = self._ctx.now_s + self._cfg.rebalance_interval_s
            self.churn.last_interval = 0
        steps: list[Step] = []
        for service in keyed:
            fleet = self._fleet(service)
            service_view = view.services.get(service.name)
            if service_view is None:
                steps += self._first(service, fleet)
                continue
            urgent = self._orphans(service_view, fleet)
            steps += urgent
            if balance and not urgent and not service_view.moving:
                steps += self._periodic(service_view, fleet)
        return steps

    def _fleet(self, service: Service) -> _Fleet:
        assert self._configuration is not None
        usable = [
            b
            for b in service.backend_servers
            if self._configuration.accepts_work(b.name)
            and not self._backends.is_lost(b.name)
        ]
        stable = [
            b
            for b in usable
            if self._backends.reachable_for_s(b.name) >= self._cfg.return_delay_s
        ]
        receivers = tuple(ServerCapacity(b.name, b.slots) for b in stable or usable)
        return _Fleet(receivers, frozenset(b.name for b in usable))

    def _first(self, service: Service, fleet: _Fleet) -> list[Step]:
        items = [Item(n, "", 1.0) for n in range(KEY_SLOT_COUNT)]
        moves = plan_orphans(items, fleet.receivers)
        if not moves:
            return []
        targets = {m.number: m.target for m in moves}
        owners = [targets[n] for n in range(KEY_SLOT_COUNT)]
        return [lambda table: changes.assign_first(table, service.name, owners)]

    def _orphans(self, view: ServiceView, fleet: _Fleet) -> list[Step]:
        names = {s.name for s in fleet.receivers} | fleet.staying
        if not fleet.receivers or view.owner_names() <= names:
            return []
        items = self._items(view, self._rates(view), fleet)
        moves = plan_orphans(items, fleet.receivers, fleet.staying)
        return self._move_steps(view, moves, MoveReason.LOSS)

    def _rates(self, view: ServiceView) -> ServiceRates:
        return self.loads.rates(view.service, self._ctx.now_s)

    def _items(
        self, view: ServiceView, rates: ServiceRates, fleet: _Fleet
    ) -> list[Item]:
        items = [
            Item(n, owner.backend_server, _rate_of(n, rates))
            for n, owner in view.numbered()
        ]
        total = sum(item.load for item in items)
        mode = choose_mode(
            self._modes.get(view.service, PlacementMode.CAPACITY),
            total,
            len(fleet.receivers),
        )
        self._modes[view.service] = mode
        return planning_loads(mode, items)

    def _move_steps(
        self, view: ServiceView, moves: list[PlannedMove], reason: MoveReason
    ) -> list[Step]:
        if not moves:
            return []
        self.churn.count(reason.value, len(moves))
        self.churn.last_interval += len(moves)
        self._ctx.log(
            "key_slots_move",
            service=view.service,
            count=len(moves),
            reason=reason.value,
        )
        return [_begin_step(view.service, {m.number: m.target for m in moves})]

    def _periodic(self, view: ServiceView, fleet: _Fleet) -> list[Step]:
        rates = self._rates(view)
        items = self._items(view, rates, fleet)
        if self._modes[view.service] is PlacementMode.LOAD:
            steps = self._hot_steps(view, rates, items, fleet)
            if steps:
                return steps
        budget = self._cfg.rebalance_moves_max
        moves = plan_balance(items, fleet.receivers, budget)
        return self._move_steps(view, moves, MoveReason.BALANCE)

    def _hot_steps(
        self,
        view: ServiceView,
        rates: ServiceRates,
        items: list[Item],
        fleet: _Fleet,
    ) -> list[Step]:
        mean = sum(i.load for i in items) / max(len(fleet.receivers), 1)
        maximum = self._cfg.hot_keys_max
        table = self._membership.table
        others = len(table.hot_keys) - len(view.hot) if table else 0
        plan = plan_hot_keys(view.hot.keys(), rates.keys, mean, maximum - others)
        steps: list[Step] = []
        if plan.demote:
            steps += self._demote(view, plan.demote)
        if plan.promote:
            steps += self._promote(view, rates, items, plan.promote, fleet)
        return steps

    def _promote(
        self,
        view: ServiceView,
        rates: ServiceRates,
        items: list[Item],
        hashes: tuple[int, ...],
        fleet: _Fleet,
    ) -> list[Step]:
        lighter: dict[int, float] = {}
        for hashed in hashes:
            slot = slot_of(hashed)
            lighter[slot] = lighter.get(slot, 0.0) + rates.keys[hashed]
        left = [
            attrs.evolve(i, load=max(i.load - lighter.get(i.number, 0.0), 0.0))
            for i in items
        ]
        hot = [Item(hot_slot(h), "", rates.keys[h]) for h in hashes]
        moves = plan_orphans([*left, *hot], fleet.receivers, fleet.staying)
        targets = {hash_of_hot_slot(m.number): m.target for m in moves}
        self.churn.promoted += len(targets)
        return [_promote_step(view.service, targets, self._cfg.hot_keys_max)]

    def _demote(self, view: ServiceView, hashes: tuple[int, ...]) -> list[Step]:
        home = {h: view.owners[slot_of(h)].backend_server for h in hashes}
        back = [h for h in hashes if view.hot[h].backend_server == home[h]]
        away = [
            PlannedMove(hot_slot(h), home[h])
            for h in hashes
            if view.hot[h].backend_server != home[h]
        ]
        self.churn.demoted += len(back)
        steps = self._move_steps(view, away, MoveReason.DEMOTION)
        if back:
            steps.append(lambda table: changes.demote(table, view.service, back))
        return steps


def _rate_of(number: int, rates: ServiceRates) -> float:
    if is_hot_slot(number):
        return rates.keys.get(hash_of_hot_slot(number), 0.0)
    return rates.slots[number]


def _complete_step(service: str, epochs: Mapping[int, int]) -> Step:
    return lambda table: changes.complete_moves(table, service, epochs)


def _begin_step(service: str, targets: Mapping[int, str]) -> Step:
    return lambda table: changes.begin_moves(table, service, targets)


def _promote_step(service: str, targets: Mapping[int, str], maximum: int) -> Step:
    return lambda table: changes.promote(table, service, targets, maximum)
