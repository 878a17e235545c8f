"""Guards permits against overload, leaks and starvation under random faults."""

import pytest

from .random_run import RUNS


@pytest.mark.parametrize("first", range(1, 181, 20))
def test_no_overload_no_leak_no_starvation(first):
    """Guards against a fault in which a server is overloaded or capacity is lost."""
    for schedule in RUNS.check_all(first, 20):
        assert schedule.fleet.served > 0
