"""Guards the store against repeated calls, and instances against waiting too long."""

import pytest
from expression import Error, Ok

from tests.support import advance_time, make_context
from wagtailrill.store.const import (
    BACKOFF_MAX_S,
    FLEET_RETRIES_PER_S,
    RESUME_SPREAD_S,
    RETRY_WAIT_MAX_S,
    TURNED_AWAY_AFTER_S,
    TURNED_AWAY_FAILURES,
)
from wagtailrill.store.models import Committed, StoreError, StoreErrorKind

REFUSED = Error(StoreError(StoreErrorKind.REFUSED))
ANSWER = Ok(Committed(7))
CONFLICT = Error(StoreError(StoreErrorKind.CONFLICT))


@pytest.fixture
def ctx():
    return make_context()


def turn_away(ctx):
    for _ in range(TURNED_AWAY_FAILURES):
        ctx.store_budget.record(REFUSED)
    advance_time(ctx, TURNED_AWAY_AFTER_S + 0.05)


def count_retries(ctx, seconds):
    """Return how often a caller repeats a call that always fails."""
    calls = []

    def call():
        calls.append(ctx.now_s)
        ctx.store_budget.record(REFUSED)
        ctx.store_budget.retry(call)

    ctx.store_budget.retry(call)
    for _ in range(round(seconds / 0.05)):
        advance_time(ctx, 0.05)
    return len(calls)


def test_several_failures_at_once_are_not_yet_a_refusal(ctx):
    """Guards against a duty given up because a reset cut several calls at once."""
    for _ in range(5):
        ctx.store_budget.record(REFUSED)
    assert not ctx.store_budget.is_turned_away


@pytest.mark.parametrize("answer", [Ok(Committed(7)), CONFLICT])
def test_any_answer_ends_the_refusal(ctx, answer):
    """Guards against an instance that waits although the store serves it."""
    turn_away(ctx)
    assert ctx.store_budget.is_turned_away
    ctx.store_budget.record(answer)
    assert not ctx.store_budget.is_turned_away
    assert ctx.store_budget.recovered_s == ctx.now_s


def test_retries_are_bounded_for_the_whole_fleet(ctx):
    """Guards against a store that each instance of a large fleet asks at full rate."""
    ctx.store_budget.fleet_size = 80
    count = count_retries(ctx, 60.0)
    assert 1 <= count <= 2 + 60.0 / RETRY_WAIT_MAX_S + 60.0 * FLEET_RETRIES_PER_S / 80


def test_retries_of_a_small_fleet_are_soon(ctx):
    """Guards against an instance that stays without the store once it is back."""
    assert count_retries(ctx, 10.0) >= 10.0 / BACKOFF_MAX_S


def test_probed_instance_waits_for_its_probe(ctx):
    """Guards against calls beside those that find out whether the store is back."""
    ctx.store_budget.is_probed = True
    turn_away(ctx)
    calls = []
    ctx.store_budget.retry(lambda: calls.append(ctx.now_s))
    advance_time(ctx, RETRY_WAIT_MAX_S / 2)
    assert calls == []
    ctx.store_budget.record(ANSWER)
    advance_time(ctx, RESUME_SPREAD_S)
    assert len(calls) == 1
    advance_time(ctx, RETRY_WAIT_MAX_S)
    assert len(calls) == 1


def test_late_failures_do_not_put_a_resumed_retry_off(ctx):
    """Guards against retries that wait anew after each call that an outage has left.

    Calls from before the store's return fail up to a second after the first answer. The
    next answer then seemed to be the store's return.
    """
    budget, calls = ctx.store_budget, []
    budget.is_probed = True
    turn_away(ctx)
    budget.retry(lambda: calls.append(ctx.now_s), resume_after_s=1.0)
    budget.record(ANSWER)
    answered_s = ctx.now_s
    advance_time(ctx, RESUME_SPREAD_S)
    turn_away(ctx)
    budget.record(ANSWER)
    advance_time(ctx, answered_s + 1.0 + RESUME_SPREAD_S - ctx.now_s)
    assert len(calls) == 1
    advance_time(ctx, RETRY_WAIT_MAX_S)
    assert len(calls) == 1


def test_long_outage_does_not_overflow_the_delay(ctx):
    """Guards against a process that ends with an error after thousands of failures."""
    for _ in range(5000):
        ctx.store_budget.record(REFUSED)
    assert 0.0 <= ctx.store_budget.draw_delay_s() <= RETRY_WAIT_MAX_S
