"""Guards routing, grants and loss detection of one instance."""

import pytest
from expression import Error, Ok

from tests.ownership.fakes import Single, configuration
from wagtailrill.core.backend import (
    BackendError,
    BackendErrorKind,
    Grant,
    Granted,
    Health,
)
from wagtailrill.core.commands import CallBackend
from wagtailrill.core.events import BackendReplied
from wagtailrill.core.invariants import InvariantError
from wagtailrill.ownership import changes
from wagtailrill.ownership.keys import key_hash, slot_of
from wagtailrill.ownership.models import RouteRefusal, SlotRoute

KEY = b"box-17"
SLOT = slot_of(key_hash(KEY))


def reply_to(command, failing=(), error=None):
    """Answer as a server that accepts everything, or fails where asked."""
    if not isinstance(command, CallBackend):
        return None
    operation = command.operation
    result = Ok(Health(True, "s", 1.0, 0.0))
    if isinstance(operation, Grant):
        result = Ok(Granted(operation.fence))
    if command.backend_server in failing:
        if error is None:
            return None
        result = Error(BackendError(error))
    return BackendReplied(command.call_id, result)


def assigned(**fleet):
    single = Single(configuration(**fleet))
    single.run(0.3, reply_to)
    return single, single.ownership.route("roll", KEY)


def move_away(single):
    single.membership.acknowledges = False
    single.membership.update_table(
        lambda t: changes.begin_moves(t, "roll", {SLOT: "roll-9"}), lambda done: None
    )


FAULTS = {
    RouteRefusal.CUT_OFF: lambda s: setattr(s.membership, "lease_end_s", 0.0),
    RouteRefusal.MOVING: move_away,
    RouteRefusal.NO_OWNER: lambda s: s.membership.update_table(
        lambda t: changes.attrs.evolve(t, key_slots=()), lambda done: None
    ),
}


@pytest.mark.parametrize("reason", list(FAULTS))
def test_refuses_to_route_without_lease_or_owner(reason):
    """Guards against routing by a table or lease that does not hold."""
    single, route = assigned()
    assert isinstance(route, SlotRoute)
    FAULTS[reason](single)
    assert single.ownership.route("roll", KEY) is reason
    assert reason is RouteRefusal.NO_OWNER or (
        single.ownership.explain("roll", KEY).reason == reason.value
    )


@pytest.mark.parametrize("fault", [RouteRefusal.CUT_OFF, RouteRefusal.MOVING])
def test_stale_route_trips_the_invariant(fault):
    """Guards against an engine that sends by a route that is no longer in force."""
    single, route = assigned()
    FAULTS[fault](single)
    with pytest.raises(InvariantError):
        single.ownership.order_started(1, route)


@pytest.mark.parametrize(("may_run", "held_s"), [(False, 0.0), (True, 1.5)])
def test_acknowledgement_waits_for_orders_that_may_run(may_run, held_s):
    """Guards against a move that ends while the previous owner runs an order."""
    single, route = assigned()
    single.ownership.order_started(1, route)
    version = single.membership.table_version
    assert single.ownership.may_acknowledge(version)
    move_away(single)
    assert not single.ownership.may_acknowledge(version + 1)
    single.ownership.order_ended(1, may_run=may_run)
    single.step(delay_s=max(held_s - 0.01, 0.0))
    assert single.ownership.may_acknowledge(version + 1) is not may_run
    single.step(delay_s=0.1)
    assert single.ownership.may_acknowledge(version + 1)


def test_order_expires_with_the_member_lease():
    """Guards against an order that outlives the lease of a dropped member."""
    single, _ = assigned()
    single.membership.lease_end_s = single.ctx.now_s + 0.7
    assert single.ownership.route("roll", KEY).expires_s == pytest.approx(
        single.membership.lease_end_s
    )


