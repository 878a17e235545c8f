"""Guards requests that wait for keys while operators take a data centre out."""

import attrs

from tests.engine.support import Deployment
from wagtailrill.declaration.models import DataCentreState
from wagtailrill.engine.placement import Placement

CALLS_MAX = 20_000


def bounded(target):
    """Fail instead of running without end."""
    calls = 0

    def count(placement, row):
        nonlocal calls
        calls += 1
        assert calls < CALLS_MAX, "requests are placed again and again"
        return target(placement, row)

    return count


def test_waiting_requests_of_a_withdrawn_owner_do_not_loop(monkeypatch):
    """Guards against an instance that hangs on permits that are denied at once."""
    deployment = Deployment(3)
    deployment.start()
    for backend in deployment.backends.by_name.values():
        backend.model.slowdown = 40.0
    monkeypatch.setattr(Placement, "target", bounded(Placement.target))
    sent = [
        deployment.callers.send("i-0", "GET", f"/ledger/k{n}", "large")
        for n in range(60)
    ]
    deployment.run_for(0.1)
    assert deployment.engine("i-0").pipeline.queued()["ledger"] > 0
    data_centres = tuple(
        attrs.evolve(dc, state=DataCentreState.OUT) if dc.name == "dc-2" else dc
        for dc in deployment.declaration.data_centres
    )
    deployment.write_configuration(
        attrs.evolve(deployment.declaration, data_centres=data_centres)
    )
    deployment.run_for(4.0)
    assert all(d.ended_s is not None for d in sent)
    assert sum(d.answered for d in sent) >= 55
