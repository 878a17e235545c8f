"""Guards the plain router: an unfair baseline would flatter the product."""

import pytest
from expression import Error

from tests.engine.support import TENANT_KEYS, make_declaration
from wagtailrill.core.backend import BackendError, BackendErrorKind
from wagtailrill.core.commands import (
    AnswerRequest,
    CallBackend,
    RefuseRequest,
    SendOrder,
)
from wagtailrill.core.events import AttemptEnded, BackendReplied, RequestArrived
from wagtailrill.core.orders import AttemptOutcome, AttemptResult, CallerRequest
from wagtailrill.core.refusals import Ran, RefusalCode
from wagtailrill.organisations.const import TENANT_KEY_HEADER
from wagtailrill.stand_ins.plain_router import PlainRouter, PlainSettings


def make_router(instance_count=1, **rates):
    return PlainRouter(PlainSettings(instance_count), make_declaration(**rates))


def arrive(router, number, method="POST", path="/lookup", now_s=0.01):
    headers = ((TENANT_KEY_HEADER, TENANT_KEYS["large"][0].encode()),)
    req = CallerRequest(number, method, path, "", headers, b"")
    return router.step(RequestArrived(req), now_s, now_s)


def end(router, order, outcome, now_s=0.02):
    result = AttemptResult(order.attempt_id, outcome, 0.01)
    return router.step(AttemptEnded(result), now_s, now_s)


def orders(commands):
    return [c.order for c in commands if isinstance(c, SendOrder)]


def test_requests_go_round_the_servers_in_order_of_arrival():
    """Guards against a baseline that balances better or worse than round robin."""
    router = make_router()
    sent = [orders(arrive(router, n))[0] for n in range(6)]
    assert [o.backend_server for o in sent] == ["lookup-0", "lookup-1", "lookup-2"] * 2


def test_waiting_requests_start_in_order_of_arrival():
    """Guards against a queue that is not first in, first out."""
    router = make_router(instance_count=18)
    first = orders(arrive(router, 1))
    assert [orders(arrive(router, n)) for n in (2, 3)] == [[], []]
    commands = end(router, first[0], AttemptOutcome.ANSWERED)
    assert isinstance(commands[0], AnswerRequest)
    assert [o.request_id for o in orders(commands)] == [2]


def test_rates_are_split_evenly_over_instances():
    """Guards against a baseline that is given more than its share of a rate."""
    router = make_router(instance_count=4, rate_per_s=8.0, burst=8.0)
    codes = [
        c.refusal.code
        for n in range(4)
        for c in arrive(router, n)
        if isinstance(c, RefuseRequest)
    ]
    assert codes == [RefusalCode.RATE_LIMITED] * 2
    assert len(orders(arrive(router, 9, now_s=0.6))) == 1


def test_failed_health_checks_remove_a_server_and_move_keys():
    """Guards against a baseline whose keys stay with a lost owner."""
    router = make_router()
    hashed = 1
    assert router.owner_of("ledger", hashed) == "ledger-1"
    for now_s in (1.0, 2.1):
        probes = [
            c for c in router.step(None, now_s, now_s) if isinstance(c, CallBackend)
        ]
        lost = next(c for c in probes if c.backend_server == "ledger-1")
        error = Error(BackendError(BackendErrorKind.UNREACHABLE))
        router.step(BackendReplied(lost.call_id, error), now_s, now_s)
    assert router.live_servers("ledger") == ["ledger-0", "ledger-2"]
    assert router.owner_of("ledger", hashed) == "ledger-2"


@pytest.mark.parametrize(
    ("path", "outcome", "attempts", "ran"),
    [
        ("/lookup", AttemptOutcome.LOST, 2, Ran.UNKNOWN),
        ("/release", AttemptOutcome.LOST, 1, Ran.UNKNOWN),
        ("/release", AttemptOutcome.SHED, 2, Ran.NO),
    ],
)
def test_only_what_may_run_again_is_retried_once(path, outcome, attempts, ran):
    """Guards against a baseline that runs a request twice or says falsely `no`."""
    router = make_router()
    commands, sent = arrive(router, 1, path=path), 0
    while orders(commands):
        sent += 1
        commands = end(router, orders(commands)[0], outcome)
    assert sent == attempts
    assert commands[0].refusal.ran is ran
