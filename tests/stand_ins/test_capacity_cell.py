"""Guards of costs that must not grow with the fleet."""

import attrs
import pytest

from wagtailrill.stand_ins.capacity_cell import CapacityFleet, CellSize
from wagtailrill.stand_ins.capacity_fit import Point, TargetSize, fit_line

SECONDS = 5.0
TARGET = TargetSize()


def idle_run(size):
    """Return a fleet that was measured while idle."""
    capacity = CapacityFleet(1, size)
    capacity.settle()
    capacity.meter.running = True
    capacity.fleet.store.calls.clear()
    capacity.run_for(SECONDS)
    return capacity


def member_bytes_per_s(members):
    """Return what a member that is not the coordinator sends and receives."""
    capacity = idle_run(CellSize(members))
    leading = capacity.coordinators()
    others = [name for name in capacity.fleet.nodes if name not in leading]
    both = capacity.meter.sent_bytes + capacity.meter.received_bytes
    return sum(both[name] for name in others) / SECONDS / len(others)


def test_member_traffic_is_flat_in_the_size_of_the_cell():
    """Guards against members that exchange messages with every other member.

    The budget of 11 KB/s divided by a full cell's members bounds the growth.
    """
    points = [Point(n, member_bytes_per_s(n)) for n in (3, 12, 24)]
    assert points[0].value > 0
    assert fit_line(points).slope <= TARGET.node.bytes_per_s / TARGET.cell_members_max
    assert points[-1].value <= TARGET.node.bytes_per_s


def test_store_calls_depend_on_cells_and_not_on_members():
    """Guards against members that call the store while nothing happens.

    2,000 reads a second divided by 246 cells leave 8 a second for a cell.
    """
    calls = idle_run(CellSize(24)).fleet.store.calls
    reads = (calls.get("Read", 0) + calls.get("Watch", 0)) / SECONDS
    assert 0 < reads <= TARGET.store.reads_per_s / TARGET.cells
    two_cells = idle_run(CellSize(3, cells=2, backend_servers=0)).fleet.store.calls
    assert sum(two_cells.values()) <= 2.1 * sum(calls.values())


def test_load_reaches_backend_servers():
    """Guards against loaded runs that measure refused requests."""
    capacity = CapacityFleet(1, CellSize(3, rate_per_s=20.0))
    capacity.settle()
    capacity.start_load()
    capacity.run_for(3.0)
    codes = [d.code for d in capacity.callers.deliveries if d.code]
    assert len(codes) > 100
    assert codes.count("answered") >= 0.99 * len(codes)


def test_fleet_that_is_not_ready_is_not_measured():
    """Guards against figures of instances that never joined."""
    capacity = CapacityFleet(1, CellSize(3))
    capacity.fleet.store.down = True
    with pytest.raises(RuntimeError):
        capacity.settle()


def test_a_changed_rate_is_another_configuration():
    """Guards against a change that the store would not spread."""
    capacity = CapacityFleet(1, CellSize(3))
    before = attrs.evolve(capacity.declaration)
    capacity.change_rates()
    assert capacity.declaration != before
