"""Tests the budget of extra attempts and the hedging delay."""

from hypothesis import given, strategies as st

from tests.support import advance_time, make_context
from wagtailrill.declaration.models import Configuration, Declaration, Service
from wagtailrill.retries.extra_attempts import ExtraAttemptBudget, ExtraAttemptSettings

CFG = ExtraAttemptSettings(share=0.2, allowance=12.0, window_s=10.0, part=0.8)


def make_budget(instances=("i-1", "i-2", "i-3"), ctx=None, is_first_start=True):
    ctx = ctx or make_context()
    budget = ExtraAttemptBudget(ctx, CFG, lambda: instances, is_first_start)
    services = tuple(
        Service(name=name, routes=(), backend_servers=(), depends_on=depends_on)
        for name, depends_on in (("box", ("roll",)), ("roll", ()))
    )
    declaration = Declaration(
        deployment="d", data_centres=(), services=services, organisations=()
    )
    budget.configure(Configuration(1, declaration))
    return ctx, budget


@given(
    steps=st.lists(
        st.tuples(st.sampled_from(["request", "extra"]), st.floats(0.0, 0.5)),
        max_size=300,
    )
)
def test_no_window_exceeds_this_instances_part_of_the_budget(steps):
    """Guards against retries of all instances that exceed the fleet's budget."""
    ctx, budget = make_budget()
    requests_s, extras_s = [], []
    for kind, pause_s in steps:
        advance_time(ctx, pause_s)
        if kind == "request":
            budget.count_request("roll")
            requests_s.append(ctx.now_s)
        elif budget.take_attempt("roll"):
            extras_s.append(ctx.now_s)
    for at_s in extras_s:
        extra_count = sum(at_s - CFG.window_s < t <= at_s for t in extras_s)
        request_count = sum(at_s - CFG.window_s < t <= at_s for t in requests_s)
        assert extra_count <= CFG.share * request_count + CFG.allowance / 3


def test_instance_of_a_small_fleet_gets_a_larger_part():
    """Guards against a part that does not depend on the number of instances."""
    _, small_fleet = make_budget(("i-1",))
    _, large_fleet = make_budget(tuple(f"i-{n}" for n in range(12)))
    assert sum(small_fleet.take_attempt("roll") for _ in range(20)) > sum(
        large_fleet.take_attempt("roll") for _ in range(20)
    )


def test_exhausted_budget_of_a_dependency_stops_extra_attempts():
    """Guards against retries that keep a dependency overloaded."""
    _, budget = make_budget(("i-1",))
    while budget.take_attempt("roll"):
        pass
    assert not budget.has_budget("box")


def test_hedge_delay_needs_enough_answers_and_follows_their_latency():
    """Guards against hedges after a delay that no measured latency supports."""
    _, budget = make_budget()
    assert budget.get_hedge_delay_s("roll") is None
    for _ in range(200):
        budget.record_latency("roll", 0.1)
    assert 0.09 <= budget.get_hedge_delay_s("roll") <= 0.13


def test_processes_of_one_instance_share_its_part_of_the_budget():
    """Guards against an allowance that each restart of an instance renews.

    On a day with rolling restarts all along, 553 extra attempts reached a service in
    10 s, and 496 were allowed (review/drawn-2/budget.toml, seen once).
    """
    ctx = make_context()
    requests_s, extras_s = [], []
    for number in range(8):
        _, budget = make_budget(ctx=ctx, is_first_start=number == 0)
        for _ in range(40):
            budget.count_request("roll")
            requests_s.append(ctx.now_s)
            while budget.take_attempt("roll"):
                extras_s.append(ctx.now_s)
            advance_time(ctx, 0.1)
    for at_s in extras_s:
        extra_count = sum(at_s - CFG.window_s < t <= at_s for t in extras_s)
        request_count = sum(at_s - CFG.window_s < t <= at_s for t in requests_s)
        assert extra_count <= CFG.share * request_count + CFG.allowance / 3


def test_allowance_is_there_again_a_window_after_a_restart():
    """Guards against an instance that never retries beyond a share of its requests."""
    ctx, budget = make_budget(is_first_start=False)
    assert not budget.take_attempt("roll")
    advance_time(ctx, CFG.window_s)
    assert budget.take_attempt("roll")
