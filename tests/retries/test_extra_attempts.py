"""Guards the budget of attempts beyond the first."""

from hypothesis import given, strategies as st

from tests.support import advance, make_context
from wagtailrill.declaration.models import Configuration, Declaration, Service
from wagtailrill.retries.extra_attempts import ExtraAttempts, ExtraAttemptSettings

CFG = ExtraAttemptSettings(share=0.2, allowance=12.0, window_s=10.0, part=0.8)


def make(instances=("i-1", "i-2", "i-3")):
    ctx = make_context()
    extra = ExtraAttempts(ctx, CFG, lambda: instances)
    services = tuple(
        Service(name=name, routes=(), backend_servers=(), depends_on=needs)
        for name, needs in (("box", ("roll",)), ("roll", ()))
    )
    declaration = Declaration(
        deployment="d", data_centres=(), services=services, organisations=()
    )
    extra.configure(Configuration(1, declaration))
    return ctx, extra


@given(
    steps=st.lists(
        st.tuples(st.sampled_from(["request", "extra"]), st.floats(0.0, 0.5)),
        max_size=300,
    )
)
def test_no_window_has_more_than_this_instances_part(steps):
    """Guards against retries that add up to more than the fleet's budget."""
    ctx, extra = make()
    requests, extras = [], []
    for kind, pause_s in steps:
        advance(ctx, pause_s)
        if kind == "request":
            extra.on_request("roll")
            requests.append(ctx.now_s)
        elif extra.take("roll"):
            extras.append(ctx.now_s)
    for at_s in extras:
        used = sum(at_s - CFG.window_s < t <= at_s for t in extras)
        seen = sum(at_s - CFG.window_s < t <= at_s for t in requests)
        assert used <= CFG.share * seen + CFG.allowance / 3


def test_part_of_a_small_fleet_is_larger():
    """Guards against a part that does not follow the number of instances."""
    _, alone = make(("i-1",))
    _, many = make(tuple(f"i-{n}" for n in range(12)))
    assert sum(alone.take("roll") for _ in range(20)) > sum(
        many.take("roll") for _ in range(20)
    )


def test_exhausted_dependency_stops_extra_attempts():
    """Guards against retries that keep a service in trouble."""
    _, extra = make(("i-1",))
    while extra.take("roll"):
        pass
    assert not extra.may_take("box")


def test_hedge_waits_for_enough_answers_and_follows_them():
    """Guards against hedges after a guess."""
    _, extra = make()
    assert extra.hedge_delay_s("roll") is None
    for _ in range(200):
        extra.record("roll", 0.1)
    assert 0.09 <= extra.hedge_delay_s("roll") <= 0.13
