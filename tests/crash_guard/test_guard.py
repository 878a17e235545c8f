"""Guards the stop of requests that crash each server, on the virtual clock."""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.core.refusals import RefusalCode


@pytest.fixture
def run():
    deployment = Deployment(41)
    deployment.start(servers_per_service=6)
    return deployment


def crash_with(run, instance):
    """Let an instance lose a request together with the server that runs it."""
    call = run.call(instance, method="POST")
    while not run.executions_of(call):
        run.fleet.run_until(run.now_s + 0.001)
    server = run.servers.by_name[run.executions_of(call)[-1].server]
    run.servers.crash(server, 5.0)
    run.fleet.run_until(run.now_s + 0.8)
    return call


def test_request_is_stopped_everywhere_after_three_crashes(run):
    """Guards against a request that comes again through other instances."""
    for name in ("i-1", "i-2", "i-3"):
        crash_with(run, name)
    before = len(run.servers.executions)
    again = [run.call(name, method="POST") for name in run.names]
    run.fleet.run_until(run.now_s + 1.0)
    assert {c.refusal.code for c in again} == {RefusalCode.REQUEST_CRASHES_SERVERS}
    assert len(run.servers.executions) == before


def test_other_requests_are_not_stopped(run):
    """Guards against a service that is blocked for one bad request."""
    for name in ("i-1", "i-2", "i-3"):
        crash_with(run, name)
    other = run.call("i-1", method="GET")
    run.fleet.run_until(run.now_s + 1.0)
    assert other.answered


def test_one_crash_stops_nothing(run):
    """Guards against requests that are blocked since their server died by chance."""
    crash_with(run, "i-1")
    again = run.call("i-2", method="POST")
    run.fleet.run_until(run.now_s + 1.5)
    assert again.answered
