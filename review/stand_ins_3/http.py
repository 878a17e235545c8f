"""HTTP/1.1 for the stand-ins: a small server, and single requests of a client."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

HEAD_MAX_BYTES = 65_536


@dataclass
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


@dataclass
class Answer:
    """An answer; `closes` ends the connection behind it.

    One that `ends_with_connection` has no length.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    closes: bool = False
    ends_with_connection: bool = False


Handler = Callable[[Request], Awaitable[Answer | None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that comes in chunks."""
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    """Return the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    path, _, query = target.partition("?")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    return Request(method, unquote(path), fields, headers, body, writer)


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {answer.status} X"]
    if not answer.ends_with_connection:
        lines.append(f"content-length: {len(answer.body)}")
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    if answer.closes or answer.ends_with_connection:
        lines.append("connection: close")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + answer.body


class Server:
    """Serves a handler on one address; a handler that returns None breaks off."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=HEAD_MAX_BYTES * 4
        )

    async def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError
        ):
            while True:
                request = await read_request(reader, writer)
                answer = await self._handler(request)
                if answer is None:
                    break
                writer.write(encode_answer(answer))
                await writer.drain()
                if answer.closes or answer.ends_with_connection:
                    break
        self._writers.discard(writer)
        writer.close()


@dataclass
class Result:
    """What a client got: status 0 without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def send_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Result:
    """Send one request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode() + body)
            first, found = await read_head(reader)
            size = int(found.get("content-length", "0"))
            content = await reader.readexactly(size)
            return Result(int(first.split(" ")[1]), found, content)
    except (OSError, EOFError, ValueError):
        return Result(0)
    finally:
        if writer is not None:
            writer.close()
