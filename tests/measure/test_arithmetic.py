"""Guards the arithmetic that turns runs into figures."""

import math

import pytest

from wagtailrill.measure.arithmetic import (
    imbalance,
    latency_figures,
    moved,
    quantile,
    ratio,
)


@pytest.mark.parametrize(
    ("share", "expected"), [(0.5, 50.0), (0.99, 99.0), (0.999, 100.0), (0.0, 1.0)]
)
def test_quantile_is_the_nearest_rank(share, expected):
    """Guards against an index that is off by one and hides the slowest request."""
    assert quantile([float(n) for n in range(100, 0, -1)], share) == expected


def test_no_values_give_nan():
    """Guards against a run without answers that is shown as a perfect one."""
    assert math.isnan(quantile([], 0.99))
    assert math.isnan(ratio(1.0, 0.0))
    assert all(math.isnan(v) for v in latency_figures([]).values())


def test_imbalance_counts_servers_without_load():
    """Guards against an idle server that lowers the imbalance."""
    assert imbalance({"a": 2.0, "b": 2.0}, ["a", "b", "c", "d"]) == 2.0
    assert imbalance({"a": 1.0, "b": 1.0}, ["a", "b"]) == 1.0


def test_moved_counts_slots_with_another_owner():
    """Guards against churn that counts owners instead of key slots."""
    assert moved(["a", "a", "b"], ["b", "a", "a"]) == 2