def test_outage_mode_reassigns_nothing():
    """Guards against moves that no store write records."""
    single, route = assigned()
    single.membership.outage = True
    version = single.membership.table_version
    lost = {route.backend_server}
    single.run(4.0, lambda c: reply_to(c, lost))
    assert single.membership.table_version == version
    assert single.ownership.route("roll", KEY) is RouteRefusal.OWNER_LOST


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize(
    "error", [None, BackendErrorKind.UNREACHABLE, BackendErrorKind.TIMEOUT]
)
def test_keys_of_a_lost_server_move(checks, error):
    """Guards against a loss that stays unnoticed for one kind of failure."""
    fleet = {"checking": 4} if checks else {"checking": 0, "other": 4}
    service = "roll" if checks else "desk"
    single, _ = assigned(**fleet)
    lost = single.ownership.route(service, KEY).backend_server
    single.run(4.0, lambda c: reply_to(c, {lost}, error))
    route = single.ownership.route(service, KEY)
    assert isinstance(route, SlotRoute)
    assert route.backend_server != lost


@pytest.mark.parametrize(
    ("error", "full_again"),
    [(BackendErrorKind.FENCED, True), (BackendErrorKind.UNKNOWN_GRANT, True)],
)
def test_server_that_knows_no_grant_gets_the_full_one(error, full_again):
    """Guards against a restarted server that refuses orders until the next move."""
    single, route = assigned()
    name = route.backend_server
    single.run(1.0, reply_to)
    sent = [c.operation for c in single.commands if isinstance(c, CallBackend)]
    assert any(isinstance(o, Grant) and o.renew_only for o in sent)
    single.commands.clear()
    single.run(0.5, lambda c: reply_to(c, {name}, error))
    calls = [c for c in single.commands if isinstance(c, CallBackend)]
    own = [c.operation for c in calls if c.backend_server == name]
    assert own[0].renew_only
    assert (not own[1].renew_only and SLOT in [s.slot for s in own[1].slots]) == (
        full_again
    )
    assert not single.ownership.backends.is_lost(name)


def test_leaving_server_gives_up_its_slots_within_the_grace():
    """Guards against new work for a server that was marked leaving."""
    single, route = assigned()
    conf = configuration(leaving={route.backend_server}, version=2)
    single.ownership.configure(conf)
    single.run(1.0, reply_to)
    moved = single.ownership.route("roll", KEY)
    assert moved.backend_server != route.backend_server
    assert moved.epoch > route.epoch
    single.membership.outage = True
    conf = configuration(leaving={moved.backend_server}, version=3)
    single.ownership.configure(conf)
    single.run(2.5, reply_to)
    assert single.ownership.route("roll", KEY) is RouteRefusal.OWNER_LEAVING


def test_duty_passes_on_at_once_when_a_member_is_suspected():
    """Guards against grants that lapse because their renewer was lost."""
    single = Single(configuration(checking=13), names=("a", "b", "c"))
    backends = single.ownership.backends
    names = [f"roll-{n}" for n in range(13)]
    before = {n for n in names if backends.has_duty(n)}
    assert 0 < len(before) < 13
    single.membership.suspects = {"b", "c"}
    assert {n for n in names if backends.has_duty(n)} == set(names)


def test_hot_keys_follow_the_load_within_minutes():
    """Guards against hot keys that are not promoted, or stay when they are cold."""
    single, _ = assigned()
    ownership = single.ownership
    others = [b"cold-%d" % n for n in range(400)]

    def serve(hot, duration_s):
        end_s = single.ctx.now_s + duration_s
        while single.ctx.now_s < end_s:
            single.run(0.05, reply_to)
            for key in [*hot, *single.ctx.rng.sample(others, 10)]:
                route = ownership.route("roll", key)
                if isinstance(route, SlotRoute):
                    ownership.order_started(1, route)
                    ownership.order_ended(1)

    def hot_keys():
        return {k.key_hash for k in single.membership.table.hot_keys}

    first = [b"hot-%d" % n for n in range(3)]
    serve(first, 60.0)
    assert {key_hash(k) for k in first} <= hot_keys()
    assert all(isinstance(ownership.route("roll", k), SlotRoute) for k in first)
    second = [b"new-%d" % n for n in range(3)]
    serve(second, 180.0)
    assert {key_hash(k) for k in second} <= hot_keys()
    assert not {key_hash(k) for k in first} & hot_keys()
    assert ownership.churn.demoted >= 3
