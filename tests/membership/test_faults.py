"""Rows of the design's failure table that concern membership."""

import attrs
import pytest

from tests.membership.fleet import MemberFleet
from wagtailrill.membership.table import HotKey, SlotOwner

TAKEOVER_S = 2.0 + 0.3
RECOVERY_S = 4.0


class Recorder:
    """Records what a partition listener is told."""

    def __init__(self):
        self.calls = []

    def home_gained(self, partition, epoch):
        self.calls.append(("home_gained", partition))

    def home_lost(self, partition):
        self.calls.append(("home_lost", partition))

    def member_dropped(self, member):
        self.calls.append(("member_dropped", member.instance))

    def lease_lost(self):
        self.calls.append(("lease_lost",))


@pytest.fixture
def cell():
    cell = MemberFleet()
    cell.run_until(cell.settled, 10.0)
    cell.run(3.0)
    cell.recorders = {name: Recorder() for name in cell.names}
    for name, member in cell.members.items():
        member.add_listener(cell.recorders[name])
    return cell


def lead_of(cell):
    (lead,) = cell.coordinators()
    return lead


def lapsed(cell):
    return [n for n, r in cell.recorders.items() if ("lease_lost",) in r.calls]


def add_hot_key(table):
    key = HotKey("s", len(table.hot_keys), SlotOwner("b", 1))
    return attrs.evolve(table, hot_keys=(*table.hot_keys, key))


def test_store_outage_changes_nothing_and_nobody_joins(cell):
    """Guards against an outage that stops serving or reassigns anything."""
    lead, table = lead_of(cell), cell.members["i-00"].table
    cell.store.down = True
    cell.run(2.0)
    cell.names.append("i-12")
    cell.start("i-12")
    cell.run(60.0, 0.5)
    assert cell.homed()
    assert cell.members[lead].in_outage_mode()
    assert not cell.members["i-12"].has_lease()
    assert {m.table for n, m in cell.members.items() if n != "i-12"} == {table}
    cell.store.down = False
    cell.run_until(cell.settled, 3.0)
    cell.run(5.0)
    assert lapsed(cell) == []
    assert cell.members["i-12"].has_lease()


def test_outage_does_not_continue_without_a_majority(cell):
    """Guards against two sides that both keep serving through an outage."""
    lead = lead_of(cell)
    side = {lead, *[n for n in cell.names if n != lead][:4]}
    cell.store.down = True
    cell.run(3.0)
    cell.fleet.partition(side)
    cell.run(1.0 + 2.8 + 0.1)
    assert not any(m.has_lease() for m in cell.members.values())


def test_coordinator_cut_off_from_the_store_is_replaced(cell):
    """Guards against members that lose their leases while the coordinator changes."""
    old = lead_of(cell)
    cell.store.unreachable.add(old)
    cell.run_until(lambda: cell.coordinators() not in ([], [old]), TAKEOVER_S)
    cell.run(3.0)
    assert set(lapsed(cell)) <= {old}


@pytest.mark.parametrize("with_coordinator", [False, True])
def test_partitioned_data_centre_loses_its_homes_in_time(cell, with_coordinator):
    """Guards against keys that stay unserved after a partition."""
    lead = lead_of(cell)
    others = [n for n in cell.names if n != lead]
    side = {lead, *others[:3]} if with_coordinator else set(others[:4])
    cell.fleet.partition(side)
    cell.run_until(lambda: cell.homed(set(cell.names) - side), RECOVERY_S)
    assert not any(cell.members[n].has_lease() for n in side)
    cell.fleet.heal()
    cell.run_until(cell.settled, 10.0)


def test_coordinator_paused_in_a_write_steps_down(cell):
    """Guards against a write of an old term after the takeover."""
    old, results = lead_of(cell), []
    cell.store.unreachable.add(old)
    cell.members[old].update_table(add_hot_key, results.append)
    cell.fleet.deliver(old, None, 0.0)
    cell.run(0.01)
    cell.fleet.pause(old)
    cell.store.unreachable.clear()
    cell.run_until(cell.homed, RECOVERY_S)
    cell.run(1.0)
    cell.fleet.resume(old)
    assert not cell.members[old].has_lease()
    cell.run(2.0)
    assert cell.settled()
    assert lead_of(cell) != old
    assert results == [False]
    assert cell.members[old].table.hot_keys == ()


