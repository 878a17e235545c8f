"""Guards the driver against servers it does not know and steps that fail."""

import anyio
import pytest

from tests.gateway.test_connections import ORDER
from wagtailrill.core.backend import BackendErrorKind, Probe
from wagtailrill.core.commands import CallBackend, RefuseRequest, SendOrder
from wagtailrill.core.events import AttemptEnded, BackendReplied, RequestArrived
from wagtailrill.core.orders import AttemptOutcome, CallerRequest
from wagtailrill.core.refusals import Refusal, RefusalCode
from wagtailrill.daemon.driver import Driver, DriverParts
from wagtailrill.observability.metrics import Metrics
from wagtailrill.observability.tracing import JsonSpanExporter, Tracing
from wagtailrill.settings.models import Limits

REQUEST = CallerRequest(1, "GET", "/x", "", (), b"")
REFUSAL = Refusal(RefusalCode.NO_BACKEND_SERVER, "Text.")


class ScriptedEngine:
    """Answers a request with a command, and refuses it when that has ended."""

    def __init__(self, command):
        self.command = command
        self.events = []

    def step(self, event, now_s, wall_s):
        if event is None:
            return []
        self.events.append(event)
        if isinstance(event, RequestArrived):
            if self.command is None:
                raise ValueError("step fails")
            return [self.command]
        return [RefuseRequest(1, REFUSAL)]

    def next_due_s(self):
        return None


def drive(command):
    """Run one request and return the engine and the answer, if one came."""
    engine = ScriptedEngine(command)
    metrics = Metrics()
    parts = DriverParts(
        engine=engine,
        store=None,
        transport=None,
        metrics=metrics,
        tracing=Tracing(0.0, JsonSpanExporter()),
        log=lambda event: None,
        address_of=lambda name: None,
        limits=Limits(),
    )

    async def async_main():
        driver = Driver(parts)
        answer = None
        async with anyio.create_task_group() as tg:
            tg.start_soon(driver.async_run, tg)
            await anyio.sleep(0.01)
            with anyio.move_on_after(0.5):
                answer = await driver.async_handle(REQUEST)
            tg.cancel_scope.cancel()
        return answer

    return engine, anyio.run(async_main), metrics


@pytest.mark.parametrize(
    "command",
    [SendOrder(ORDER), CallBackend(1, "b", Probe())],
    ids=["order", "control call"],
)
def test_server_that_is_not_configured_is_unreachable(command):
    """Guards against connections to an address that nobody configured."""
    engine, answer, _ = drive(command)
    assert answer.status == 503
    ended = engine.events[1]
    if isinstance(command, SendOrder):
        assert isinstance(ended, AttemptEnded)
        assert ended.result.outcome is AttemptOutcome.CONNECT_FAILED
    else:
        assert isinstance(ended, BackendReplied)
        assert ended.result.error.kind is BackendErrorKind.UNREACHABLE


def test_failed_step_is_counted_and_does_not_end_the_process():
    """Guards against one request that ends all instances in turn."""
    engine, answer, metrics = drive(None)
    assert len(engine.events) == 1
    counted = b'wagtailrill_failed_steps_total{event="RequestArrived"} 1'
    assert counted in metrics.text()[0]
    assert answer.status == 500
