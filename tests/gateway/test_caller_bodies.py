"""Guards the memory that the bodies of callers' requests and their responses take.

The tests use real TCP connections.
"""

import asyncio

from wagtailrill.declaration.models import CallerLimits
from wagtailrill.gateway.body_memory import BodyMemory
from wagtailrill.gateway.caller_protocol import CallerListenerState, CallerProtocol
from wagtailrill.gateway.const import (
    SMALL_BODY_MAX_BYTES,
    UNREAD_RESPONSE_S,
)
from wagtailrill.gateway.dialects import CallerResponse
from wagtailrill.gateway.header_dialect import (
    HeaderCallerDialect,
)
from wagtailrill.native.dialect import HEADER_NAMES

LIMIT_BYTES = 4_000_000
LIMITS = CallerLimits(16_384, 67_108_864, 10.0, 30.0)
TIME_LIMIT_S = 10.0


def make_memory() -> tuple[BodyMemory, list[int]]:
    memory, given_up = BodyMemory(LIMIT_BYTES), []
    memory.on_given_up = given_up.append
    return memory, given_up


class EchoHandler:
    """Answers each request at once with a body of `response_bytes`."""

    def __init__(self, response_bytes: int = 2) -> None:
        self.response_bytes = response_bytes
        self.received: list[int] = []
        self.refused: list[str] = []

    def handle_request(self, req, exchange):
        self.received.append(len(req.body))
        exchange.set_response(CallerResponse(200, (), b"r" * self.response_bytes))

    def handle_disconnect(self, request_id):
        pass

    def handle_refused_input(self, refused):
        self.refused.append(refused.fault.reason)


async def async_listen(handler, memory) -> tuple[CallerListenerState, int]:
    state = CallerListenerState(
        handler, HeaderCallerDialect(HEADER_NAMES), LIMITS, memory=memory
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: CallerProtocol(state), "127.0.0.1", 0)
    return state, listener.sockets[0].getsockname()[1]


def encode_upload(length: int) -> bytes:
    return b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % length


async def async_read_status(reader) -> tuple[int, bytes]:
    async with asyncio.timeout(TIME_LIMIT_S):
        head = await reader.readuntil(b"\r\n\r\n")
    return int(head.split()[1]), head.lower()


def test_uploads_beyond_the_memory_are_refused_and_small_requests_go_on():
    """Guards against a process that keeps the bodies of many uploads (review/3).

    A refusal says that the request has not run and when to come back.
    """
    memory, given_up = make_memory()
    handler = EchoHandler()

    async def async_upload(port: int, length: int) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(encode_upload(length) + b"x" * (length - 1))
        await asyncio.sleep(0.3)
        if not reader._buffer:
            writer.write(b"x")
        answer = await async_read_status(reader)
        writer.transport.abort()
        return answer

    async def async_main():
        _, port = await async_listen(handler, memory)
        uploads = [
            asyncio.create_task(async_upload(port, 1_500_000 + n)) for n in range(6)
        ]
        await asyncio.sleep(0.05)
        small = [await async_upload(port, 10) for _ in range(3)]
        return small, await asyncio.gather(*uploads)

    small, uploads = asyncio.run(async_main())
    assert {status for status, _ in small} == {200}
    assert {status for status, _ in uploads} == {200, 503}
    assert all(b"retry-after: 1" in head for status, head in uploads if status == 503)
    assert len(given_up) == sum(status == 503 for status, _ in uploads)
    assert memory.peak_bytes <= LIMIT_BYTES
    assert memory.held_bytes == 0


def test_body_that_can_never_be_kept_is_refused_before_it_is_sent():
    """Guards against callers that send for nothing what their request announces."""
    memory, _ = make_memory()
    handler = EchoHandler()

    async def async_main():
        _, port = await async_listen(handler, memory)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(encode_upload(LIMIT_BYTES + 1))
        return await async_read_status(reader)

    status, head = asyncio.run(async_main())
    assert status == 503
    assert b"retry-after" in head
    assert (handler.refused, handler.received) == (["memory"], [])


def test_response_that_is_not_read_counts_and_is_given_up_for_others():
    """Guards against callers that read nothing and keep the memory of all others."""
    memory, given_up = make_memory()
    handler = EchoHandler(response_bytes=3_900_000)

    async def async_main():
        loop = asyncio.get_running_loop()
        state, port = await async_listen(handler, memory)
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n" * 3)
        await asyncio.sleep(0.3)
        (conn,) = state.connections
        buffered = conn._transport.get_write_buffer_size()
        held = memory.held_bytes
        large = memory.open_hold()
        large.set_bytes(1_000_000)
        kept_open = len(state.connections)
        conn.enforce_timeouts(loop.time() + UNREAD_RESPONSE_S)
        large.set_bytes(1_000_001)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        return buffered, held, kept_open, len(state.connections)

    buffered, held, kept_open, connections = asyncio.run(async_main())
    assert buffered <= 4 * SMALL_BODY_MAX_BYTES
    assert held >= 3_900_000
    assert (kept_open, connections) == (1, 0)
    assert given_up


def test_large_responses_arrive_whole_and_in_order():
    """Guards against pieces of a response that mix with the next one."""
    handler = EchoHandler(response_bytes=3_000_000)
    memory = BodyMemory()

    async def async_main():
        _, port = await async_listen(handler, memory)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = b"GET /a HTTP/1.1\r\nhost: a\r\n"
        writer.write((request + b"\r\n") * 3 + request + b"connection: close\r\n\r\n")
        async with asyncio.timeout(TIME_LIMIT_S):
            return await reader.read(-1)

    data = asyncio.run(async_main())
    parts = data.split(b"HTTP/1.1 200 OK\r\n")[1:]
    assert [p.partition(b"\r\n\r\n")[2] for p in parts] == [b"r" * 3_000_000] * 4
    assert b"connection: close" in parts[-1]
    assert memory.held_bytes == 0
