"""Tests how many requests a dispatcher serves in time while load is at its worst."""

import pytest

from tests.placement.load_patterns import LoadPattern, LoadReplay
from tests.support import make_server_entry
from wagtailrill.servers.load import LoadTable

from .test_dispatcher import DispatcherHarness

SERVERS = 300
CALLERS = 200
# What a dispatcher that knows everything would serve in time, less a tenth.
SERVED_RATIO_MIN = 0.9


PATTERNS = [
    (LoadPattern("steady", lambda at_s: 0.3, duration_s=2.0), 1.0),
    (
        LoadPattern(
            "slow third",
            lambda at_s: 0.3,
            slowness=lambda server, at_s: 4.0 if server % 3 == 0 else 1.0,
            duration_s=2.0,
        ),
        1.0,
    ),
    (
        LoadPattern(
            "half of the servers gone",
            lambda at_s: 0.35,
            present=lambda server, at_s: at_s < 0.8 or server % 2 == 0,
            duration_s=2.0,
        ),
        # Requests that run at a server when it ends are lost: 0.06 s of 2 s.
        0.97,
    ),
]


@pytest.mark.parametrize(
    ("pattern", "possible_ratio"), PATTERNS, ids=[p.name for p, _ in PATTERNS]
)
def test_requests_are_served_in_time(pattern, possible_ratio):
    """Guards against slots that stay free while requests wait or are refused."""
    result = LoadReplay(pattern, SERVERS, CALLERS, seed=7).run()
    assert result.in_time_ratio >= SERVED_RATIO_MIN * possible_ratio, result
    assert result.refused_with_free_slots == 0, result


def test_burst_beyond_capacity_costs_no_more_than_its_excess():
    """Guards against a queue that makes all requests late, and lasts after the burst.

    For a second 1.5 times as many requests come as the servers can run.
    """
    pattern = LoadPattern(
        "burst", lambda at_s: 1.5 if 0.5 <= at_s < 1.5 else 0.3, duration_s=2.0
    )
    result = LoadReplay(pattern, 60, CALLERS, seed=7).run()
    requests = 0.3 * 1.0 + 1.5 * 1.0
    served = 0.3 * 1.0 + 1.0 * 1.0
    assert result.in_time_ratio >= SERVED_RATIO_MIN * served / requests, result


def count_estimates(monkeypatch, servers: int, requests: int) -> int:
    """Return how many costs are estimated while requests are placed and end."""
    harness = DispatcherHarness(
        *(make_server_entry(f"s-{n}", slots=6) for n in range(servers))
    )
    numbers = [harness.send_request() for _ in range(servers * 3)]
    count = 0
    original = LoadTable.estimate_local_cost_s

    def count_estimate(table, load):
        nonlocal count
        count += 1
        return original(table, load)

    with monkeypatch.context() as patch:
        patch.setattr(LoadTable, "estimate_local_cost_s", count_estimate)
        for number in numbers[:requests]:
            harness.send_request()
            harness.end_request(number)
    return count


def test_cost_of_a_placement_does_not_grow_with_the_servers(monkeypatch):
    """Guards against a dispatcher that looks at all servers for each request.

    With 283 servers it placed 130 requests a second, and pcb-gate-large sends 800.
    """
    few = count_estimates(monkeypatch, 30, 90)
    many = count_estimates(monkeypatch, 300, 90)
    assert many <= 1.5 * few
