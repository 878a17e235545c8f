"""Guards the permit protocol against single faults, one per case."""

import attrs
import pytest

from wagtailrill.declaration.models import BackendServerState
from wagtailrill.partitions.directory import partition_of
from wagtailrill.peer.registry import Envelope, MessageRegistry
from wagtailrill.permits.const import RESOURCE_KIND
from wagtailrill.permits.messages import (
    HoldingsReport,
    PartitionEpoch,
    PermitGrant,
    PermitReport,
    WaitingRequest,
    register_messages,
)
from wagtailrill.permits.models import DeniedReason, Permit

from .fleet import CONNECTIONS, SLOTS, TIMEOUT_S, PermitFleet, configuration

SERVER = "s-1"


def settled_fleet(instances=3, seed=5):
    """Return a fleet whose server has run for long and is known to have."""
    fleet = PermitFleet(seed, instances, (SERVER,), rates=False)
    fleet.servers[SERVER].started_s = -100.0
    fleet.run_until(2.0)
    fleet.probe("i-0", SERVER)
    fleet.run_until(2.5)
    return fleet


def home_node(fleet):
    home = fleet.coordinator.table.homes[partition_of(RESOURCE_KIND, SERVER)]
    return fleet.nodes[home.instance].node


def home_row(fleet):
    partition = partition_of(RESOURCE_KIND, SERVER)
    return home_node(fleet).permits.home.partitions[partition].rows[SERVER]


def other_than_home(fleet):
    return next(n for n, row in fleet.nodes.items() if row.node != home_node(fleet))


def warm_fleet(name=None):
    """Return a fleet in which an instance has open connections and no permit."""
    fleet = settled_fleet()
    load(fleet, 40, 0.02, [name or other_than_home(fleet)])
    fleet.run_until(4.0)
    assert home_row(fleet).outstanding == 0
    fleet.served = 0
    return fleet


def load(fleet, count, service_s, names=None, deadline_s=2.0):
    names = names or list(fleet.nodes)
    for n in range(count):
        fleet.request(names[n % len(names)], SERVER, "mid", service_s, deadline_s)


def test_messages_survive_the_wire():
    """Guards against totals that change by being sent."""
    registry = MessageRegistry()
    register_messages(registry)
    waiting = (WaitingRequest(7, "mid", 0.5),)
    totals = (2**40, 5, 4, 3, 2, 1, 6, 9)
    report = PermitReport(
        SERVER, 3, 1, 2, *totals, waiting, "s/1", 1.5, 1e9, 0, wants_reply=True
    )
    message = HoldingsReport((PartitionEpoch(9, 3),), (report,))
    assert registry.decode(*registry.encode(message)) == message


def test_full_capacity_is_used_and_no_more():
    """Guards against slots that lie idle while requests wait."""
    fleet = settled_fleet()
    load(fleet, 60, 0.05)
    fleet.run_until(3.5)
    assert fleet.servers[SERVER].peak == SLOTS
    assert (fleet.served, fleet.overload) == (60, 0)


def test_idle_permits_are_recalled_for_another_instance():
    """Guards against capacity that stays with an instance that has no use for it."""
    fleet = settled_fleet()
    one, other = list(fleet.nodes)[:2]
    load(fleet, SLOTS, 0.1, [one])
    fleet.run_until(3.2)
    load(fleet, SLOTS, 0.02, [other], deadline_s=0.2)
    fleet.run_until(3.45)
    assert fleet.served == 2 * SLOTS


@pytest.mark.parametrize("lost", [0.0, 0.3, 0.6])
def test_lost_messages_leak_nothing(lost):
    """Guards against permits that vanish with a lost grant or return."""
    fleet = settled_fleet()
    fleet.lost_message_probability = lost
    load(fleet, 30, 0.02)
    fleet.run_until(4.0)
    fleet.lost_message_probability = 0.0
    fleet.run_until(10.0)
    load(fleet, 30, 0.05)
    fleet.run_until(11.0)
    assert fleet.servers[SERVER].peak == SLOTS
    fleet.run_until(14.0)
    assert home_row(fleet).outstanding == 0


def test_return_of_a_vanished_report_is_repeated():
    """Guards against a permit that is lost with the only message that returns it."""
    fleet = settled_fleet()
    name = other_than_home(fleet)
    load(fleet, 1, 0.05, [name])
    fleet.run_until(2.7)
    for other in list(fleet.nodes):
        fleet.cut(name, other)
    fleet.run_until(3.5)
    assert home_row(fleet).outstanding == 1
    fleet.heal()
    fleet.run_until(5.5)
    assert home_row(fleet).outstanding == 0


def test_lost_member_keeps_its_permits_until_its_orders_have_ended():
    """Guards against overload by orders that a lost instance left running."""
    fleet = warm_fleet()
    name = other_than_home(fleet)
    load(fleet, 4, 30.0, [name])
    fleet.run_until(4.2)
    fleet.kill(name)
    outstanding, dropped_s = [], None
    while fleet.now_s < 10.0:
        fleet.run_until(fleet.now_s + 0.05)
        table = fleet.coordinator.table
        if dropped_s is None and all(m.instance != name for m in table.members):
            dropped_s = fleet.now_s
        outstanding.append((fleet.now_s, home_row(fleet).outstanding))
    assert dropped_s is not None
    kept = [n for at_s, n in outstanding if at_s < dropped_s + TIMEOUT_S]
    assert set(kept) == {4}
    assert outstanding[-1][1] == 0


