"""Tests the plan and the summary of the load tool, on which all figures depend."""

from pathlib import Path

import attrs

from wagtailrill.claims.models import parse_uuid7_time_ms
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.load_tool.models import LoadResult, LoadSettings
from wagtailrill.load_tool.plan import make_plan
from wagtailrill.load_tool.report import (
    compute_percentile,
    format_table,
    summarise_results,
)

DECLARATION = parse_declaration(Path("examples/piraeus/services.json").read_bytes()).ok
CFG = LoadSettings(
    targets=("127.0.0.1:1", "127.0.0.1:2"),
    rate_per_s=500.0,
    duration_s=10.0,
    seed=3,
    tenant_keys={"a": "x", "b": "y"},
    target_weights=(3.0, 1.0),
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


def test_plan_follows_rate_and_weights_with_fresh_idempotency_keys():
    """Guards against a rate, target weights or keys other than the settings ask for."""
    plan = list(make_plan(CFG, DECLARATION, 1000.0))
    assert 4600 < len(plan) < 5400
    first_target_count = sum(request.target == CFG.targets[0] for request in plan)
    assert 0.70 < first_target_count / len(plan) < 0.80
    non_idempotent = [p for p in plan if not p.route.idempotent]
    assert non_idempotent
    assert len({p.idempotency_key for p in non_idempotent}) == len(non_idempotent)
    for request in non_idempotent:
        expected_ms = int((1000 + request.at_s) * 1000)
        assert parse_uuid7_time_ms(request.idempotency_key) == expected_ms


def test_percentiles_include_the_slowest_requests():
    """Guards against percentiles that leave out the slowest requests."""
    values = [float(n) for n in range(1000)]
    assert compute_percentile(values, 0.99) == 990.0
    assert compute_percentile(values, 0.999) == 999.0
    assert compute_percentile([], 0.5) is None


def test_summary_without_answers_has_no_latency():
    """Guards against failed runs that are reported as very fast ones."""
    results = [LoadResult("s", "a", 0, "timed_out", "unknown", 1.0)]
    summary = summarise_results(results)
    assert summary["services"]["s"]["latency_ms"]["p99"] is None
    assert "-" in format_table(summary).splitlines()[1]
