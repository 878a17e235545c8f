"""Tests the estimates of load and latency of backend servers."""

import pytest

from tests.support import advance_time, make_context, make_server_entry, make_table
from wagtailrill.core.request_models import AttemptOutcome, LoadReport
from wagtailrill.servers.load import LoadTable

ANSWERED = AttemptOutcome.ANSWERED


def make_load_table(*names):
    ctx = make_context()
    table = make_table(ctx, *(make_server_entry(name) for name in names))
    loads = LoadTable(ctx)
    return ctx, loads, [loads.get_load(table.rows[name]) for name in names]


def test_slow_server_without_reports_is_detected():
    """Guards against a slow server that is still chosen since it sends no reports."""
    ctx, loads, (usual, slow) = make_load_table("usual", "slow")
    for _ in range(15):
        loads.record_end(usual, ANSWERED, 0.15, None)
        loads.record_end(slow, ANSWERED, 1.5, None)
        advance_time(ctx, 0.05)
    assert loads.estimate_latency_s(slow) > 4.0 * loads.estimate_latency_s(usual)


def test_slow_servers_do_not_raise_the_base_latency():
    """Guards against deadlines that seem out of reach since a few servers are slow."""
    _, loads, (usual, slow) = make_load_table("usual", "slow")
    before_s = loads.base_latency_s
    for n in range(100):
        load, latency_s = (slow, 3.0) if n % 5 == 0 else (usual, 0.15)
        loads.record_end(load, ANSWERED, latency_s, None)
    assert loads.base_latency_s < 2.0 * before_s


def test_base_latency_follows_the_median_answer():
    """Guards against an estimate that stays at its initial value."""
    _, loads, (usual,) = make_load_table("usual")
    for _ in range(200):
        loads.record_end(usual, ANSWERED, 0.5, None)
    assert loads.base_latency_s == pytest.approx(0.5, rel=0.1)


def test_reported_slowness_is_not_counted_twice():
    """Guards against a server that is avoided more than its report warrants."""
    ctx, loads, (load,) = make_load_table("s-1")
    for _ in range(30):
        loads.record_end(load, ANSWERED, 0.45, LoadReport(0, 0, 2, 3.0))
        advance_time(ctx, 0.2)
    assert load.compute_unreported_slowness(ctx.now_s) == pytest.approx(1.0, rel=0.1)
    assert loads.estimate_latency_s(load) == pytest.approx(0.45, rel=0.2)


def test_unreported_slowness_decays():
    """Guards against a server that is never tried again after it was slow."""
    ctx, loads, (slow,) = make_load_table("slow")
    for _ in range(15):
        loads.record_end(slow, ANSWERED, 3.0, None)
    advance_time(ctx, 30.0)
    assert slow.compute_unreported_slowness(ctx.now_s) == pytest.approx(1.0, abs=0.05)


def test_age_of_requests_reveals_a_server_that_does_not_answer():
    """Guards against requests sent to a server that has stopped answering."""
    _, loads, (stuck,) = make_load_table("stuck")
    stuck.assigned_requests, stuck.median_age_s = 1, 2.0
    assert loads.estimate_latency_s(stuck) >= 2.0


def test_unreachable_server_is_avoided_longer_each_time():
    """Guards against repeated attempts at a server that is down."""
    ctx, loads, (load,) = make_load_table("dead")
    suspect_durations_s = []
    for _ in range(4):
        loads.record_end(load, AttemptOutcome.CONNECT_FAILED, 0.0, None)
        suspect_durations_s.append(load.suspect_until_s - ctx.now_s)
        advance_time(ctx, suspect_durations_s[-1])
        assert not load.is_suspect(ctx.now_s)
    assert suspect_durations_s == sorted(suspect_durations_s)
    assert suspect_durations_s[-1] > suspect_durations_s[0]
    loads.record_end(load, ANSWERED, 0.1, None)
    assert load.suspect_duration_s == 0.0


def test_report_adds_only_requests_of_other_instances():
    """Guards against requests of this instance that are counted twice."""
    _, loads, (load,) = make_load_table("s-1")
    load.assigned_requests = 2
    loads.record_end(load, ANSWERED, 0.1, LoadReport(3, 1, 6, 1.0))
    assert load.estimate_in_flight() == 4


def test_server_that_has_never_answered_is_tried():
    """Guards against new servers that never get a request."""
    _, loads, (known, new) = make_load_table("known", "new")
    loads.record_end(known, ANSWERED, 0.15, LoadReport(0, 0, 2, 1.0))
    assert loads.estimate_cost_s(new, "north") < loads.estimate_cost_s(known, "north")
