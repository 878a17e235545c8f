"""Guards tenant keys against leaving the instance that receives them."""

import io

import pytest

from tests.engine.support import TENANT_KEYS, Deployment
from wagtailrill.core.commands import LogEvent, SendOrder, SendPeer
from wagtailrill.core.orders import AttemptOutcome, AttemptResult, CallerRequest, Order
from wagtailrill.observability.metrics import Metrics
from wagtailrill.observability.tracing import JsonSpanExporter, Tracing
from wagtailrill.organisations.const import TENANT_KEY_HEADER

KEY = TENANT_KEYS["small"][0]
SECRET = KEY.rpartition("_")[2]


def test_no_command_carries_a_tenant_key():
    """Guards against a key in a peer message, log line, order, answer or status."""
    deployment = Deployment(seed=11, instance_count=2)
    seen = {SendPeer: [], LogEvent: [], SendOrder: []}

    def observe(step):
        def observed(*args):
            commands = step(*args)
            for command in commands:
                seen.setdefault(type(command), []).append(repr(command))
            return commands

        return observed

    for name in deployment.names:
        engine = deployment.engine(name)
        engine.step = observe(engine.step)
    deployment.start()
    send = deployment.callers.send
    key = deployment.idempotency_key()
    for instance in deployment.names:
        send(instance, "GET", "/ledger/k1", "small")
        send(instance, "POST", "/lookup", "small")
        send(instance, "POST", "/release", "small", key, b"x")
        send(instance, "GET", "/nowhere", "small")
        deployment.run_for(2.0)
    deployment.backends.freeze("lookup-0")
    for _ in range(30):
        send("i-0", "POST", "/lookup", "small")
    deployment.run_for(3.0)
    assert sum(d.answered for d in deployment.callers.deliveries) > 20
    assert all(seen[cls] for cls in (SendPeer, LogEvent, SendOrder))
    texts = [text for found in seen.values() for text in found]
    texts += [repr(deployment.engine(name).status()) for name in deployment.names]
    assert not [text for text in texts if SECRET in text]


@pytest.fixture
def request_with_key():
    """Return a sampled request that carries a key."""
    headers = ((TENANT_KEY_HEADER, KEY.encode()),)
    return CallerRequest(1, "POST", "/lookup", "q=1", headers, b"body")


def test_no_span_carries_a_tenant_key(request_with_key):
    """Guards against a key in the attributes of a span."""
    stream = io.StringIO()
    tracing = Tracing(1.0, JsonSpanExporter(stream))
    span = tracing.start_request(request_with_key)
    order = Order(
        attempt_id=1,
        request_id=1,
        backend_server="lookup-0",
        method="POST",
        target="/lookup",
        headers=request_with_key.headers,
        body=b"body",
        expires_unix_s=1.0,
        timeout_s=1.0,
        may_connect=False,
    )
    attempt = tracing.start_attempt(span, order)
    attempt.end(AttemptResult(1, AttemptOutcome.ANSWERED, 0.1))
    span.end(200, "answered")
    tracing.shutdown()
    assert stream.getvalue().count('"span"') == 2
    assert SECRET not in stream.getvalue()
    assert all(SECRET not in str(headers) for headers in attempt.headers)


def test_no_metric_carries_a_tenant_key():
    """Guards against a key in the name or label of a metric."""
    deployment = Deployment(seed=12, instance_count=1)
    deployment.start()
    deployment.callers.send("i-0", "POST", "/lookup", "small")
    deployment.run_for(1.0)
    metrics = Metrics()
    status = deployment.engine("i-0").status()
    metrics.set_state({k: float(v) for k, v in status.items() if isinstance(v, int)})
    metrics.record_request(200, "answered", 0.1)
    assert SECRET.encode() not in metrics.text()[0]