def test_write_with_a_lost_answer_happens_once(cell):
    """Guards against a change that is lost or applied twice."""
    lead, results = cell.members[lead_of(cell)], []
    before = dict(cell.store.calls)
    cell.store.lost_answer_probability = 1.0
    lead.update_table(add_hot_key, results.append)
    cell.fleet.deliver(lead_of(cell), None, 0.0)
    cell.run(0.1)
    cell.store.lost_answer_probability = 0.0
    cell.run(1.0)
    assert results == [True]
    assert len(lead.table.hot_keys) == 1
    assert cell.store.calls["Read"] == before["Read"] + 1
    assert cell.store.calls["Write"] == before["Write"] + 1


def test_paused_member_learns_that_it_was_away_before_it_acts(cell):
    """Guards against a home that grants from state of before its pause."""
    name = next(n for n in cell.names if n != lead_of(cell))
    join = cell.members[name].table.join_of(cell.members[name]._view.me)
    cell.fleet.pause(name)
    cell.run(1.0)
    seen = []
    cell.members[name].add_table_listener(lambda table, version: seen.append(version))
    cell.run(3.0)
    cell.recorders[name].calls.clear()
    cell.fleet.resume(name)
    assert cell.recorders[name].calls[0] == ("lease_lost",)
    cell.run(2.0)
    assert cell.settled()
    assert seen
    assert cell.members[name].table.join_of(cell.members[name]._view.me) > join


@pytest.mark.parametrize("lost", ["member", "coordinator", "both"])
def test_lost_homes_are_served_again_in_time(cell, lost):
    """Guards against partitions that stay without a home after a loss."""
    lead = lead_of(cell)
    other = next(n for n in cell.names if n != lead)
    names = {"member": [other], "coordinator": [lead], "both": [lead, other]}[lost]
    for name in names:
        cell.kill(name)
    cell.run_until(cell.homed, RECOVERY_S)


def test_survivor_of_two_members_takes_all_homes():
    """Guards against a small cell that waits for a majority for ever."""
    cell = MemberFleet(2)
    cell.run_until(cell.settled, 10.0)
    cell.run(1.0)
    cell.kill(next(n for n in cell.names if n != lead_of(cell)))
    cell.run_until(cell.homed, 8.0)


def test_restarted_process_takes_over_nothing_of_its_predecessor(cell):
    """Guards against a new process that acts as home before it is assigned."""
    name = next(n for n in cell.names if n != lead_of(cell))
    remaining_s = cell.awake()[name].lease_remaining_s()
    cell.kill(name)
    cell.start(name)
    cell.run(remaining_s)
    assert not cell.members[name].has_lease()
    cell.run(3.0)
    assert cell.settled()


def test_cell_recovers_after_the_loss_of_all_processes(cell):
    """Guards against a majority that can never be reached again."""
    for name in cell.names:
        cell.kill(name)
    cell.run(1.0)
    for name in cell.names:
        cell.start(name)
    cell.run_until(cell.settled, 10.0)


@pytest.mark.parametrize("leads", [False, True])
def test_planned_leave_hands_homes_over_without_a_gap_in_leases(cell, leads):
    """Guards against a planned stop that others notice as a loss."""
    lead = lead_of(cell)
    name = lead if leads else next(n for n in cell.names if n != lead)
    left = []
    cell.members[name].leave(lambda: left.append(name))
    cell.run_until(lambda: left, 3.0)
    cell.fleet.call_later(0.0, lambda: cell.kill(name))
    cell.run(0.3)
    assert cell.settled()
    assert lapsed(cell) == [name]
    assert ("member_dropped", name) in cell.recorders[lead_of(cell)].calls


def test_members_come_to_the_coordinator_without_the_instance_list(cell):
    """Guards against a lagging list that keeps an instance out."""
    cell.names.append("i-12")
    cell.fleet.start("i-12")
    cell.run(2.0)
    assert cell.members["i-12"].has_lease()
    assert cell.settled()
