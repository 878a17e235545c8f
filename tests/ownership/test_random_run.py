"""Guards the global invariants under faults, and proves that each guard is needed."""

import math

import pytest

from tests.ownership.backend_model import BackendModel
from tests.ownership.fakes import configuration
from tests.ownership.fleet import OwnershipFleet
from tests.ownership.random_run import ALSO, KINDS, measure_loss, run_schedules
from wagtailrill.core.invariants import InvariantError
from wagtailrill.membership.writer import TableWriter
from wagtailrill.ownership import changes, moves
from wagtailrill.ownership.component import Ownership
from wagtailrill.ownership.in_flight import OrdersInFlight
from wagtailrill.ownership.keys import key_hash, slot_of
from wagtailrill.ownership.models import RouteRefusal, SlotRoute
from wagtailrill.platform.models import StoreErrorKind


def test_random_schedules_keep_one_owner_per_key():
    """Guards against two owners, lost assignments and keys that stay unserved."""
    counts = run_schedules(1, 250)
    assert counts["effects"] > 25_000


def test_random_schedules_of_a_full_cell():
    """Guards against faults that only show with 12 instances and 13 servers."""
    run_schedules(1, 2, large=True)


@pytest.mark.parametrize("also", ALSO)
@pytest.mark.parametrize("kind", KINDS)
def test_served_again_within_four_seconds(kind, also):
    """Guards against a wait that does not fit the budget of 4 s."""
    for seed in range(3):
        assert max(measure_loss(seed, kind, also, 4, 5)) <= 4.0


def move_with_late_order(checking, coordinator_reaches_server, seed=3):
    """Move a key while an order for it is late and a member learns of it late.

    The member that grants to the previous owner hears of the move 0.9 s late. Then
    the previous owner is cut off from all; the late order reaches it right after the
    new owner has served the key.
    """
    conf = configuration(3, 0) if checking else configuration(0, 3)
    fleet = OwnershipFleet(3, conf, seed, callers_per_s=0.001)
    fleet.delayed_share = 0.0
    fleet.run(3.0)
    (leader,) = fleet.coordinators()
    service, key, granter = next(
        (service, key, name)
        for service, key in fleet.keys
        for name in fleet.names
        if name != leader
        and fleet.ownerships[name].backends.has_duty(
            fleet.awake(name).route(service, key).backend_server
        )
    )
    (sender,) = set(fleet.names) - {leader, granter}
    late = fleet.order(sender, service, key, held=True)
    old = late.route
    fleet.fleet.cut(leader, granter)
    if not coordinator_reaches_server:
        fleet.cut_backends.add((leader, old.backend_server))
    target = next(n for n in fleet.backends if n != old.backend_server)
    fleet.awake(leader)
    fleet.memberships[leader].update_table(
        lambda t: changes.begin_moves(t, service, {slot_of(key_hash(key)): target}),
        lambda done: None,
    )
    fleet.run(0.89)
    fleet.cut_backends |= {(name, old.backend_server) for name in fleet.names}
    fleet.fleet.heal()
    for _ in range(200):
        if fleet.ledger.effects:
            break
        fleet.order(leader, service, key)
        fleet.run(0.02)
    assert fleet.ledger.effects
    late.begin()
    fleet.run(0.1)


LATE_ORDERS = [(True, True), (True, False), (False, True)]


@pytest.mark.parametrize(("checking", "reaches"), LATE_ORDERS)
def test_late_order_does_not_run_after_the_move(checking, reaches):
    """Guards against an old order that runs beside the new owner's."""
    move_with_late_order(checking, reaches)


def without_fence(patch):
    patch.setattr(BackendModel, "fenced", lambda self, fence: False)


def without_grace_wait(patch):
    patch.setattr(moves, "GRANT_WAIT_S", -math.inf)


def without_gate(patch):
    patch.setattr(Ownership, "may_acknowledge", lambda self, version: True)
    patch.setattr(OrdersInFlight, "block", lambda self, view, now_s: False)


@pytest.mark.parametrize(
    ("mutate", "checking", "reaches"),
    [
        (without_fence, True, True),
        (without_grace_wait, True, False),
        (without_gate, False, True),
    ],
)
def test_run_fails_without_a_guard(monkeypatch, mutate, checking, reaches):
    """Guards against a harness that cannot see the fault a guard prevents."""
    mutate(monkeypatch)
    with pytest.raises(InvariantError):
        move_with_late_order(checking, reaches)


def test_runs_fail_without_the_read_back(monkeypatch):
    """Guards against a harness that cannot see an assignment that is not stored."""

    def written(self, result):
        lost = result.is_error() and result.error.kind is StoreErrorKind.UNAVAILABLE
        if result.is_ok() or lost:
            revision = result.ok.revision if result.is_ok() else self._version + 1
            self._finish(self.proposed, revision)
        else:
            self._read()

    monkeypatch.setattr(TableWriter, "_written", written)
    with pytest.raises(AssertionError, match=r"repeat with: .* --seed \d+"):
        run_schedules(1, 20)


def test_member_without_lease_refuses():
    """Guards against a cut-off member that goes on sending orders."""
    fleet = OwnershipFleet(3, configuration(3, 2), 5)
    fleet.run(3.0)
    cut = next(n for n in fleet.names if n not in fleet.coordinators())
    fleet.fleet.partition({cut})
    fleet.run(2.9)
    routes = {fleet.awake(cut).route(*key) for key in fleet.keys}
    assert routes == {RouteRefusal.CUT_OFF}
    fleet.fleet.heal()
    fleet.run(3.0)
    assert all(isinstance(fleet.awake(cut).route(*k), SlotRoute) for k in fleet.keys)
