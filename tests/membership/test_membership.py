"""Guards leases, homes and the cell table of a healthy cell."""

import pytest

from tests.membership.fleet import MemberFleet


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
