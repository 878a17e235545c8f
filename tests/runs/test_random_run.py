"""Random runs of whole routers; `python -m tests.runs.random_run` runs more seeds."""

import pytest

from .random_run import run_random_faults


@pytest.mark.parametrize("seed", range(101, 109))
def test_random_faults_violate_no_invariant(seed):
    """Guards against two key owners, double runs, false refusals, exceeded limits."""
    assert run_random_faults(seed).violations == ()


def test_bounds_hold_when_restores_meet_cut_and_restarted_instances():
    """Guards against a successor of the copy beside a holder that is cut off."""
    names = ("restore_beside_losses", "crash_server", "replace_server")
    assert run_random_faults(5, (*names, names[0])).violations == ()


@pytest.mark.parametrize("seed", [5, 6])
def test_keys_have_one_owner_while_granters_follow_each_other(seed):
    """Guards against a granter that nobody waits for once its successor has ended."""
    assert run_random_faults(seed, ("replace_granters_in_turn",)).violations == ()
