"""Guards the exchange with backend servers against broken and foreign answers."""

from contextlib import asynccontextmanager

import anyio
import attrs
import pytest

from wagtailrill.core.orders import AttemptOutcome, Order
from wagtailrill.gateway.connections import BackendConnections

ORDER = Order(
    attempt_id=1,
    request_id=1,
    backend_server="b",
    method="GET",
    target="/x",
    headers=((b"wagtailrill-request-id", b"r-1"),),
    body=b"",
    expires_unix_s=0.0,
    timeout_s=1.0,
    may_connect=True,
)
HEAD = b"HTTP/1.1 200 OK\r\nwagtailrill-request-id: r-1\r\n"
WHOLE = HEAD + b"content-length: 2\r\n\r\nok"
CLOSE = None


@asynccontextmanager
async def scripted_server(script):
    """Answer each request on a connection with the next bytes of a script."""

    async def handle(stream):
        async with stream:
            for answer in script:
                await stream.receive()
                if answer is CLOSE:
                    return
                await stream.send(answer)
            await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, handle)
        yield BackendConnections("b", f"127.0.0.1:{port}", response_max_bytes=32)
        tg.cancel_scope.cancel()


def exchange(script, orders=(ORDER,)):
    """Return the results of orders and the connections afterwards."""

    async def async_main():
        async with scripted_server(script) as connections:
            results = []
            for order in orders:
                with anyio.move_on_after(0.5):
                    results.append(await connections.async_exchange(order))
            return results, connections

    return anyio.run(async_main)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (WHOLE, AttemptOutcome.ANSWERED),
        (HEAD + b"content-length: 9\r\n\r\nok", None),
        (WHOLE.replace(b"r-1", b"r-2"), AttemptOutcome.BAD_ANSWER),
        (b"garbage\r\n\r\n", AttemptOutcome.BAD_ANSWER),
        (HEAD + b"content-length: 64\r\n\r\n" + b"x" * 64, AttemptOutcome.BAD_ANSWER),
        (CLOSE, AttemptOutcome.LOST),
        (
            HEAD + b"wagtailrill-not-run: shed\r\ncontent-length: 0\r\n\r\n",
            AttemptOutcome.SHED,
        ),
        (
            HEAD + b"wagtailrill-not-run: fenced\r\ncontent-length: 0\r\n\r\n",
            AttemptOutcome.FENCED,
        ),
    ],
    ids=["whole", "silent", "crossed", "garbage", "large", "closed", "shed", "fenced"],
)
def test_outcome_of_an_answer(answer, outcome):
    """Guards against cut, crossed or oversized answers that reach a caller."""
    results, connections = exchange([answer])
    assert [r.outcome for r in results] == ([outcome] if outcome else [])
    reusable = outcome in (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SHED,
        AttemptOutcome.FENCED,
    )
    assert len(connections.idle) == int(reusable)


def test_cut_answer_is_a_bad_answer():
    """Guards against a truncated answer taken for a whole one."""

    async def async_main():
        async def handle(stream):
            async with stream:
                await stream.receive()
                await stream.send(HEAD + b"content-length: 9\r\n\r\nok")
                await stream.send_eof()
                await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, handle)
            connections = BackendConnections("b", f"127.0.0.1:{port}")
            result = await connections.async_exchange(ORDER)
            tg.cancel_scope.cancel()
        return result, connections

    result, connections = anyio.run(async_main)
    assert result.outcome is AttemptOutcome.BAD_ANSWER
    assert connections.idle == []


def test_connection_is_reused_only_after_a_whole_answer():
    """Guards against the answer of one request going to the next."""
    second = attrs.evolve(ORDER, attempt_id=2, may_connect=False)
    results, connections = exchange([WHOLE, WHOLE], [ORDER, second])
    assert [r.outcome for r in results] == [AttemptOutcome.ANSWERED] * 2
    assert connections.opened == 1


def test_order_that_may_not_connect_sends_nothing():
    """Guards against connections beyond those that the home has lent."""
    results, connections = exchange([WHOLE], [attrs.evolve(ORDER, may_connect=False)])
    assert results[0].outcome is AttemptOutcome.CONNECT_FAILED
    assert connections.opened == 0


def test_refused_connection_is_not_taken_for_a_lost_request():
    """Guards against `ran: unknown` for a request that was never sent."""
    connections = BackendConnections("b", "127.0.0.1:1")
    result = anyio.run(connections.async_exchange, ORDER)
    assert result.outcome is AttemptOutcome.CONNECT_FAILED


def test_connections_without_an_answer_are_dropped_after_a_timeout():
    """Guards against connections that went silent for good."""

    async def async_main():
        async with scripted_server([WHOLE]) as connections:
            await connections.async_exchange(ORDER)
            await anyio.sleep(0.05)
            await connections.async_drop_unproven(10.0)
            kept = len(connections.idle)
            await connections.async_drop_unproven(0.01)
            return kept, len(connections.idle)

    assert anyio.run(async_main) == (1, 0)
