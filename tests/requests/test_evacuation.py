"""Requests while data centres are closed, as the platform's evacuations close them."""

import pytest

from tests.runs.deployment import CLOSED_PREFIX, Call, Deployment

# The rule: no request reaches a server so long after its data centre was closed.
EVACUATED_S = 5.0
# The target for the time after the data centre is open again.
REOPENED_S = 6.0
SERVED_RATIO_MIN = 0.95
# Far below the timeout of the routes, 1.5 s.
REFUSED_AT_ONCE_S = 0.2
NORTH_NUMBERS, SOUTH_NUMBERS = (0, 2, 4), (1, 3)
CLOSED_S = 10.0


def start_run(*server_numbers: int, cold_s: float = 0.0) -> Deployment:
    """Return a deployment in which both services have servers of some numbers."""
    run = Deployment(23)
    run.start_all(servers_per_service=0)
    for number in server_numbers:
        for service in ("roll", "box"):
            run.add_server(service, number, cold_s)
    run.fleet.run_until(run.now_s + 6.0)
    return run


def set_closed(run: Deployment, name: str, closed: bool) -> None:
    run.fleet.store.write_operator_key(CLOSED_PREFIX + name, b"" if closed else None)


def send_for(run: Deployment, seconds: float) -> list[Call]:
    """Send a request for each service to each instance every 50 ms."""
    calls = []
    end_s = run.now_s + seconds
    while run.now_s < end_s:
        for number, name in enumerate(run.instance_names):
            position = run.rng.randrange(65_536)
            service = ("roll", "box")[number % 2]
            calls.append(run.send_request(name, service, "calm", position=position))
        run.fleet.run_until(run.now_s + 0.05)
    run.fleet.run_until(run.now_s + 0.3)
    return calls


def list_executions(run: Deployment, data_centre: str, from_s: float):
    return [
        e
        for e in run.servers.executions
        if e.at_s > from_s and run.servers.by_name[e.server].data_centre == data_centre
    ]


def assert_refused_at_once(calls: list[Call]) -> None:
    assert calls
    for call in calls:
        assert call.ended_s is not None
        assert call.ended_s - call.sent_s <= REFUSED_AT_ONCE_S
        assert call.refusal is not None
        assert call.refusal.status in (429, 503)
        assert call.refusal.retry_after_s is not None


def test_closed_data_centre_gets_no_requests_although_no_other_has_servers():
    """Guards against keyed requests to a zone that cannot give its keys away.

    Its servers went on getting them for as long as the zone was closed.
    """
    run = start_run(*NORTH_NUMBERS)
    closed_s = run.now_s
    set_closed(run, "north", True)
    send_for(run, EVACUATED_S)
    assert_refused_at_once(send_for(run, CLOSED_S - EVACUATED_S))
    assert list_executions(run, "north", closed_s + EVACUATED_S) == []
    set_closed(run, "north", False)
    run.fleet.run_until(run.now_s + REOPENED_S)
    calls = send_for(run, 3.0)
    assert sum(call.answered for call in calls) >= SERVED_RATIO_MIN * len(calls)


def test_instance_that_starts_while_a_data_centre_is_closed_sends_nothing_there():
    """Guards against a grace period that begins anew with each start of a process."""
    run = start_run(*NORTH_NUMBERS)
    closed_s = run.now_s
    set_closed(run, "north", True)
    run.fleet.run_until(closed_s + EVACUATED_S)
    for name in ("i-1", "i-2"):
        run.kill_instance(name)
        run.fleet.start_instance(name)
    run.fleet.run_until(run.now_s + 0.5)
    send_for(run, 5.0)
    assert list_executions(run, "north", closed_s + EVACUATED_S) == []


def test_all_data_centres_may_be_closed_at_once():
    """Guards against requests to zones that are evacuated one after the other."""
    run = start_run(*NORTH_NUMBERS, *SOUTH_NUMBERS)
    set_closed(run, "north", True)
    send_for(run, 1.0)
    closed_s = run.now_s
    set_closed(run, "south", True)
    send_for(run, EVACUATED_S)
    assert_refused_at_once(send_for(run, 2.0))
    for name in ("north", "south"):
        assert list_executions(run, name, closed_s + EVACUATED_S) == []
        set_closed(run, name, False)
    run.fleet.run_until(run.now_s + REOPENED_S)
    calls = send_for(run, 3.0)
    assert sum(call.answered for call in calls) >= SERVED_RATIO_MIN * len(calls)


def test_request_is_refused_at_once_when_all_other_servers_leave():
    """Guards against callers that wait for what is known not to come.

    The servers of the other zone were leaving; each request was held until its timeout
    and refused only then.
    """
    run = start_run(*NORTH_NUMBERS, 1)
    for service in ("roll", "box"):
        server = run.servers.by_name[f"{service}-1-1"]
        run.servers.drain_server(server, after_s=30.0)
    run.fleet.run_until(run.now_s + 2.0)
    set_closed(run, "north", True)
    run.fleet.run_until(run.now_s + EVACUATED_S)
    assert_refused_at_once(send_for(run, 2.0))


@pytest.mark.parametrize("reopened_after_s", [0.02, 0.2, 1.0])
def test_data_centre_that_opens_again_while_keys_move_is_served(reopened_after_s):
    """Guards against keys that stay without an owner after a withdrawn evacuation."""
    run = start_run(*NORTH_NUMBERS, *SOUTH_NUMBERS)
    set_closed(run, "north", True)
    run.fleet.run_until(run.now_s + reopened_after_s)
    set_closed(run, "north", False)
    run.fleet.run_until(run.now_s + REOPENED_S)
    calls = send_for(run, 2.0)
    assert sum(call.answered for call in calls) >= SERVED_RATIO_MIN * len(calls)
    assert run.violations == []


def test_cold_servers_get_the_keys_of_a_closed_data_centre():
    """Guards against keys without an owner while the only servers left are cold.

    The warm servers of the closed zone counted, so the cold ones were passed over.
    """
    run = start_run(*NORTH_NUMBERS)
    for number in SOUTH_NUMBERS:
        run.add_server("roll", number, cold_s=30.0)
    run.fleet.run_until(run.now_s + 2.0)
    set_closed(run, "north", True)
    run.fleet.run_until(run.now_s + EVACUATED_S)
    names = {
        name
        for position in range(0, 65_536, 512)
        for name in run.servers.find_key_holders(position, "roll")
    }
    assert {run.servers.by_name[name].data_centre for name in names} == {"south"}
