"""Guards the rates of organisations over all instances, on the virtual clock."""

import pytest

from tests.runs.declaration import ORGANISATIONS, RATES
from tests.runs.deployment import Deployment

WITHIN_PER_S = 9.0  # of the 12/s that organisation `busy` has


@pytest.fixture
def run():
    deployment = Deployment(21)
    deployment.start()
    deployment.fleet.run_until(deployment.now_s + 3.0)
    return deployment


def send(run, seconds, per_s, names, organisation="busy"):
    """Return the calls of an even load at some instances."""
    calls, end_s, number = [], run.now_s + seconds, 0
    while run.now_s < end_s:
        calls.append(run.call(names[number % len(names)], organisation=organisation))
        number += 1
        run.fleet.run_until(run.now_s + 1.0 / per_s)
    run.fleet.run_until(run.now_s + 1.0)
    return calls


def most_in_window(run, organisation="busy"):
    times = sorted(
        e.at_s for e in run.servers.executions if e.organisation == organisation
    )
    return max(
        sum(0 <= other - at_s < RATES.window_s for other in times) for at_s in times
    )


def test_organisation_within_its_rate_is_not_refused(run):
    """Guards against wrongful refusals where callers are spread unevenly."""
    calls = send(run, 6.0, WITHIN_PER_S, ["i-1", "i-1", "i-1", "i-2"])
    refused = [c for c in calls if c.refusal is not None]
    assert len(refused) <= len(calls) * 0.02


def test_organisation_far_beyond_its_rate_stays_within_the_bound(run):
    """Guards against an organisation that gets its rate at each instance."""
    send(run, 8.0, 200.0, run.names)
    assert most_in_window(run) <= RATES.bound(ORGANISATIONS["busy"])


def test_bound_holds_when_the_issuer_is_lost(run):
    """Guards against a successor that issues what its predecessor has issued."""
    send(run, 3.0, 200.0, run.names)
    issuers = [
        n for n in run.names if any(map(_issues, run.router(n).duties.list_held()))
    ]
    run.kill(issuers[0])
    rest = [n for n in run.names if n != issuers[0]]
    send(run, 6.0, 200.0, rest)
    assert most_in_window(run) <= RATES.bound(ORGANISATIONS["busy"])


def test_bound_holds_while_instances_cannot_reach_each_other(run):
    """Guards against instances that count alone and exceed the rate together."""
    run.fleet.partition({"i-1"})
    run.fleet.partition({"i-2"})
    send(run, 8.0, 200.0, run.names)
    assert most_in_window(run) <= RATES.bound(ORGANISATIONS["busy"])


def test_cut_off_instance_serves_its_own_part(run):
    """Guards against an instance that refuses everybody without an issuer."""
    for name in run.names[1:]:
        run.fleet.cut("i-1", name)
    calls = send(run, 4.0, 2.0, ["i-1"], organisation="calm")
    assert sum(c.answered for c in calls) >= len(calls) * 0.7


def _issues(duty: str) -> bool:
    return duty.startswith("rates/")


def test_all_processes_lost_at_once_leave_the_bound_and_serve_at_once(run):
    """Guards against organisations that are refused after a loss of all instances.

    On trouble-2 of pcb-gate 746 answers were 429 in the second after such a loss.
    """
    send(run, 6.0, WITHIN_PER_S, run.names)
    for name in run.names:
        run.kill(name)
    run.fleet.run_until(run.now_s + 3.0)
    for name in run.names:
        run.fleet.start(name)
    run.fleet.run_until(run.now_s + 1.0)
    calls = send(run, 2.0, 5.0, ["i-1", "i-2"])
    refused = [c for c in calls if c.refusal and c.refusal.status == 429]
    assert len(refused) <= 1
    assert most_in_window(run) <= RATES.bound(ORGANISATIONS["busy"])


def test_full_start_is_allowed_once_in_a_window(run):
    """Guards against issuers that are lost one after the other, each with full ones."""
    for _ in range(3):
        issuers = {n for n in run.fleet.nodes if any(_issues(d) for d in held(run, n))}
        send(run, 0.5, 200.0, list(run.fleet.nodes))
        for name in issuers:
            run.kill(name)
            run.fleet.start(name)
    send(run, 4.0, 200.0, list(run.fleet.nodes))
    assert most_in_window(run) <= RATES.bound(ORGANISATIONS["busy"])


def held(run, name):
    return run.router(name).duties.list_held()
