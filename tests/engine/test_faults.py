"""Guards the request path against the failures that the design lists."""

import attrs
import pytest
from expression import Error, Ok

from tests.engine.support import Deployment, make_declaration
from wagtailrill.core.backend import BackendError, BackendErrorKind, Health
from wagtailrill.core.commands import SendOrder
from wagtailrill.core.events import CallerLeft, DrainRequested
from wagtailrill.core.refusals import Ran
from wagtailrill.declaration.models import BackendServerState, DataCentreState
from wagtailrill.engine.draining import DrainState
from wagtailrill.engine.models import Attempt, RequestState
from wagtailrill.engine.refusal_texts import CUT_OFF
from wagtailrill.permits.models import Permit


@pytest.fixture
def deployment():
    """Return a fleet that has come up."""
    deployment = Deployment(seed=7, instance_count=4)
    deployment.start()
    return deployment


def send_lookups(deployment, count, instance="i-0", interval_s=0.01):
    """Send idempotent requests at an interval and wait for their answers."""
    deliveries = []
    for _ in range(count):
        deliveries.append(deployment.callers.send(instance, "POST", "/lookup", "small"))
        deployment.run_for(interval_s)
    deployment.run_for(3.0)
    return deliveries


def send_release(deployment, instance="i-0", key=None, body=b"x"):
    """Send a request that must run once."""
    key = key or deployment.idempotency_key()
    return deployment.callers.send(instance, "POST", "/release", "small", key, body)


def owner_of(deployment, service, key):
    """Return the backend server that owns a key."""
    return deployment.engine("i-0").ownership.route(service, key).backend_server


def test_deadline_of_a_waiting_request_frees_its_place(deployment):
    """Guards against a server that gets no requests after others have timed out."""
    owner = owner_of(deployment, "card", b"k1")
    deployment.backends.freeze(owner)
    for _ in range(20):
        deployment.callers.send("i-0", "GET", "/card/k1", "small")
    deployment.run_for(0.5)
    deployment.backends.unfreeze(owner)
    deployment.run_for(4.0)
    after = deployment.callers.send("i-0", "GET", "/card/k1", "small")
    deployment.run_for(2.5)
    assert after.answered


def test_caller_that_leaves_frees_its_place(deployment):
    """Guards against places that are lost with callers that do not wait."""
    owner = owner_of(deployment, "card", b"k1")
    deployment.backends.freeze(owner)
    for number in range(20):
        deployment.callers.send("i-0", "GET", "/card/k1", "small")
        deployment.fleet.deliver("i-0", CallerLeft(number + 1), 0.1)
    deployment.run_for(0.3)
    deployment.backends.unfreeze(owner)
    deployment.run_for(3.0)
    after = deployment.callers.send("i-0", "GET", "/card/k1", "small")
    deployment.run_for(2.5)
    assert after.answered


def test_crashing_request_is_stopped_through_any_instance(deployment):
    """Guards against a request that crashes server after server."""
    starts = {
        n: b.model.starts
        for n, b in deployment.backends.by_name.items()
        if n.startswith("lookup")
    }
    deliveries = []
    for number in range(6):
        deliveries.append(
            deployment.callers.send(
                f"i-{number % 4}", "POST", "/lookup", "small", body=b"crash-the-server"
            )
        )
        deployment.run_for(2.5)
    models = {n: deployment.backends.by_name[n].model for n in starts}
    crashes = sum(models[n].starts - starts[n] for n in starts)
    assert crashes <= 2
    assert deliveries[-1].code == "request_crashes_servers"


def test_crashing_request_that_is_not_idempotent_is_stopped_after_one(deployment):
    """Guards against a second crash by a request that may have run."""
    for number in range(4):
        send_release(deployment, f"i-{number}", body=b"crash-the-server")
        deployment.run_for(2.5)
    crashes = sum(
        b.model.starts - 1
        for n, b in deployment.backends.by_name.items()
        if n.startswith("release")
    )
    assert crashes == 1
    assert deployment.callers.deliveries[-1].ran is Ran.UNKNOWN


def test_look_alike_of_a_crashing_request_is_served(deployment):
    """Guards against blocking healthy requests."""
    deployment.callers.send("i-0", "POST", "/lookup", "small", body=b"crash-the-server")
    deployment.run_for(3.0)
    after = deployment.callers.send("i-1", "POST", "/lookup", "small", body=b"harmless")
    deployment.run_for(2.0)
    assert after.answered


