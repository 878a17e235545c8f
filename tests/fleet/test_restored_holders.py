"""Tests for how long holders act for their duties after a restore of the store."""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.fleet.const import LEASE_TTL_S, OUTAGE_DUTY_EXTENSION_S
from wagtailrill.store.revision import get_era

DUTY = "keys/roll"


@pytest.fixture
def run():
    deployment = Deployment(31)
    deployment.start_all()
    deployment.fleet.run_until(16.0)
    return deployment


def list_holders(run):
    return [n for n in run.fleet.nodes if run.get_router(n).duties.holds(DUTY)]


def test_holder_that_cannot_write_its_entry_again_stops_in_time(run):
    """Guards against a holder that acts for longer than successors wait."""
    (holder,) = list_holders(run)
    run.fleet.isolate_instances({holder})
    run.fleet.store.unreachable_instances.add(holder)
    cut_off_s = run.now_s
    run.fleet.restore_store(1.0)
    ctx = run.get_router(holder).ctx
    ctx.store_era.observe(2, run.fleet.read_clock_s(run.fleet.nodes[holder]))
    ctx.store_era.notify_listeners(ctx.guard)
    run.fleet.run_until(cut_off_s + LEASE_TTL_S)
    assert holder in list_holders(run)
    run.fleet.run_until(cut_off_s + LEASE_TTL_S + OUTAGE_DUTY_EXTENSION_S)
    assert holder not in list_holders(run)


def test_holder_whose_lease_has_ended_in_the_outage_keeps_its_duty(run):
    """Guards against keys without an owner after an outage longer than a lease."""
    (holder,) = list_holders(run)
    run.fleet.store.down = True
    run.fleet.run_until(run.now_s + LEASE_TTL_S + 1.0)
    run.fleet.store.down = False
    run.fleet.restore_store(9.0)
    restored_s = run.now_s
    run.fleet.run_until(restored_s + 3.0)
    duties = run.get_router(holder).duties
    assert get_era(duties.get_fence(DUTY)) == 2
    assert list_holders(run) == [holder]
