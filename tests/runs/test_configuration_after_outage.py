"""Tests that a configuration is in force in time although the store was just away.

No instance reads for the others then: the one that did has given its duty up, and all
waited for what another would relay, the new reader too.
"""

import pytest

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


@pytest.mark.parametrize("refusal", list(Refusal))
@pytest.mark.parametrize("seed", SEEDS)
def test_configuration_written_after_an_outage_is_in_force_in_time(seed, refusal):
    """Guards against instances that wait for a reader that waits itself."""
    load = begin_outage(seed, refusal)
    load.run.fleet.run_until(load.run.now_s + OUTAGE_S)
    names = list(load.run.fleet.nodes)
    assert load.measure_configuration_s(names) <= CONFIGURATION_BOUND_S
