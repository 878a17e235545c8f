"""Network streams to backend servers for httpcore's HTTP/1.1 connection."""

import select
import ssl
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from .const import CONNECT_TIMEOUT_S

CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class BackendStream(httpcore.AsyncNetworkStream):
    """A TCP stream without timeouts of its own.

    One scope around the whole exchange carries the order's timeout. httpcore's own
    stream opens a scope for each read and write, which costs as much as the parsing.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._poll = select.poll()
        raw = stream.extra(SocketAttribute.raw_socket)
        self._poll.register(raw.fileno(), select.POLLIN)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, none at the end of the stream."""
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except CONNECTION_ERRORS as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        if not buffer:
            return
        try:
            await self._stream.send(buffer)
        except CONNECTION_ERRORS as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: backend servers are reached over plain HTTP."""
        raise httpcore.UnsupportedProtocol("TLS to backend servers is not supported")

    def get_extra_info(self, info: str) -> Any:
        """Return whether the stream is readable; nothing else is known."""
        return bool(self._poll.poll(0)) if info == "is_readable" else None


async def async_connect(origin: httpcore.Origin) -> httpcore.AsyncHTTP11Connection:
    """Open a connection; raise `OSError` or `TimeoutError` when that fails."""
    with anyio.fail_after(CONNECT_TIMEOUT_S):
        stream = await anyio.connect_tcp(origin.host.decode(), origin.port)
    return httpcore.AsyncHTTP11Connection(origin, BackendStream(stream))
