"""Random schedules of faults over whole engines."""

import pytest

from tests.engine.random_run import RUNS

SCHEDULES = 60


@pytest.mark.parametrize("seed", range(1, SCHEDULES + 1))
def test_promises_hold_under_random_faults(seed):
    """Guards against double runs, false refusals, crossed answers and two owners."""
    RUNS.check(seed)
