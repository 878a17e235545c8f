"""Tests that nothing keeps a body once it has been passed on.

What an idle or closed connection refers to is no part of the account of bodies, but it
is memory of the process. Large uploads took instances over their limits that way.
"""

import asyncio
import gc
import tracemalloc

import pytest

from tests.gateway.stub_server import make_request, make_response
from wagtailrill.core.request_models import AttemptOutcome
from wagtailrill.gateway.backend_pool import BackendPool
from wagtailrill.gateway.header_dialect import HeaderBackendDialect
from wagtailrill.native.dialect import HEADER_NAMES

BODY_BYTES = 4_000_000
REST_MAX_BYTES = 500_000
TIME_LIMIT_S = 10.0


class Server:
    """Reads a request with its body, and ends it in one of several ways."""

    def __init__(self, way: str) -> None:
        self.way = way
        self.has_read = asyncio.Event()

    async def async_handle(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(BODY_BYTES)
        self.has_read.set()
        if self.way in ("answered", "answered and closed"):
            writer.write(make_response())
        if self.way in ("answered", "cancelled"):
            await reader.read()  # until the other side closes
        writer.close()


async def async_upload(pool, server, results):
    """Send a large body and wait until the request has ended."""
    ended = asyncio.Event()

    def on_result(result):
        results.append(result.outcome)
        ended.set()

    pool.send_request(make_request(1, method="POST", body=b"b" * BODY_BYTES), on_result)
    async with asyncio.timeout(TIME_LIMIT_S):
        if server.way == "cancelled":
            await server.has_read.wait()
            pool.cancel_attempt(1)
        await ended.wait()
        await asyncio.sleep(0.05)  # the transport may still close


@pytest.mark.parametrize(
    ("way", "outcome"),
    [
        ("answered", AttemptOutcome.ANSWERED),
        ("answered and closed", AttemptOutcome.ANSWERED),
        ("cancelled", AttemptOutcome.CANCELLED),
        ("lost", AttemptOutcome.LOST),
    ],
)
def test_connection_keeps_no_body_of_its_last_request(way, outcome):
    """Guards against idle and closed connections that each hold an upload."""
    results = []

    async def async_main():
        server = Server(way)
        listener = await asyncio.start_server(server.async_handle, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = BackendPool(f"127.0.0.1:{port}", HeaderBackendDialect(HEADER_NAMES))
        before = tracemalloc.get_traced_memory()[0]
        await async_upload(pool, server, results)
        kept_bytes = tracemalloc.get_traced_memory()[0] - before
        pool.close_connections()
        listener.close()
        return kept_bytes

    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        kept_bytes = asyncio.run(async_main())
    finally:
        tracemalloc.stop()
        gc.enable()
    assert results == [outcome]
    assert kept_bytes < REST_MAX_BYTES
