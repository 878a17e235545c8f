"""Guards leases, homes and the cell table of a healthy cell."""

import attrs
import pytest

from tests.membership.fleet import CFG, MemberFleet
from wagtailrill.membership.grace import GraceWait
from wagtailrill.membership.messages import (
    CoordinatorHint,
    Heartbeat,
    HeartbeatReply,
    Payload,
    TableDocument,
    TableRequest,
    register_messages,
)
from wagtailrill.membership.table import ServiceSlots
from wagtailrill.partitions.directory import Member
from wagtailrill.peer.registry import MessageRegistry


@pytest.fixture
def cell():
    fleet = MemberFleet()
    fleet.run_until(fleet.settled, 10.0)
    fleet.run(2.0)
    return fleet


def loads(cell):
    return [len(m._view.held) for m in cell.awake().values()]


def test_homes_are_balanced_and_an_idle_cell_only_renews_its_store_lease(cell):
    """Guards against idle store traffic that grows with the fleet."""
    assert max(loads(cell)) - min(loads(cell)) <= 1
    before = dict(cell.store.calls)
    cell.run(10.0)
    new = {k: n - before.get(k, 0) for k, n in cell.store.calls.items()}
    assert {k for k, n in new.items() if n} == {"LeaseRenew"}
    assert new["LeaseRenew"] <= 10.0 / 0.7 + 1


def test_joining_member_moves_few_homes(cell):
    """Guards against a join that moves homes between old members."""
    before = {n: set(m._view.held) for n, m in cell.awake().items()}
    cell.names.append("i-12")
    cell.start("i-12")
    cell.run(2.0)
    gained = {
        n: set(m._view.held) - before.get(n, set()) for n, m in cell.awake().items()
    }
    assert {n for n, partitions in gained.items() if partitions} == {"i-12"}
    assert len(gained["i-12"]) in (4, 5)


def test_version_is_acknowledged_only_when_every_gate_allows_it(cell):
    """Guards against a move while requests run under the older version."""
    (lead,) = cell.coordinators()
    member = next(m for n, m in cell.members.items() if n != lead)
    open_gate = []
    member.set_acknowledge_gate(lambda version: bool(open_gate))
    cell.members[lead].update_table(
        lambda table: attrs.evolve(table, key_slots=(ServiceSlots("s", ()),)),
        lambda written: None,
    )
    cell.fleet.deliver(lead, None, 0.0)
    cell.run(1.0)
    version = cell.members[lead].table_version
    assert member.table_version == version
    assert not cell.members[lead].acknowledged_by_all(version)
    open_gate.append(True)
    cell.run(0.2)
    assert cell.members[lead].acknowledged_by_all(version)


def test_reports_and_notices_travel_with_heartbeats(cell):
    """Guards against payloads that reach the wrong side."""
    (lead,) = cell.coordinators()
    seen, heard = set(), set()
    for name, member in cell.members.items():
        member.add_report("r", lambda name=name: name.encode())
        member.on_report("r", lambda m, data: seen.add((m.instance, data.decode())))
        member.add_notice("n", lambda name=name: name.encode())
        member.on_notice("n", lambda data: heard.add(data.decode()))
    cell.run(1.0)
    assert seen == {(n, n) for n in cell.names if n != lead}
    assert heard == {lead}


def test_heartbeats_of_a_lower_term_are_refused(cell):
    """Guards against a deposed coordinator that extends leases."""
    (old,) = cell.coordinators()
    name = next(n for n in cell.names if n != old)
    view = cell.members[name]._view
    view.follow(view.term + 1, Member("elsewhere", 1))
    lease_end_s = view.lease_end_s
    cell.fleet.run_until(cell.fleet.now_s + 0.9)
    assert view.lease_end_s == lease_end_s
    assert cell.coordinators() == []


MESSAGE_EXAMPLES = [
    Heartbeat(3, 4, 5, 2.5, 7, 9, True, ("a",), (Payload("n", b"x"),)),
    HeartbeatReply(3, 4, 5, 7, 6, 9, 8, True, 1.5, True, (Payload("r", b"y"),)),
    CoordinatorHint(3, "a", 2**63),
    TableRequest(9),
    TableDocument(3, 9, b"document"),
]


@pytest.mark.parametrize("message", MESSAGE_EXAMPLES, ids=lambda m: type(m).__name__)
def test_messages_survive_the_wire(message):
    """Guards against fields that schema and class name differently."""
    registry = MessageRegistry()
    register_messages(registry)
    assert registry.decode(*registry.encode(message)) == message


def test_grace_wait_covers_an_outage_confirmed_before_a_late_majority():
    """Guards against a takeover while the old coordinator's outage mode goes on."""
    members = [Member(name, 1) for name in "abc"]
    grace = GraceWait(CFG, members, 10.0, resigned=False)
    grace.acknowledge("a", 10.0, 1000.0)
    assert not grace.over(100.0)
    grace.acknowledge("b", 11.5, 1.2)
    assert not grace.over(10.3 + 1.0 + 0.8)
    assert grace.over(10.33 + (1.0 + 0.8) * 1.01)
