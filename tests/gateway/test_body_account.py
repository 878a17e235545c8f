"""Guards the memory that all bodies together take, in both directions.

One body is limited by itself; many at once filled the memory of an instance, which was
killed with the requests of all other callers. The tests use real TCP connections.
"""

import asyncio
import time

import pytest

from tests.gateway.stub_server import (
    REQUEST_ID_HEADER,
    make_request,
    make_response,
)
from tests.gateway.test_cut_responses import Transport
from wagtailrill.core.request_models import AttemptOutcome
from wagtailrill.declaration.models import CallerLimits
from wagtailrill.gateway.backend_connection import BackendConnection, ExchangeEnd
from wagtailrill.gateway.backend_pool import BackendPool
from wagtailrill.gateway.body_memory import BodyMemory
from wagtailrill.gateway.const import (
    CONTROL_RESPONSE_MAX_BYTES,
    INTERIM_RESPONSES_MAX,
    RESPONSE_MAX_BYTES,
    SMALL_BODY_MAX_BYTES,
)
from wagtailrill.gateway.header_dialect import (
    HeaderBackendDialect,
)
from wagtailrill.native.dialect import HEADER_NAMES

LIMIT_BYTES = 4_000_000
LIMITS = CallerLimits(16_384, 67_108_864, 10.0, 30.0)
# What a transport reads at a time.
READ_BYTES = 262_144
TIME_LIMIT_S = 10.0
PIECE = b"b" * 16_384
STATUS_LINE = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER
ENDLESS_HEAD = STATUS_LINE + b"\r\n"


def make_memory() -> tuple[BodyMemory, list[int]]:
    memory, given_up = BodyMemory(LIMIT_BYTES), []
    memory.on_given_up = given_up.append
    return memory, given_up


def test_largest_body_is_given_up_first_and_small_ones_never():
    """Guards against small requests that end because of large ones."""
    memory, given_up = make_memory()
    ended = []
    sizes = (SMALL_BODY_MAX_BYTES, 1_000_000, 2_000_000)
    holds = []
    for size in sizes:
        hold = memory.open_hold(lambda size=size: ended.append(size))
        hold.set_bytes(size)
        holds.append(hold)
    kept = memory.open_hold()
    kept.set_bytes(2_500_000)
    assert ended == given_up == [2_000_000]
    kept.set_bytes(4_000_000)
    assert ended == given_up == [2_000_000, 1_000_000]
    assert memory.held_bytes == 4_000_000 + SMALL_BODY_MAX_BYTES
    for hold in (*holds, kept):
        hold.close()
        hold.set_bytes(7)
    assert memory.held_bytes == 0


