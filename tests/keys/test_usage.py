"""Tests the measured request rates by which keys are assigned."""

import pytest

from tests.support import advance_time, make_context
from wagtailrill.keys.usage import UsageTable


def test_key_that_has_become_hot_shows_within_half_a_second():
    """A hot key must not overload its owner until the slow rate has risen."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for _ in range(20):
        usage.count_request(7)
        advance_time(ctx, 0.025)
    assert usage.collect_rates()[7] > 25.0  # of 40/s; the slow rate alone is 11/s


def test_few_requests_do_not_look_like_a_hot_key():
    """A few requests by chance must not make a key look hot and have it moved."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for _ in range(3):
        usage.count_request(7)
    assert usage.collect_rates()[7] == pytest.approx(2.0)


def test_rate_of_a_range_sums_its_positions_and_decays():
    """Old requests must not keep a range looking busy."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for position in (10, 20, 30):
        usage.count_request(position)
    assert usage.sum_rates(10, 20) == pytest.approx(2 / 1.5)
    advance_time(ctx, 30.0)
    assert usage.collect_rates() == {}
