"""Guards callers' connections: order, limits, odd bytes and leaving."""

import asyncio

import pytest

from wagtailrill.declaration.models import CallerLimits
from wagtailrill.gateway.caller_protocol import CallerProtocol, CallerServerState
from wagtailrill.gateway.dialects import CallerAnswer
from wagtailrill.gateway.header_dialect import HeaderCallers
from wagtailrill.native.dialect import HEADER_NAMES

LIMITS = CallerLimits(500, 100, 0.2, 0.3)


def get(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: a\r\n{headers}\r\n".encode()


def post(path: str, body: str = "x") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class Handler:
    """Answers requests when told to."""

    def __init__(self, at_once: bool = True):
        self.at_once = at_once
        self.seen = []
        self.exchanges = {}
        self.left = []

    def request_arrived(self, req, exchange):
        self.seen.append(req)
        self.exchanges[req.path] = exchange
        if self.at_once:
            self.answer(req.path)

    def answer(self, path):
        self.exchanges[path].settle(CallerAnswer(200, (), path.encode()))

    def caller_left(self, request_id):
        self.left.append(request_id)


async def async_talk(handler, scenario, limits=LIMITS):
    loop = asyncio.get_running_loop()
    state = CallerServerState(handler, HeaderCallers(HEADER_NAMES), limits)
    server = await loop.create_server(lambda: CallerProtocol(state), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await scenario(reader, writer, state)
    finally:
        writer.close()
        server.close()


def talk(handler, scenario, limits=LIMITS):
    return asyncio.run(async_talk(handler, scenario, limits))


async def async_read(reader, seconds=0.1) -> bytes:
    await asyncio.sleep(seconds)
    try:
        async with asyncio.timeout(0.05):
            return await reader.read(65536)
    except TimeoutError:
        return b""


def test_requests_sent_without_waiting_run_at_once_and_are_answered_in_order():
    """Guards against answers that belong to another request of the connection."""
    handler = Handler(at_once=False)

    async def scenario(reader, writer, state):
        writer.write(get("/1") + get("/2") + get("/3"))
        await asyncio.sleep(0.05)
        assert [r.path for r in handler.seen] == ["/1", "/2", "/3"]
        handler.answer("/3")
        handler.answer("/2")
        assert await async_read(reader, 0.02) == b""
        handler.answer("/1")
        return await async_read(reader)

    got = talk(handler, scenario)
    assert got.index(b"/1") < got.index(b"/2") < got.index(b"/3")


def test_request_that_is_not_idempotent_waits_for_those_before_it():
    """Guards against an action behind an answer that closes the connection."""
    handler = Handler(at_once=False)

    async def scenario(reader, writer, state):
        writer.write(get("/1", "connection: close\r\n") + post("/2"))
        await asyncio.sleep(0.05)
        handler.answer("/1")
        return await async_read(reader)

    got = talk(handler, scenario)
    assert got.count(b"HTTP/1.1") == 1
    assert [r.path for r in handler.seen] == ["/1"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", b"400"),
        (get("/", "x: " + "y" * 600 + "\r\n"), b"431"),
        (post("/", "z" * 200), b"413"),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /smuggled HTTP/1.1\r\n\r\n",
            b"400",
        ),
    ],
)
def test_bytes_that_break_the_rules_are_refused_and_end_the_connection(data, status):
    """Guards against hidden requests and requests without bounds."""
    handler = Handler()

    async def scenario(reader, writer, state):
        writer.write(data)
        got = await async_read(reader)
        return got, reader.at_eof() or await async_read(reader) == b""

    got, closed = talk(handler, scenario)
    assert got.split(b" ")[1] == status
    assert b"connection: close" in got
    assert closed
    assert all(r.path != "/smuggled" for r in handler.seen)


def test_chunked_body_is_put_together():
    """Guards against a body that reaches the server in part."""
    handler = Handler()

    async def scenario(reader, writer, state):
        writer.write(
            b"POST /c HTTP/1.1\r\nhost: a\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        await asyncio.sleep(0.03)
        assert handler.seen == []
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        return await async_read(reader)

    talk(handler, scenario)
    assert handler.seen[0].body == b"abcde"


def test_caller_that_leaves_is_noticed():
    """Guards against work for callers that are gone."""
    handler = Handler(at_once=False)

    async def scenario(reader, writer, state):
        writer.write(get("/1"))
        await asyncio.sleep(0.03)
        writer.transport.abort()
        await asyncio.sleep(0.05)

    talk(handler, scenario)
    assert len(handler.left) == 1


def test_slow_request_and_idle_connection_are_ended():
    """Guards against connections that are held without use."""

    async def slow(reader, writer, state):
        writer.write(b"GET / HTTP/1.1\r\nhost")
        await asyncio.sleep(0.25)
        for conn in list(state.connections):
            conn.check_times(asyncio.get_running_loop().time())
        return await async_read(reader)

    async def idle(reader, writer, state):
        await asyncio.sleep(0.35)
        for conn in list(state.connections):
            conn.check_times(asyncio.get_running_loop().time())
        await async_read(reader)
        return reader.at_eof()

    assert talk(Handler(), slow).split(b" ")[1] == b"408"
    assert talk(Handler(), idle)


def test_answers_close_connections_while_the_instance_stops():
    """Guards against callers that stay connected to an instance that ends."""
    handler = Handler()

    async def scenario(reader, writer, state):
        state.stopping = True
        writer.write(get("/1"))
        return await async_read(reader)

    assert b"connection: close" in talk(handler, scenario)
