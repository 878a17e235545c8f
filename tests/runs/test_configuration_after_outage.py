"""Tests that a configuration is in force in time although the store was just away.

No instance reads for the others then: the one that did has given its duty up, and all
waited for what another would relay, the new reader too.
"""

import pytest

from wagtailrill.servers.relay import READER_DUTY
from wagtailrill.stand_ins.virtual_fleet import Refusal

from .store_load import StoreLoad
from .test_store_load import CONFIGURATION_BOUND_S

OUTAGE_S = 5.2
SEEDS = (1, 2, 3)


def begin_outage(seed, refusal):
    """Return a fleet that the store turns away for `OUTAGE_S` seconds."""
    load = StoreLoad(seed, 12)
    load.turn_away(load.run.instance_names, refusal, OUTAGE_S)
    return load


def kill_next_reader(load):
    """Kill the instance that becomes the reader, before it can relay anything."""
    run = load.run
    while not (readers := [n for n in run.fleet.nodes if holds_reader_duty(run, n)]):
        run.fleet.run_until(run.now_s + 0.001)
    run.kill_instance(readers[0])


def holds_reader_duty(run, name):
    return run.get_router(name).duties.holds(READER_DUTY)


@pytest.mark.parametrize("refusal", list(Refusal))
@pytest.mark.parametrize("seed", SEEDS)
def test_configuration_written_after_an_outage_is_in_force_in_time(seed, refusal):
    """Guards against instances that wait for a reader that waits itself."""
    load = begin_outage(seed, refusal)
    load.run.fleet.run_until(load.run.now_s + OUTAGE_S)
    names = list(load.run.fleet.nodes)
    assert load.measure_configuration_s(names) <= CONFIGURATION_BOUND_S


@pytest.mark.parametrize("refusal", list(Refusal))
@pytest.mark.parametrize("seed", SEEDS)
def test_reader_that_is_lost_at_once_delays_no_configuration(seed, refusal):
    """Guards against a fleet that waits for the relay of a reader that has ended."""
    load = begin_outage(seed, refusal)
    load.run.fleet.run_until(load.run.now_s + OUTAGE_S)
    kill_next_reader(load)
    names = [n for n in load.run.instance_names if n in load.run.fleet.nodes]
    assert load.measure_configuration_s(names) <= CONFIGURATION_BOUND_S
