"""Guards planned stops of an instance."""

from tests.runs.deployment import Deployment
from wagtailrill.core.events import DrainRequested
from wagtailrill.core.refusals import RefusalCode


def test_request_that_cannot_end_before_the_stop_is_refused():
    """Guards against requests that a planned stop breaks off.

    On pcb-gate, trouble-2 with seed 356472740660, an instance took a request 4.8 s
    after SIGTERM and ended before the answer came; the load balancer sends new
    connections to it when half of its data centre is not ready.
    """
    run = Deployment(3, instances=2)
    run.start()
    run.fleet.deliver("i-1", DrainRequested(5.0), 0.0)
    run.fleet.run_until(run.now_s + 1.0)
    taken = run.call("i-1")
    run.fleet.run_until(run.now_s + 3.0)
    late = run.call("i-1")
    run.fleet.run_until(run.now_s + 0.5)
    assert taken.answered
    assert late.refusal is not None
    assert late.refusal.code is RefusalCode.DRAINING
    assert late.promised_not_run
    assert not run.executions_of(late)
