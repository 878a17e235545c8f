"""Tests that requests which crash backend servers are blocked, on a virtual clock."""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.core.refusals import RefusalCode


@pytest.fixture
def run():
    deployment = Deployment(41)
    deployment.start_all(servers_per_service=6)
    return deployment


def crash_server_with_request(run, instance):
    """Send a request through an instance and crash the server that runs it."""
    call = run.send_request(instance, method="POST")
    while not run.find_executions(call):
        run.fleet.run_until(run.now_s + 0.001)
    server = run.servers.by_name[run.find_executions(call)[-1].server]
    run.servers.crash_server(server, 5.0)
    run.fleet.run_until(run.now_s + 0.8)
    return call


def test_request_is_blocked_on_all_instances_after_three_crashes(run):
    """Guards against further crashes when the caller repeats a crashing request.

    Each instance alone has seen only one crash, so they have to share their counts.
    """
    for name in ("i-1", "i-2", "i-3"):
        crash_server_with_request(run, name)
    before = len(run.servers.executions)
    again = [run.send_request(name, method="POST") for name in run.instance_names]
    run.fleet.run_until(run.now_s + 1.0)
    assert {c.refusal.code for c in again} == {RefusalCode.REQUEST_CRASHES_SERVERS}
    assert len(run.servers.executions) == before


def test_other_requests_are_not_blocked(run):
    """Guards against blocking a whole service because of one crashing request."""
    for name in ("i-1", "i-2", "i-3"):
        crash_server_with_request(run, name)
    other = run.send_request("i-1", method="GET")
    run.fleet.run_until(run.now_s + 1.0)
    assert other.answered


def test_one_crash_does_not_block_a_request(run):
    """Guards against blocking a request whose server crashed for another reason."""
    crash_server_with_request(run, "i-1")
    again = run.send_request("i-2", method="POST")
    run.fleet.run_until(run.now_s + 1.5)
    assert again.answered
