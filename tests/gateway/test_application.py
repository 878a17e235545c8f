"""Guards the caller side: sizes, refusals and callers that leave."""

import json

import anyio
import pytest

from wagtailrill.core.refusals import STATUS_BY_CODE, Ran, Refusal, RefusalCode
from wagtailrill.gateway.application import (
    CallerAnswer,
    CallerApplication,
    refusal_answer,
)
from wagtailrill.settings.models import Limits

SCOPE = {
    "type": "http",
    "method": "POST",
    "path": "/a b",
    "raw_path": b"/a%20b",
    "query_string": b"q=1",
    "headers": [(b"x", b"y")],
}


class Handler:
    """Records requests and answers after a delay."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.requests = []
        self.left = []
        self.released = anyio.Event()

    async def async_handle(self, req):
        self.requests.append(req)
        with anyio.move_on_after(self.delay_s):
            await self.released.wait()
        return CallerAnswer(200, (("content-type", "text/plain"),), b"done")

    def caller_left(self, request_id):
        self.left.append(request_id)
        self.released.set()


def serve(handler, messages, body_max_bytes=10, **changes):
    """Run one request and return the messages sent to the caller."""

    async def async_main():
        limits = Limits(body_max_bytes=body_max_bytes, header_max_bytes=100)
        app = CallerApplication(handler, limits)
        queue = list(messages)
        sent = []

        async def receive():
            if not queue:
                await anyio.sleep_forever()
            return queue.pop(0)

        async def send(message):
            sent.append(message)

        async with anyio.create_task_group() as tg:
            tg.start_soon(app.async_watch_callers)
            await app({**SCOPE, **changes}, receive, send)
            tg.cancel_scope.cancel()
        return sent

    return anyio.run(async_main)


def body(data, more=False):
    """Return a body message."""
    return {"type": "http.request", "body": data, "more_body": more}


def test_request_arrives_whole_and_undecoded():
    """Guards against paths that are decoded before they are routed."""
    handler = Handler()
    sent = serve(handler, [body(b"ab", more=True), body(b"cd")])
    req = handler.requests[0]
    assert (req.path, req.query, req.body) == ("/a%20b", "q=1", b"abcd")
    assert sent[0]["status"] == 200
    assert (b"content-length", b"4") in sent[0]["headers"]


def test_large_body_is_refused_without_being_run():
    """Guards against memory exhaustion by request bodies."""
    handler = Handler()
    sent = serve(handler, [body(b"x" * 8, more=True), body(b"x" * 8)])
    assert handler.requests == []
    assert sent[0]["status"] == 413
    assert json.loads(sent[1]["body"])["ran"] == "no"


def test_large_headers_are_refused():
    """Guards against memory exhaustion by request headers."""
    handler = Handler()
    sent = serve(handler, [body(b"")], headers=[(b"x", b"y" * 200)])
    assert handler.requests == []
    assert sent[0]["status"] == 413


def test_caller_that_leaves_during_a_slow_request_is_noticed():
    """Guards against work for callers that are gone."""
    handler = Handler(delay_s=5.0)
    sent = serve(handler, [body(b""), {"type": "http.disconnect"}])
    assert len(handler.left) == 1
    assert sent == []


@pytest.mark.parametrize("code", list(RefusalCode))
def test_refusals_carry_code_and_ran(code):
    """Guards against error answers that callers cannot act on."""
    refusal = Refusal(code, "Text.", Ran.UNKNOWN, retry_after_s=0.2)
    answer = refusal_answer(refusal)
    fields = json.loads(answer.body)
    assert answer.status == STATUS_BY_CODE[code]
    assert (fields["code"], fields["ran"]) == (code.value, "unknown")
    assert dict(answer.headers)["retry-after"] == "1"
