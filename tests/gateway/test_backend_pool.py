"""Guards exchanges with backend servers that answer oddly, on real connections."""

import asyncio
import socket
import struct

import pytest

from wagtailrill.core.request_models import (
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
)
from wagtailrill.gateway.backend_pool import BackendPool
from wagtailrill.gateway.header_dialect import HeaderBackends
from wagtailrill.native.dialect import HEADER_NAMES

ID = b"wagtailrill-request-id: c-1\r\n"
# Closing sends a reset instead of the connection's regular end.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
OTHER = b"wagtailrill-request-id: c-0\r\n"


def answer(body: bytes = b"own", headers: bytes = ID, status: bytes = b"200 OK"):
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + b"\r\n" + body


def order_of(attempt_id: int = 1, caller_id: str = "c-1", **fields) -> BackendRequest:
    values = {
        "attempt_id": attempt_id,
        "request_id": 1,
        "backend_server": "s-1",
        "method": "GET",
        "target": "/box",
        "headers": ((b"host", b"a"), (b"x-own", b"1")),
        "body": b"",
        "expires_unix_s": 0.0,
        "timeout_s": 1.0,
        "caller_request_id": caller_id,
    }
    return BackendRequest(**(values | fields))


class Server:
    """Answers each connection's reads with the given chunks, then may close."""

    def __init__(self, *replies: bytes, close: bool = False, reset: bool = False):
        self.replies = list(replies)
        self.close, self.reset = close, reset
        self.connections = 0
        self.requests: list[bytes] = []

    async def async_handle(self, reader, writer):
        self.connections += 1
        while data := await reader.read(65536):
            self.requests.append(data)
            if self.replies:
                writer.write(self.replies.pop(0))
                await writer.drain()
            if self.reset:
                await asyncio.sleep(0.02)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                writer.transport.abort()
                return
            if self.close:
                break
        writer.close()


