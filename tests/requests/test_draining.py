"""Tests of requests that arrive while an instance drains."""

from tests.runs.deployment import Deployment
from wagtailrill.core.events import DrainRequested
from wagtailrill.core.refusals import RefusalCode


def test_request_that_cannot_end_before_the_stop_is_refused():
    """Guards against requests that are cut off when a draining instance stops.

    On pcb-gate, trouble-2 with seed 356472740660, an instance accepted a request 4.8 s
    after SIGTERM and stopped before the answer came. The load balancer sends new
    connections to a draining instance when half of its data centre is not ready.
    """
    run = Deployment(3, instances=2)
    run.start_all()
    run.fleet.deliver_event("i-1", DrainRequested(5.0), 0.0)
    run.fleet.run_until(run.now_s + 1.0)
    early_call = run.send_request("i-1")
    run.fleet.run_until(run.now_s + 3.0)
    late_call = run.send_request("i-1")
    run.fleet.run_until(run.now_s + 0.5)
    assert early_call.answered
    assert late_call.refusal is not None
    assert late_call.refusal.code is RefusalCode.DRAINING
    assert late_call.promised_not_run
    assert not run.find_executions(late_call)
