"""Guards the rates by which keys are assigned."""

import pytest

from tests.support import advance, make_context
from wagtailrill.keys.usage import UsageTable


def test_key_that_has_become_hot_shows_within_half_a_second():
    """Guards against a hot key that overloads its owner until an average follows."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for _ in range(20):
        usage.record(7)
        advance(ctx, 0.025)
    assert usage.rates()[7] > 25.0  # of 40/s; the slow average alone shows 11/s


def test_few_requests_do_not_look_like_a_hot_key():
    """Guards against moves of keys that had two requests by chance."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for _ in range(3):
        usage.record(7)
    assert usage.rates()[7] == pytest.approx(2.0)


def test_range_counts_its_positions_and_forgets_them():
    """Guards against old requests that keep a range looking busy."""
    ctx = make_context()
    usage = UsageTable(ctx)
    for position in (10, 20, 30):
        usage.record(position)
    assert usage.rate(10, 20) == pytest.approx(2 / 1.5)
    advance(ctx, 30.0)
    assert usage.rates() == {}
