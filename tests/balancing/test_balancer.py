"""Guards the choice of backend servers and the ejection of outliers."""

import random

import pytest

from wagtailrill.balancing.balancer import Balancer
from wagtailrill.balancing.models import BalancerSettings, OutlierState
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.invariants import Invariants
from wagtailrill.core.orders import AttemptOutcome
from wagtailrill.declaration.models import (
    BackendServerEntry,
    BackendServerState,
    Configuration,
    DataCentre,
    DataCentreState,
    Declaration,
    Service,
)

SERVERS = tuple(f"s-{n}" for n in range(10))
NONE = frozenset()


def configuration(servers=SERVERS, remote=(), out=(), leaving=()):
    entries = tuple(
        BackendServerEntry(
            name,
            "127.0.0.1:1",
            "dc-b" if name in remote else "dc-a",
            6,
            120,
            BackendServerState.LEAVING if name in leaving else BackendServerState.IN,
        )
        for name in servers
    )
    data_centres = tuple(
        DataCentre(d, state=DataCentreState.OUT if d in out else DataCentreState.IN)
        for d in ("dc-a", "dc-b")
    )
    return Configuration(
        1, Declaration("test", data_centres, (Service("find", (), entries),), ())
    )


class StubPermits:
    """Permits as a test sets them."""

    def __init__(self):
        self.idle_by, self.used_by, self.queued_by = {}, {}, {}

    def idle(self, name):
        return self.idle_by.get(name, 0)

    def in_use(self, name):
        return self.used_by.get(name, 0)

    def queue_length(self, name):
        return self.queued_by.get(name, 0)


def make(**kwargs):
    ctx = Context(Identity("i", 1, "dc-a"), random.Random(3), Invariants())
    permits = StubPermits()
    balancer = Balancer(ctx, permits, BalancerSettings())
    balancer.configure(configuration(**kwargs))
    return balancer, permits


def advance(balancer, seconds):
    ctx = balancer.ctx
    ctx.set_time(ctx.now_s + seconds, 0.0)
    ctx.timers.advance(ctx.now_s)


def answer(balancer, name, latency_s, count=10, outcome=AttemptOutcome.ANSWERED):
    for _ in range(count):
        advance(balancer, 0.01)
        balancer.record(name, outcome, latency_s)


def test_server_with_an_idle_permit_goes_first():
    """Guards against queueing while a held permit lies idle."""
    balancer, permits = make()
    permits.idle_by["s-7"] = 1
    answer(balancer, "s-7", 0.009)
    assert balancer.choose("find", NONE) == "s-7"


def test_lower_latency_and_fewer_outstanding_win():
    """Guards against a choice that ignores latency or outstanding requests."""
    balancer, permits = make(servers=("s-0", "s-1"))
    permits.idle_by = {"s-0": 1, "s-1": 1}
    answer(balancer, "s-0", 0.010)
    answer(balancer, "s-1", 0.020)
    assert balancer.choose("find", NONE) == "s-0"
    permits.used_by["s-0"] = 3
    assert balancer.choose("find", NONE) == "s-1"


def test_load_reports_only_break_ties():
    """Guards against a misleading load report that outweighs seen latency."""
    balancer, permits = make(servers=("s-0", "s-1"))
    permits.idle_by = {"s-0": 1, "s-1": 1}
    balancer.report_load("s-0", 0.9)
    assert balancer.choose("find", NONE) == "s-1"
    answer(balancer, "s-1", 0.05)
    assert balancer.choose("find", NONE) == "s-0"


def test_own_data_centre_is_preferred_until_its_permits_are_in_use():
    """Guards against remote work while local permits are idle, and against queueing."""
    balancer, permits = make(servers=("s-0", "s-1"), remote=("s-1",))
    permits.idle_by = {"s-0": 1, "s-1": 1}
    assert balancer.choose("find", NONE) == "s-0"
    permits.idle_by = {"s-1": 1}
    assert balancer.choose("find", NONE) == "s-1"


def test_shorter_home_queue_wins_without_idle_permits():
    """Guards against joining the longer of two queues."""
    balancer, permits = make(servers=("s-0", "s-1"))
    permits.queued_by = {"s-0": 9}
    assert {balancer.choose("find", NONE) for _ in range(20)} == {"s-1"}


@pytest.mark.parametrize(
    "changes", [{"leaving": SERVERS[:9]}, {"remote": SERVERS[:9], "out": ("dc-b",)}]
)
def test_only_servers_that_accept_work_are_chosen(changes):
    """Guards against new work for a server or data centre that is out."""
    balancer, permits = make(**changes)
    permits.idle_by = dict.fromkeys(SERVERS, 1)
    assert {balancer.choose("find", NONE) for _ in range(50)} == {"s-9"}
    assert balancer.choose("find", frozenset({"s-9"})) is None


@pytest.mark.parametrize(
    ("latency_s", "outcome"),
    [
        (0.2, AttemptOutcome.ANSWERED),
        (0.2, AttemptOutcome.CANCELLED),
        (0.01, AttemptOutcome.LOST),
        (0.01, AttemptOutcome.CONNECT_FAILED),
        (2.0, AttemptOutcome.TIMED_OUT),
    ],
)
def test_outlier_is_ejected_tried_and_taken_back(latency_s, outcome):
    """Guards against a bad server that stays in use or a good one that stays out."""
    balancer, _ = make()
    for name in SERVERS[1:]:
        answer(balancer, name, 0.01)
    row = balancer.rows["s-0"]
    answer(balancer, "s-0", latency_s, outcome=outcome)
    assert row.state is OutlierState.EJECTED
    assert "s-0" not in {balancer.choose("find", NONE) for _ in range(300)}
    advance(balancer, 6.0)
    chosen = [balancer.choose("find", NONE) for _ in range(2000)]
    assert row.state is OutlierState.PROBATION
    assert 0 < chosen.count("s-0") < 60
    answer(balancer, "s-0", 0.01)
    assert row.state is OutlierState.HEALTHY


def test_at_most_three_in_ten_are_ejected():
    """Guards against ejections that leave too few servers, or none."""
    balancer, _ = make()
    for name in SERVERS:
        answer(balancer, name, 0.01, outcome=AttemptOutcome.LOST)
    states = [balancer.rows[name].state for name in SERVERS]
    assert states.count(OutlierState.EJECTED) == 3
    assert balancer.choose("find", frozenset(SERVERS[3:])) in SERVERS[:3]


def test_returning_data_centre_gets_work_by_a_ramp():
    """Guards against a returning data centre that gets its whole share at once."""
    balancer, _ = make(remote=SERVERS[5:], out=("dc-b",))
    balancer.configure(configuration(remote=SERVERS[5:]))
    shares = []
    for _ in range(4):
        advance(balancer, 3.0)
        chosen = [balancer.choose("find", NONE) for _ in range(500)]
        shares.append(sum(c in SERVERS[5:] for c in chosen))
    assert shares[0] < shares[2]
    assert shares[0] < 200


def test_shed_requests_do_not_eject():
    """Guards against ejection of servers that only protect themselves."""
    balancer, _ = make()
    answer(balancer, "s-0", 0.01, 50, AttemptOutcome.SHED)
    assert balancer.rows["s-0"].state is OutlierState.HEALTHY