class Server:
    """Serves the path `/box` with a small response, and others without end."""

    def __init__(self, head: bytes = ENDLESS_HEAD, piece: bytes = PIECE) -> None:
        self.head, self.piece = head, piece
        self.sent_bytes = 0

    async def async_handle(self, reader, writer):
        try:
            while data := await reader.readuntil(b"\r\n\r\n"):
                if b" /box " in data:
                    writer.write(make_response())
                    continue
                writer.write(self.head)
                while True:
                    writer.write(self.piece)
                    await writer.drain()
                    self.sent_bytes += len(self.piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def async_start(self, memory: BodyMemory) -> BackendPool:
        listener = await asyncio.start_server(
            self.async_handle, "127.0.0.1", 0, backlog=512
        )
        port = listener.sockets[0].getsockname()[1]
        dialect = HeaderBackendDialect(HEADER_NAMES)
        return BackendPool(f"127.0.0.1:{port}", dialect, memory=memory)


async def async_request(pool: BackendPool, attempt_id: int, target: str, **fields):
    future = asyncio.get_running_loop().create_future()
    pool.send_request(
        make_request(attempt_id, target=target, **fields), future.set_result
    )
    async with asyncio.timeout(TIME_LIMIT_S):
        return await future


@pytest.mark.parametrize("count", [40, 200])
def test_many_endless_responses_stay_within_the_memory(count):
    """Guards against upstreams that end an instance with bytes without end."""
    memory, given_up = make_memory()

    async def async_main():
        pool = await Server().async_start(memory)
        endless = [
            asyncio.create_task(async_request(pool, number, "/endless"))
            for number in range(1, count + 1)
        ]
        small = [await async_request(pool, count + n, "/box") for n in range(1, 6)]
        return small, await asyncio.gather(*endless)

    small, endless = asyncio.run(async_main())
    assert {result.outcome for result in small} == {AttemptOutcome.ANSWERED}
    outcomes = {result.outcome for result in endless}
    assert outcomes <= {AttemptOutcome.NO_MEMORY, AttemptOutcome.BAD_ANSWER}
    assert given_up
    assert memory.peak_bytes <= LIMIT_BYTES
    assert memory.held_bytes == 0


def test_response_that_is_given_up_ends_after_what_needs_its_memory():
    """Guards against a step of the router in the middle of another one.

    A step that answers a request may need the memory of another response. Messages of
    a step inside it would overtake its own, which receivers then drop.
    """
    memory, given_up = make_memory()
    ends = []

    async def async_main():
        conn = BackendConnection(LIMIT_BYTES, lambda conn: None, memory)
        conn.transport = Transport()
        conn.send_request(b"", False, lambda r: True, lambda *end: ends.append(end))
        conn.data_received(ENDLESS_HEAD + PIECE * 100)
        kept = memory.open_hold()
        kept.set_bytes(LIMIT_BYTES - 1)
        at_once = list(ends)
        await asyncio.sleep(0)
        return at_once

    assert asyncio.run(async_main()) == []
    assert ends == [(ExchangeEnd.NO_MEMORY, None)]
    assert given_up == [len(PIECE) * 100]


LARGE_PART = PIECE * 100
CHUNKED_HEAD = STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n"
LENGTH_HEAD = STATUS_LINE + b"content-length: %d\r\n\r\n" % (2 * len(LARGE_PART))
# What is read of a response, and how it ends in the step that gives it up.
ENDS_OF_GIVEN_UP_RESPONSES = {
    "end of the connection": (
        ENDLESS_HEAD + LARGE_PART,
        BackendConnection.eof_received,
    ),
    "last chunk": (
        CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(LARGE_PART), LARGE_PART),
        lambda conn: conn.data_received(b"0\r\n\r\n"),
    ),
    "rest of the length": (
        LENGTH_HEAD + LARGE_PART,
        lambda conn: conn.data_received(LARGE_PART),
    ),
    "reset": (ENDLESS_HEAD + LARGE_PART, lambda conn: conn.connection_lost(None)),
}


@pytest.mark.parametrize("case", ENDS_OF_GIVEN_UP_RESPONSES)
def test_response_that_is_given_up_is_not_completed_in_the_same_step(case):
    """Guards against an empty body that is passed on as a whole response.

    The end of a response was handled between the step that gave its body up and the one
    that ends the exchange, and the emptied body counted as complete.
    """
    data, end_response = ENDS_OF_GIVEN_UP_RESPONSES[case]
    memory, given_up = make_memory()
    ends = []

    async def async_main():
        conn = BackendConnection(RESPONSE_MAX_BYTES, lambda conn: None, memory)
        conn.transport = Transport()
        conn.send_request(b"", False, lambda r: True, lambda *end: ends.append(end))
        conn.data_received(data)
        memory.open_hold().set_bytes(LIMIT_BYTES)
        end_response(conn)
        await asyncio.sleep(0)

    asyncio.run(async_main())
    assert given_up == [len(LARGE_PART)]
    ((end, response),) = ends
    assert end in (ExchangeEnd.NO_MEMORY, ExchangeEnd.LOST)
    assert response is None