@pytest.mark.parametrize("silent", [0.0, 1.0])
def test_unannounced_restart_meets_one_request_at_a_time(silent):
    """Guards against a restarted server that gets its former load at once."""
    fleet = settled_fleet()
    fleet.silent_closes = silent
    load(fleet, 24, 0.2)
    fleet.run_until(2.7)
    fleet.restart(SERVER)
    load(fleet, 24, 0.2, deadline_s=0.3)
    fleet.run_until(2.95)
    assert fleet.overload == 0
    assert len(fleet.servers[SERVER].running) == 1
    fleet.run_until(5.7)
    load(fleet, 24, 0.1)
    fleet.run_until(7.0)
    assert fleet.servers[SERVER].peak == SLOTS
    assert fleet.overload == 0


def test_uptime_that_went_back_restarts_the_ramp():
    """Guards against a restart hidden by a start id that is used again."""
    fleet = settled_fleet()
    server, start_id = fleet.servers[SERVER], fleet.servers[SERVER].start_id
    fleet.restart(SERVER)
    server.start_id = start_id
    fleet.probe("i-0", SERVER)
    fleet.run_until(2.6)
    ramp, now_s = home_row(fleet).ramp, home_node(fleet).ctx.now_s
    assert now_s - ramp.started_s < 0.2


def test_leaving_server_gets_no_new_order():
    """Guards against work for a server that operators take out."""
    fleet = warm_fleet()
    load(fleet, 6, 0.5, [other_than_home(fleet)])
    fleet.run_until(4.1)
    fleet.configure(leaving())
    load(fleet, 6, 0.1)
    fleet.run_until(5.0)
    assert fleet.served == SLOTS
    reasons = {reason for _, _, reason in fleet.denied}
    assert reasons == {DeniedReason.NOT_ACCEPTING}
    assert home_row(fleet).outstanding == 0


def leaving():
    return configuration((SERVER,), **{SERVER: BackendServerState.LEAVING})


def test_connections_move_to_the_instance_that_needs_them():
    """Guards against connections that stay with instances that have no use for them."""
    fleet = settled_fleet(instances=8)
    names = list(fleet.nodes)
    for name in names:
        load(fleet, 4, 0.02, [name])
        fleet.run_until(fleet.now_s + 1.5)
    assert fleet.served == 4 * len(names) > CONNECTIONS
    assert home_row(fleet).connections <= CONNECTIONS
    assert fleet.overconnected == 0


@pytest.mark.parametrize(("epochs", "sessions"), [(1, 0), (-1, 0), (0, -1)])
def test_grant_of_another_home_or_lease_is_void(epochs, sessions):
    """Guards against permits of a replaced home or from before a lapsed lease."""
    fleet = warm_fleet()
    name = other_than_home(fleet)
    holder = fleet.nodes[name].node.permits.holder
    row = holder.rows[SERVER]
    home = fleet.coordinator.table.homes[row.partition]
    grant = PermitGrant(
        backend_server=SERVER,
        epoch=home.epoch + epochs,
        session=holder.session + sessions,
        report_number=0,
        granted=row.granted + 1,
        connects=row.connects,
        request_id=0,
        recall=0,
        close=0,
        queue_length=0,
        start_id=row.sighting.start_id,
        shrinks=False,
    )
    holder.granted(Envelope(home.instance, 1, name, 0, 1, grant))
    assert holder.idle(SERVER) == 0
    current = attrs.evolve(grant, epoch=home.epoch, session=holder.session)
    holder.granted(Envelope(home.instance, 1, name, 0, 2, current))
    assert holder.idle(SERVER) == 1


def test_flood_of_one_organisation_does_not_starve_another():
    """Guards against a holder that keeps recalled permits for its own queue."""
    fleet = warm_fleet()
    flooding = other_than_home(fleet)
    name = next(n for n in fleet.nodes if n != flooding)
    for n in range(400):
        fleet.request(flooding, SERVER, "large", 0.02, 5.0)
        if n % 40 == 0:
            fleet.request(name, SERVER, "small", 0.02, 0.2)
            fleet.run_until(fleet.now_s + 0.1)
    fleet.run_until(8.0)
    assert fleet.served_to[name, "small"] == 10
    assert fleet.overload == 0


def test_cancelled_request_gets_no_permit():
    """Guards against a permit for a caller that has left."""
    fleet = settled_fleet()
    node, results = fleet.nodes["i-0"].node, []
    permits = node.permits
    permits.acquire(SERVER, 10**6, "mid", node.ctx.now_s + 1.0, results.append)
    permits.cancel(10**6)
    fleet.run_until(5.0)
    assert results == []
    assert home_row(fleet).outstanding == 0


def test_abandoned_order_keeps_its_permit_while_it_may_run():
    """Guards against overload by orders that were cancelled but still run."""
    fleet = settled_fleet()
    node, results = fleet.nodes["i-0"].node, []
    permits = node.permits
    permits.acquire(SERVER, 10**6, "mid", node.ctx.now_s + 1.0, results.append)
    fleet.run_until(2.6)
    assert isinstance(results[0], Permit)
    permits.release(results[0], connection_open=False, still_runs_s=1.0)
    fleet.run_until(3.4)
    assert home_row(fleet).outstanding == 1
    fleet.run_until(5.5)
    assert home_row(fleet).outstanding == 0


def test_permits_are_void_after_the_lease():
    """Guards against orders of an instance that lost its lease."""
    fleet = warm_fleet()
    name = other_than_home(fleet)
    load(fleet, 3, 0.05, [name])
    fleet.run_until(4.2)
    permits = fleet.nodes[name].node.permits
    assert permits.idle(SERVER) == 3
    fleet.coordinator.unreachable.add(name)
    fleet.run_until(7.1)
    assert permits.idle(SERVER) == 0
    load(fleet, 1, 0.05, [name])
    fleet.run_until(7.2)
    assert fleet.denied[-1][2] is DeniedReason.NO_LEASE
