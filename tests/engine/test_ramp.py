"""Guards the use of reported uptimes by the slow-start ramp."""

import pytest

from tests.engine.support import Deployment
from wagtailrill.core.backend import Health
from wagtailrill.partitions.directory import partition_of
from wagtailrill.permits.const import RESOURCE_KIND

SLOTS = 6


def use_once(deployment):
    """Send one request and return its server's account and the home's permits."""
    deployment.callers.send("i-0", "POST", "/lookup", "large")
    deployment.run_for(0.3)
    server = deployment.backends.executions[-1].backend_server
    partition = partition_of(RESOURCE_KIND, server)
    home = deployment.engine("i-0").membership.home_of(partition)
    permits = deployment.engine(home.instance).permits.home
    return permits.partitions[partition].rows[server], permits


def capacity(deployment, row, permits):
    """Return how many slots the home lends now."""
    slow_start = deployment.declaration.services[-1].slow_start
    return row.ramp.capacity(SLOTS, slow_start, permits.ctx.now_s)


@pytest.mark.parametrize(("uptime_s", "expected"), [(100.0, SLOTS), (4.5, 3), (0, 1)])
def test_ramp_begins_at_the_reported_uptime(uptime_s, expected):
    """Guards against a ramp from a server's first use, and against none at all."""
    deployment = Deployment(7)
    deployment.start()
    for backend in deployment.backends.by_name.values():
        backend.model.started_s = deployment.fleet.now_s - uptime_s
    assert capacity(deployment, *use_once(deployment)) == expected


def test_health_of_an_earlier_start_does_not_end_the_ramp():
    """Guards against a health report that lags behind a restart."""
    deployment = Deployment(7)
    deployment.start()
    for name in deployment.backends.by_name:
        deployment.backends.crash(name, 0.0)
    row, permits = use_once(deployment)
    late = Health(True, "earlier-start", 100.0, 0.0)
    permits._take_health(row, late, permits.ctx.now_s)
    assert row.ramp.start_id != late.start_id
    assert capacity(deployment, row, permits) == 1