@pytest.mark.parametrize(
    ("probed", "crashed"),
    [
        (Error(BackendError(BackendErrorKind.UNREACHABLE)), True),
        (Error(BackendError(BackendErrorKind.TIMEOUT)), False),
        (Ok(Health(True, "s-2", 0.1, 0.0)), True),
        (Ok(Health(True, "s-1", 900.0, 0.0)), False),
    ],
    ids=["refused", "silent", "other start", "same start"],
)
def test_only_a_crash_counts_against_a_request(deployment, probed, crashed):
    """Guards against blocking requests whose server was only cut off or stalled."""
    permit = Permit(1, "lookup-0", 1, may_connect=False)
    attempt = Attempt(1, permit, None, 0.0, "s-1")
    runner = deployment.engine("i-0").pipeline._attempts
    assert runner._crashed(attempt, probed) is crashed


@pytest.mark.parametrize("state", ["data_centre", "backend_server"])
def test_no_new_work_after_an_operator_takes_servers_out(deployment, state):
    """Guards against work for a data centre or server that operators took out."""
    declaration = make_declaration()
    if state == "data_centre":
        out = attrs.evolve(declaration.data_centres[1], state=DataCentreState.OUT)
        data_centres = (declaration.data_centres[0], out, declaration.data_centres[2])
        changed = attrs.evolve(declaration, data_centres=data_centres)
        names = {"lookup-1"}
    else:
        services = list(declaration.services)
        servers = services[3].backend_servers
        leaving = attrs.evolve(servers[0], state=BackendServerState.LEAVING)
        services[3] = attrs.evolve(services[3], backend_servers=(leaving, *servers[1:]))
        changed = attrs.evolve(declaration, services=tuple(services))
        names = {"lookup-0"}
    deployment.write_configuration(changed)
    deployment.run_for(3.0)
    since_s = deployment.fleet.now_s
    deliveries = send_lookups(deployment, 60)
    late = [
        x
        for x in deployment.backends.executions
        if x.backend_server in names and x.at_s > since_s
    ]
    assert late == []
    assert all(d.answered for d in deliveries)


def test_withdrawn_key_stops_within_three_seconds_also_in_a_queue(deployment):
    """Guards against a withdrawn tenant key that goes on working."""
    owner = owner_of(deployment, "card", b"k1")
    deployment.backends.freeze(owner)
    for _ in range(6):
        deployment.callers.send("i-0", "GET", "/card/k1", "large")
    deployment.run_for(0.1)
    queued = deployment.callers.send("i-0", "GET", "/card/k1", "small")
    declaration = make_declaration()
    small = attrs.evolve(declaration.organisations[1], tenant_keys=())
    organisations = (declaration.organisations[0], small)
    deployment.write_configuration(
        attrs.evolve(declaration, organisations=organisations)
    )
    deployment.run_for(1.0)
    deployment.backends.unfreeze(owner)
    deployment.run_for(2.0)
    after = [
        deployment.callers.send(name, "POST", "/lookup", "small")
        for name in ("i-0", "i-3")
    ]
    deployment.run_for(1.0)
    assert {d.code for d in after} == {"tenant_key_invalid"}
    ran = {x.delivery for x in deployment.backends.executions}
    assert queued.name not in ran
    assert queued.ran is Ran.NO


def test_backend_server_sees_the_organisation_but_no_tenant_key(deployment):
    """Guards against tenant keys that reach backend servers."""
    seen = []
    handler = deployment.backends._send_order
    deployment.fleet.on_command(
        SendOrder, lambda name, c: (seen.append(c.order), handler(name, c))
    )
    send_lookups(deployment, 1)
    headers = dict(seen[0].headers)
    assert headers[b"wagtailrill-organisation"] == b"small"
    assert b"x-tenant-key" not in headers
    assert not any(b"wr_" in value for value in headers.values())


