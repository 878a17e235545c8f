"""Guards the budgets of retries and hedges."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.invariants import Invariants
from wagtailrill.core.orders import AttemptOutcome
from wagtailrill.declaration.models import Configuration, Declaration, Route, Service
from wagtailrill.retries.budget import Budget
from wagtailrill.retries.models import RetrySettings
from wagtailrill.retries.policy import RetryPolicy

GET = Route("GET", "/", idempotent=True)
POST = Route("POST", "/", idempotent=False)
LOST = AttemptOutcome.LOST


def make(**depends_on):
    ctx = Context(Identity("i", 1, "dc"), random.Random(3), Invariants())
    policy = RetryPolicy(ctx, RetrySettings())
    names = {"front", "middle", "back"}
    services = tuple(
        Service(n, (GET, POST), (), depends_on=depends_on.get(n, ())) for n in names
    )
    policy.configure(Configuration(1, Declaration("test", (), services, ())))
    return policy


def exhaust(policy, service):
    while policy.may_retry(service, GET, 0, LOST, 1):
        pass


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_outcomes_that_are_retried(outcome):
    """Guards against an action that runs twice and against needless failures."""
    nothing_run = outcome.value in {"shed", "fenced", "connect_failed"}
    may_have_run = outcome.value in {"lost", "bad_answer", "timed_out"}
    policy = make()
    assert policy.may_retry("front", POST, 0, outcome, 1) is nothing_run
    assert policy.may_retry("front", GET, 0, outcome, 1) is (
        nothing_run or may_have_run
    )


@pytest.mark.parametrize(
    ("service", "attempt_header", "attempts_made"),
    [("front", 1, 1), ("front", 0, 3), ("unknown", 0, 1)],
)
def test_requests_that_are_not_retried(service, attempt_header, attempts_made):
    """Guards against retries of retries, endless retries and unknown services."""
    policy = make()
    assert not policy.may_retry(service, GET, attempt_header, LOST, attempts_made)


def test_indirect_dependency_without_budget_stops_retries():
    """Guards against retries that multiply along a chain of services."""
    policy = make(front=("middle",), middle=("back", "front"))
    exhaust(policy, "back")
    assert not policy.may_retry("front", GET, 0, LOST, 1)
    assert policy.hedge_delay_s("front") is None
    independent = make()
    exhaust(independent, "back")
    assert independent.may_retry("front", GET, 0, LOST, 1)


def test_retries_stay_within_a_tenth_of_requests():
    """Guards against a retry storm while every request fails."""
    policy, retries = make(), 0
    for n in range(20_000):
        policy.ctx.set_time(n / 200.0, 0.0)
        policy.on_request("front")
        retries += policy.may_retry("front", GET, 0, LOST, 1)
    assert 0.08 * 20_000 < retries < 0.11 * 20_000


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 30.0), st.integers(0, 40)), max_size=30))
def test_budget_never_exceeds_its_share(bursts):
    """Guards against bursts or pauses that raise the budget."""
    budget, now_s = Budget(0.1, 3.0, 10.0), 0.0
    for wait_s, requests in bursts:
        now_s += wait_s
        for _ in range(requests):
            budget.deposit(now_s)
            budget.withdraw(now_s)
        assert budget.extra <= 0.1 * budget.requests + 3.0 + 1e-9


def test_hedge_delay_follows_the_95th_percentile():
    """Guards against hedges of ordinary requests and against stale delays."""
    policy = make()
    assert policy.hedge_delay_s("front") is None
    for scale in (1.0, 10.0):
        for n in range(8000):
            latency_s = 0.1 * scale if n % 100 >= 97 else 0.01 * scale
            policy.record("front", AttemptOutcome.ANSWERED, latency_s)
        delay_s = policy.hedge_delay_s("front")
        assert 0.01 * scale <= delay_s <= 0.013 * scale


@pytest.mark.parametrize("hedge_s", [0.01, 0.03])
def test_hedges_stay_within_a_twentieth_of_the_work(hedge_s):
    """Guards against extra work beyond the hedge budget, also by long hedges."""
    policy, hedges = make(), 0
    for n in range(10_000):
        policy.ctx.set_time(n / 200.0, 0.0)
        policy.record("front", AttemptOutcome.ANSWERED, 0.01)
        if policy.take_hedge("front"):
            hedges += 1
            policy.hedge_ended("front", hedge_s)
    work_s = 10_000 * 0.01
    # The first hedges are charged after they have ended.
    assert 0.04 * work_s < hedges * hedge_s <= 0.05 * work_s + 2 * hedge_s


def test_backoff_grows_and_is_bounded():
    """Guards against retries in step and against waits without bound."""
    policy = make()
    waits = [[policy.backoff_s(n) for _ in range(200)] for n in (1, 3, 30)]
    assert max(waits[0]) <= 0.01
    assert 0.02 < max(waits[1]) <= 0.04
    assert max(waits[2]) <= 0.5
    assert len(set(waits[0])) > 100
