"""Tests of the fits and of the arithmetic at the target size."""

import pytest

from wagtailrill.stand_ins.capacity_fit import (
    Point,
    Series,
    TargetSize,
    fit_line,
    merge,
    per_second,
    used,
)


def test_exact_line_is_found():
    """Guards against slope and intercept being exchanged or scaled."""
    fit = fit_line([Point(size, 3.0 + 2.0 * size) for size in (3, 6, 12, 24)])
    assert fit.slope == pytest.approx(2.0)
    assert fit.intercept == pytest.approx(3.0)
    assert fit.r2 == pytest.approx(1.0)
    assert fit.at(246) == pytest.approx(495.0)


def test_scatter_lowers_r2():
    """Guards against a fit that looks exact although the points are scattered."""
    fit = fit_line([Point(0, 0.0), Point(1, 2.0), Point(2, 1.0)])
    assert fit.slope == pytest.approx(0.5)
    assert fit.intercept == pytest.approx(0.5)
    assert fit.r2 == pytest.approx(0.25)


def test_constant_series_is_flat():
    """Guards against a division by zero for a cost that does not change."""
    fit = fit_line([Point(8, 7.0), Point(1000, 7.0)])
    assert (fit.slope, fit.intercept, fit.r2) == (0.0, 7.0, 1.0)


def test_rounding_does_not_spoil_a_constant_series():
    """Guards against r2 of 0 for equal values whose mean is rounded."""
    value = 10462.3 + 1e-9 / 3
    points = [Point(8, value), Point(100, value + 2e-12), Point(1000, value)]
    fit = fit_line(points)
    assert fit.r2 == 1.0
    assert fit.at(5_900) == pytest.approx(value)


@pytest.mark.parametrize("points", [[], [Point(1, 2)], [Point(1, 2), Point(1, 3)]])
def test_one_size_has_no_line(points):
    """Guards against an extrapolation from a single size."""
    with pytest.raises(ValueError):
        fit_line(points)


def test_seeds_are_merged_by_name_and_size():
    """Guards against series of several seeds that are mixed up or overwritten."""
    one = Series("idle", "B/s", "members", (Point(3, 1.0), Point(6, 2.0)), 24)
    two = Series("idle", "B/s", "members", (Point(3, 3.0), Point(6, 4.0)), 24)
    other = Series("idle", "B/s", "cells", (Point(1, 9.0), Point(4, 9.0)), 246)
    merged = merge([one, other, two])
    assert merged[0].means() == (Point(3, 2.0), Point(6, 3.0))
    assert merged[1] == other


def test_target_arithmetic():
    """Guards against cells rounded down and against mistaken units of rates."""
    target = TargetSize()
    assert target.cells == 246
    assert target.requests_per_node_s == pytest.approx(12_881.4, abs=0.1)
    assert target.cores_per_node(100.0) == pytest.approx(1.288, abs=0.001)
    assert target.nodes_per_data_centre == 236
    assert per_second(86_400, 2.0) == pytest.approx(2.0)
    assert used(22.0, target.node.bytes_per_s / 1_000) == pytest.approx(2.0)
