"""Guards the load tool: a wrong plan makes every figure wrong."""

from pathlib import Path

import attrs

from wagtailrill.claims.models import parse_uuid7_time_ms
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.load_tool.models import LoadResult, LoadSettings
from wagtailrill.load_tool.plan import make_plan
from wagtailrill.load_tool.report import percentile, summarise, table

DECLARATION = parse_declaration(Path("examples/piraeus/services.json").read_bytes()).ok
CFG = LoadSettings(
    targets=("127.0.0.1:1", "127.0.0.1:2"),
    rate_per_s=500.0,
    duration_s=10.0,
    seed=3,
    tenant_keys={"a": "x", "b": "y"},
    weights=(3.0, 1.0),
)


def test_same_seed_gives_the_same_plan():
    """Guards against runs that cannot be compared."""
    assert list(make_plan(CFG, DECLARATION, 0.0)) == list(
        make_plan(CFG, DECLARATION, 0.0)
    )
    other = attrs.evolve(CFG, seed=4)
    assert list(make_plan(CFG, DECLARATION, 0.0)) != list(
        make_plan(other, DECLARATION, 0.0)
    )


def test_plan_keeps_rate_spread_and_fresh_idempotency_keys():
    """Guards against a rate, spread or keys other than those asked for."""
    plan = list(make_plan(CFG, DECLARATION, 1000.0))
    assert 4600 < len(plan) < 5400
    first = sum(planned.target == CFG.targets[0] for planned in plan)
    assert 0.70 < first / len(plan) < 0.80
    keys = [p for p in plan if not p.route.idempotent]
    assert keys
    assert len({p.idempotency_key for p in keys}) == len(keys)
    for planned in keys:
        expected_ms = int((1000 + planned.at_s) * 1000)
        assert parse_uuid7_time_ms(planned.idempotency_key) == expected_ms


def test_percentiles():
    """Guards against percentiles that leave out the slowest requests."""
    values = [float(n) for n in range(1000)]
    assert percentile(values, 0.99) == 990.0
    assert percentile(values, 0.999) == 999.0
    assert percentile([], 0.5) is None


def test_nothing_answered_has_no_latency():
    """Guards against failed runs that look like very fast ones."""
    rows = [LoadResult("s", "a", 0, "timed_out", "unknown", 1.0)]
    summary = summarise(rows)
    assert summary["services"]["s"]["latency_ms"]["p99"] is None
    assert "-" in table(summary).splitlines()[1]