def test_idle_connection_keeps_nothing_of_its_last_response():
    """Guards against bodies that are held until their connection is used again."""
    memory, _ = make_memory()

    async def async_main():
        pool = await Server().async_start(memory)
        result = await async_request(pool, 1, "/box")
        (conn,) = pool._idle_connections
        return result, conn

    result, conn = asyncio.run(async_main())
    assert result.body == b"own"
    assert (conn._response, bytes(conn._body), memory.held_bytes) == (None, b"", 0)


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (ENDLESS_HEAD, PIECE),
        (
            STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n",
            b"4000\r\n" + PIECE + b"\r\n",
        ),
    ],
    ids=["until the connection ends", "chunks"],
)
def test_answer_to_a_control_call_is_short(head, piece):
    """Guards against answers to grants of keys that fill the memory.

    Nothing but their connection's limit for all responses, 8 MB, bounded each of them.
    """
    memory, _ = make_memory()

    async def async_main():
        pool = await Server(head, piece).async_start(memory)
        fields = {"method": "POST", "is_control_call": True}
        return await async_request(pool, 1, "/grant", **fields)

    result = asyncio.run(async_main())
    assert result.outcome is AttemptOutcome.BAD_ANSWER
    assert memory.peak_bytes <= CONTROL_RESPONSE_MAX_BYTES


def test_interim_responses_are_few():
    """Guards against exchanges that are parsed for long without a final response."""
    memory, _ = make_memory()
    interim = b"HTTP/1.1 103 Hints\r\na: b\r\n\r\n"
    server = Server(b"", interim * INTERIM_RESPONSES_MAX * 100)

    async def async_main():
        pool = await server.async_start(memory)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await async_request(pool, 1, "/interim")

    assert asyncio.run(async_main()).outcome is AttemptOutcome.BAD_ANSWER
    assert server.sent_bytes < RESPONSE_MAX_BYTES


def test_interim_responses_before_an_answer_are_accepted():
    """Guards against a limit that refuses what servers send."""
    interim = b"HTTP/1.1 103 Hints\r\n\r\n" * INTERIM_RESPONSES_MAX

    class Hints(Server):
        async def async_handle(self, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(interim + make_response())

    async def async_main():
        pool = await Hints().async_start(BodyMemory())
        return await async_request(pool, 1, "/box")

    assert asyncio.run(async_main()).outcome is AttemptOutcome.ANSWERED


def test_body_of_a_request_is_not_copied_into_the_transport():
    """Guards against several copies of a body that a server reads slowly."""

    class Slow(Server):
        async def async_handle(self, reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.2)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            writer.write(make_response(b"%d" % sum(body[::4096])))

    body = bytes(range(256)) * 40_000

    async def async_main():
        pool = await Slow().async_start(BodyMemory())
        task = asyncio.create_task(
            async_request(pool, 1, "/upload", method="POST", body=body)
        )
        await asyncio.sleep(0.1)
        (exchange,) = pool._running_exchanges.values()
        buffered = exchange.conn.transport.get_write_buffer_size()
        return buffered, await task

    buffered, result = asyncio.run(async_main())
    assert buffered <= 4 * SMALL_BODY_MAX_BYTES
    assert result.body == b"%d" % sum(body[::4096])


def test_connection_with_an_unsent_body_is_not_used_again():
    """Guards against another request's bytes where the rest of a body is due."""

    class Early(Server):
        async def async_handle(self, reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_response())

    async def async_main():
        pool = await Early().async_start(BodyMemory())
        fields = {"method": "POST", "body": b"x" * 40_000_000}
        result = await async_request(pool, 1, "/upload", **fields)
        return result, pool.is_empty

    result, is_empty = asyncio.run(async_main())
    assert (result.outcome, is_empty) == (AttemptOutcome.ANSWERED, True)


def test_account_costs_little():
    """Guards against an account that slows down small requests."""
    memory = BodyMemory(LIMIT_BYTES)
    started_s = time.process_time()
    for _ in range(20_000):
        hold = memory.open_hold(None)
        hold.set_bytes(1_000)
        hold.close()
    # Three of them a request; a request takes more than 0.5 ms of processor time.
    assert (time.process_time() - started_s) / 20_000 * 3 < 0.02 * 0.0005