def test_planned_stop_cuts_no_request_and_keeps_claims(deployment):
    """Guards against requests and idempotency records lost in a planned stop."""
    first = [send_release(deployment, "i-1") for _ in range(8)]
    deployment.run_for(2.0)
    assert all(d.answered for d in first)
    deployment.fleet.deliver("i-2", DrainRequested(), 0.0)
    during = []
    for _ in range(60):
        during.append(deployment.callers.send("i-2", "POST", "/lookup", "small"))
        deployment.run_for(0.05)
    assert not deployment.engine("i-2").ready()
    deployment.run_for(6.0)
    assert deployment.engine("i-2").drain.state is DrainState.STOPPED
    assert all(d.answered for d in during)
    deployment.kill("i-2")
    again = [send_release(deployment, "i-3", d.idempotency_key) for d in first]
    deployment.run_for(2.0)
    assert [d.answered_by for d in again] == [d.name for d in first]


def test_cold_server_gets_no_more_than_it_can_bear(deployment):
    """Guards against overload of a server that restarted without warning."""
    for number in range(100):
        if number == 50:
            deployment.backends.crash("lookup-1", down_s=0.0)
        for name in deployment.names:
            deployment.callers.send(name, "POST", "/lookup", "small")
        deployment.run_for(0.02)
    deployment.run_for(3.0)
    assert deployment.backends.by_name["lookup-1"].model.overloads == 0
    assert sum(d.answered for d in deployment.callers.deliveries) >= 395


def test_lost_owner_is_replaced_within_four_seconds(deployment):
    """Guards against keys that stay without an owner."""
    owner = owner_of(deployment, "ledger", b"k1")
    deployment.backends.freeze(owner)
    lost_s = deployment.fleet.now_s
    served_s = None
    while served_s is None and deployment.fleet.now_s < lost_s + 6.0:
        delivery = deployment.callers.send("i-1", "GET", "/ledger/k1", "small")
        deployment.run_for(0.1)
        if delivery.answered:
            served_s = deployment.fleet.now_s
    assert served_s is not None
    assert served_s - lost_s <= 4.0


def test_deferrable_requests_over_the_rate_wait_and_arrive():
    """Guards against stock summaries refused for their organisation's rate."""
    deployment = Deployment(
        seed=3,
        instance_count=3,
        declaration=make_declaration(rate_per_s=5.0, burst=5.0),
    )
    deployment.start()
    summaries, lookups = [], []
    for _ in range(40):
        summaries.append(deployment.callers.send("i-0", "GET", "/summary", "small"))
        lookups.append(deployment.callers.send("i-1", "POST", "/lookup", "small"))
    deployment.run_for(60.0)
    assert all(d.answered for d in summaries)
    assert any(d.code == "rate_limited" for d in lookups)


@pytest.fixture
def running(deployment):
    """Return a request that runs on one server, and a permit for another."""
    for name in ("lookup-0", "lookup-1", "lookup-2"):
        deployment.backends.by_name[name].model.slowdown = 200.0
    delivery = deployment.callers.send("i-0", "POST", "/lookup", "small")
    deployment.run_for(0.1)
    pipeline = deployment.engine("i-0").pipeline
    (row,) = pipeline._rows.values()
    other = next(n for n in ("lookup-0", "lookup-1") if n not in row.tried)
    permits = []
    deployment.engine("i-0").permits.acquire(
        other, 999, "small", float("inf"), permits.append
    )
    deployment.run_for(0.1)
    return pipeline, row, permits[0], delivery


def test_hedge_that_may_not_be_sent_leaves_the_first_attempt(deployment, running):
    """Guards against `ran: no` about a request whose first attempt is running."""
    pipeline, row, permit, delivery = running
    pipeline.check_before_order = lambda row: CUT_OFF
    pipeline._attempts._hedge_permitted(row, permit)
    deployment.run_for(3.0)
    assert delivery.ran is not Ran.NO
    assert delivery.code != "cut_off"


def test_refusal_during_an_attempt_says_that_it_may_have_run(deployment, running):
    """Guards against `ran: no` about a request that was sent."""
    pipeline, row, _, delivery = running
    deployment.fleet.call_later(0.0, lambda: pipeline.refuse(row, CUT_OFF))
    deployment.run_for(0.01)
    deployment.fleet.deliver("i-0", None, 0.0)
    deployment.run_for(1.0)
    assert delivery.ran is Ran.UNKNOWN


def test_lost_attempt_is_judged_only_while_nothing_else_was_decided(running):
    """Guards against a request that is queued twice after a lost hedge."""
    pipeline, row, _, _ = running
    row.attempts.clear()
    row.state = RequestState.QUEUED
    pipeline._attempts._after_loss(row)
    assert pipeline.current(row)
    assert row.state is RequestState.QUEUED
