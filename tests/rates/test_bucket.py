"""Tests the token bucket and the bucket limits computed from rate limits."""

import math

import pytest
from hypothesis import given, strategies as st

from wagtailrill.rates.models import RateLimit, RateSettings, TokenBucket

SETTINGS = RateSettings(5.0, 0.1, 20.0)


@given(
    rate=st.floats(0.1, 200.0),
    burst=st.floats(0.0, 200.0),
    bound_ratio=st.floats(0.05, 0.9),
    steps=st.lists(
        st.tuples(st.floats(0.0, 2.0), st.integers(0, 400)), min_size=1, max_size=60
    ),
)
def test_no_window_exceeds_its_share_of_the_bound(rate, burst, bound_ratio, steps):
    """Guards against a window in which an organisation gets more than its limit."""
    limit = RateLimit(rate, burst)
    bucket = TokenBucket(SETTINGS.compute_bucket_limit(limit, bound_ratio, 0.15), 0.0)
    now_s, taken = 0.0, []
    for pause_s, wanted in steps:
        now_s += pause_s
        taken.append((now_s, bucket.take_tokens(wanted, now_s)))
    bound = SETTINGS.compute_bound(limit) * bound_ratio + 1.0
    for start_s, _ in taken:
        in_window = sum(n for at_s, n in taken if 0 <= at_s - start_s < 5.0)
        assert in_window <= bound


def test_bucket_starts_empty():
    """Guards against an issuer that grants the tokens of its predecessor again."""
    assert TokenBucket(RateLimit(10.0, 10.0), 0.0).take_tokens(5, 0.0) == 0


def test_smaller_burst_discards_excess_tokens():
    """Guards against tokens from before a limit was lowered that exceed the new one."""
    bucket = TokenBucket(RateLimit(100.0, 100.0), 0.0)
    bucket.take_tokens(0, 10.0)
    bucket.set_limit(RateLimit(1.0, 5.0), 10.0)
    assert bucket.take_tokens(100, 10.0) == 5


@given(rate=st.floats(0.1, 400.0), burst=st.floats(0.0, 400.0))
def test_two_issuers_in_one_window_stay_within_the_bound(rate, burst):
    """Guards against a successor whose full buckets make the total exceed a limit."""
    limit = RateLimit(rate, burst)
    bucket_limit = SETTINGS.compute_bucket_limit(limit, 0.86, 0.08, bursts_per_window=2)
    first, second = (
        TokenBucket(bucket_limit, 0.0, bucket_limit.burst),
        TokenBucket(bucket_limit, 2.0, bucket_limit.burst),
    )
    taken = sum(first.take_tokens(10_000, n / 10) for n in range(20))
    taken += sum(second.take_tokens(10_000, 2.0 + n / 10) for n in range(30))
    assert taken <= SETTINGS.compute_bound(limit) * 0.86 + 2.0


def test_infinite_limit_stays_infinite():
    """Guards against NaN or finite limits computed from an infinite rate."""
    bucket_limit = SETTINGS.compute_bucket_limit(
        RateLimit(math.inf, math.inf), 0.5, 0.1
    )
    assert bucket_limit.rate_per_s == math.inf


def test_returned_tokens_do_not_exceed_the_burst():
    """Guards against a bucket that returned tokens fill beyond its burst."""
    bucket = TokenBucket(RateLimit(10.0, 3.0), 0.0)
    bucket.return_tokens(50, 0.0)
    assert bucket.level == pytest.approx(3.0)


def test_bucket_does_not_refill_unless_time_advances():
    """Guards against tokens for time that has not passed or went back."""
    bucket = TokenBucket(RateLimit(10.0, 3.0), 5.0)
    assert bucket.take_tokens(1, 5.0) == 0
    assert bucket.take_tokens(1, 4.0) == 0