async def async_exchange(
    server: Server, *orders: BackendRequest
) -> list[AttemptResult]:
    listener = await asyncio.start_server(server.async_handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    pool = BackendPool(f"127.0.0.1:{port}", HeaderBackends(HEADER_NAMES))
    results = []
    for order in orders:
        done = asyncio.get_running_loop().create_future()
        pool.exchange(order, done.set_result)
        try:
            async with asyncio.timeout(0.4):
                results.append(await asyncio.shield(done))
        except TimeoutError:
            pool.cancel(order.attempt_id)
            results.append(await done)
    pool.close_idle()
    listener.close()
    return results


def exchange(server: Server, *orders: BackendRequest) -> list[AttemptResult]:
    return asyncio.run(async_exchange(server, *(orders or (order_of(),))))


CASES = {
    "whole": (Server(answer()), AttemptOutcome.ANSWERED, b"own"),
    "chunked": (
        Server(
            b"HTTP/1.1 200 OK\r\n" + ID + b"transfer-encoding: chunked\r\n\r\n"
            b"2\r\now\r\n1\r\nn\r\n0\r\n\r\n"
        ),
        AttemptOutcome.ANSWERED,
        b"own",
    ),
    "until the end": (
        Server(b"HTTP/1.1 200 OK\r\n" + ID + b"\r\nown", close=True),
        AttemptOutcome.ANSWERED,
        b"own",
    ),
    "until a reset": (
        Server(b"HTTP/1.1 200 OK\r\n" + ID + b"\r\now", reset=True),
        AttemptOutcome.LOST,
        b"",
    ),
    "cut": (Server(answer()[:-1], close=True), AttemptOutcome.LOST, b""),
    "cut chunk": (
        Server(
            b"HTTP/1.1 200 OK\r\n" + ID + b"transfer-encoding: chunked\r\n\r\n5\r\now",
            close=True,
        ),
        AttemptOutcome.LOST,
        b"",
    ),
    "no answer": (Server(close=True), AttemptOutcome.LOST, b""),
    "no HTTP": (Server(b"\x00\x01 nonsense\r\n\r\n"), AttemptOutcome.BAD_ANSWER, b""),
    "late answer first": (
        Server(answer(b"other", OTHER) + answer()),
        AttemptOutcome.ANSWERED,
        b"own",
    ),
    "another's until the end": (
        Server(b"HTTP/1.1 200 OK\r\n" + OTHER + b"\r\nother", close=True),
        AttemptOutcome.BAD_ANSWER,
        b"other",
    ),
    "interim": (
        Server(b"HTTP/1.1 100 Continue\r\n\r\n" + answer()),
        AttemptOutcome.ANSWERED,
        b"own",
    ),
    "failed": (
        Server(answer(b"no", ID, b"500 Oops")),
        AttemptOutcome.FAILED,
        b"no",
    ),
    "shed": (
        Server(
            answer(b"", ID + b"wagtailrill-not-run: shed\r\n", b"503 Busy"),
        ),
        AttemptOutcome.SHED,
        b"",
    ),
    "misdirected": (
        Server(answer(b"", ID, b"421 Misdirected")),
        AttemptOutcome.MISDIRECTED,
        b"",
    ),
}


@pytest.mark.parametrize("case", sorted(CASES))
def test_outcome_of_an_answer(case):
    """Guards against cut, foreign or odd answers that reach a caller as whole."""
    server, outcome, body = CASES[case]
    (result,) = exchange(server)
    assert result.outcome is outcome
    if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
        assert result.body == body


def test_connection_is_used_again_after_a_whole_answer():
    """Guards against a new connection, which costs time, for each request."""
    server = Server(answer(), answer(b"two", ID.replace(b"c-1", b"c-2")))
    first, second = exchange(server, order_of(), order_of(2, "c-2"))
    assert (first.body, second.body, server.connections) == (b"own", b"two", 1)


@pytest.mark.parametrize(
    "first",
    [
        answer() + b"junk",
        answer() + answer(b"extra", OTHER),
        answer(headers=ID + b"connection: close\r\n"),
        answer(headers=ID + b"keep-alive: timeout=0\r\n"),
    ],
)
def test_connection_is_not_used_after_odd_bytes_or_when_it_closes(first):
    """Guards against bytes of an earlier answer that reach another caller."""
    server = Server(first, answer(b"two", ID.replace(b"c-1", b"c-2")))
    one, two = exchange(server, order_of(), order_of(2, "c-2"))
    assert (one.body, two.body, server.connections) == (b"own", b"two", 2)


def test_cancelled_request_closes_its_connection():
    """Guards against servers that go on working for nobody."""
    server = Server()
    (result,) = exchange(server)
    assert result.outcome is AttemptOutcome.CANCELLED


def test_refused_connection_is_not_taken_for_a_lost_request():
    """Guards against requests that are not repeated although nothing was sent."""

    async def async_main():
        pool = BackendPool("127.0.0.1:1", HeaderBackends(HEADER_NAMES))
        done = asyncio.get_running_loop().create_future()
        pool.exchange(order_of(), done.set_result)
        return await done

    assert asyncio.run(async_main()).outcome is AttemptOutcome.CONNECT_FAILED


def test_connections_beyond_the_share_are_not_opened():
    """Guards against connections that the server resets for all instances."""

    async def async_main():
        server = Server()
        listener = await asyncio.start_server(server.async_handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = BackendPool(f"127.0.0.1:{port}", HeaderBackends(HEADER_NAMES))
        results = []
        for number in (1, 2):
            pool.exchange(order_of(number, connections_max=1), results.append)
        await asyncio.sleep(0.1)
        pool.cancel(1)
        listener.close()
        return [r.outcome for r in results]

    assert asyncio.run(async_main()) == [
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CANCELLED,
    ]


def test_request_is_passed_on_as_it_came():
    """Guards against a request that a server runs with other words."""
    server = Server(answer())
    exchange(server, order_of(method="POST", target="/a%20b?c=%2F", body=b"{}"))
    (sent,) = server.requests
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /a%20b?c=%2F HTTP/1.1\r\n")
    assert b"x-own: 1" in head
    assert b"content-length: 2" in head
    assert body == b"{}"
