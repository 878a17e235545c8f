"""Random runs of whole routers; `python -m tests.runs.random_run` runs more."""

import pytest

from .random_run import random_run


@pytest.mark.parametrize("seed", range(101, 109))
def test_random_faults_break_no_promise(seed):
    """Two owners, double runs, false refusals and exceeded bounds under faults."""
    assert random_run(seed).violations == ()
