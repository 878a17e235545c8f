"""Guards the use of reported uptimes by the slow-start ramp."""

import pytest

from tests.engine.support import Deployment
from wagtailrill.partitions.directory import partition_of
from wagtailrill.permits.const import RESOURCE_KIND

SLOTS = 6


def capacity_after_first_use(deployment):
    """Send one request and return the capacity of the server that ran it."""
    deployment.callers.send("i-0", "POST", "/lookup", "large")
    deployment.run_for(0.3)
    server = deployment.backends.executions[-1].backend_server
    partition = partition_of(RESOURCE_KIND, server)
    home = deployment.engine("i-0").membership.home_of(partition)
    permits = deployment.engine(home.instance).permits.home
    ramp = permits.partitions[partition].rows[server].ramp
    slow_start = deployment.declaration.services[-1].slow_start
    return ramp.capacity(SLOTS, slow_start, permits.ctx.now_s)


@pytest.mark.parametrize(("uptime_s", "expected"), [(100.0, SLOTS), (4.5, 3), (0, 1)])
def test_ramp_begins_at_the_reported_uptime(uptime_s, expected):
    """Guards against a ramp from a server's first use, and against none at all."""
    deployment = Deployment(7)
    deployment.start()
    for backend in deployment.backends.by_name.values():
        backend.model.started_s = deployment.fleet.now_s - uptime_s
    assert capacity_after_first_use(deployment) == expected
