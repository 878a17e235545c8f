"""Random runs of whole routers; `python -m tests.runs.random_run` runs more seeds."""

import pytest

from .random_run import run_random_faults


@pytest.mark.parametrize("seed", range(101, 109))
def test_random_faults_violate_no_invariant(seed):
    """Guards against two key owners, double runs, false refusals, exceeded limits."""
    assert run_random_faults(seed).violations == ()
