"""Guards the arithmetic by which organisations are limited."""

import math

import pytest
from hypothesis import given, strategies as st

from wagtailrill.rates.models import Bucket, Limit, RateSettings

SETTINGS = RateSettings(5.0, 0.1, 20.0)


@given(
    rate=st.floats(0.1, 200.0),
    burst=st.floats(0.0, 200.0),
    part=st.floats(0.05, 0.9),
    steps=st.lists(
        st.tuples(st.floats(0.0, 2.0), st.integers(0, 400)), min_size=1, max_size=60
    ),
)
def test_no_window_gets_more_than_its_part_of_the_bound(rate, burst, part, steps):
    """Guards against an organisation that gets more than its limit in some window."""
    limit = Limit(rate, burst)
    bucket = Bucket(SETTINGS.shape(limit, part, 0.15), 0.0)
    now_s, taken = 0.0, []
    for pause_s, wanted in steps:
        now_s += pause_s
        taken.append((now_s, bucket.take(wanted, now_s)))
    bound = SETTINGS.bound(limit) * part + 1.0
    for start_s, _ in taken:
        in_window = sum(n for at_s, n in taken if 0 <= at_s - start_s < 5.0)
        assert in_window <= bound


def test_bucket_starts_empty():
    """Guards against an issuer that grants again what its predecessor granted."""
    assert Bucket(Limit(10.0, 10.0), 0.0).take(5, 0.0) == 0


def test_smaller_burst_takes_tokens_away():
    """Guards against a lowered limit that is exceeded by old tokens."""
    bucket = Bucket(Limit(100.0, 100.0), 0.0)
    bucket.take(0, 10.0)
    bucket.resize(Limit(1.0, 5.0), 10.0)
    assert bucket.take(100, 10.0) == 5


@given(rate=st.floats(0.1, 400.0), burst=st.floats(0.0, 400.0))
def test_two_issuers_in_a_window_keep_the_bound_together(rate, burst):
    """Guards against a successor that starts with full buckets and exceeds a limit."""
    limit = Limit(rate, burst)
    shaped = SETTINGS.shape(limit, 0.86, 0.08, bursts=2)
    first, second = Bucket(shaped, 0.0, shaped.burst), Bucket(shaped, 2.0, shaped.burst)
    taken = sum(first.take(10_000, n / 10) for n in range(20))
    taken += sum(second.take(10_000, 2.0 + n / 10) for n in range(30))
    assert taken <= SETTINGS.bound(limit) * 0.86 + 2.0


def test_no_limit_stays_no_limit():
    """Guards against arithmetic with an infinite rate."""
    shaped = SETTINGS.shape(Limit(math.inf, math.inf), 0.5, 0.1)
    assert shaped.rate_per_s == math.inf


def test_returned_tokens_do_not_exceed_the_burst():
    """Guards against tokens that are made by giving them back."""
    bucket = Bucket(Limit(10.0, 3.0), 0.0)
    bucket.give_back(50, 0.0)
    assert bucket.level == pytest.approx(3.0)


def test_clock_that_stands_still_gives_nothing():
    """Guards against tokens for time that has not passed."""
    bucket = Bucket(Limit(10.0, 3.0), 5.0)
    assert bucket.take(1, 5.0) == 0
    assert bucket.take(1, 4.0) == 0
