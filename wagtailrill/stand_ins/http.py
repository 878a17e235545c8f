"""ASGI helpers and the uvicorn setup that the stand-ins and tests share."""

import contextlib
import json
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any, Final

import anyio
import attrs
import uvicorn

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

KEEP_ALIVE_S: Final = 5
STOP_TIMEOUT_S: Final = 1


class DisconnectedError(Exception):
    """The client closed its connection before its request was complete."""


class TooLargeError(Exception):
    """The request's body exceeds its size limit."""


@attrs.frozen
class HttpAnswer:
    """A JSON answer with its status and extra headers."""

    status: int
    body: dict[str, Any]
    headers: tuple[tuple[bytes, bytes], ...] = ()


async def async_read_body(receive: Receive, max_bytes: float = math.inf) -> bytes:
    """Return the request's body.

    Raise `DisconnectedError` if the client leaves first and `TooLargeError` if the
    body exceeds `max_bytes`.
    """
    body = bytearray()
    more_body = True
    while more_body:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise DisconnectedError
        body += message.get("body", b"")
        if len(body) > max_bytes:
            raise TooLargeError
        more_body = message.get("more_body", False)
    return bytes(body)


async def async_wait_for_disconnect(receive: Receive) -> None:
    """Return when the client closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def async_send_answer(send: Send, answer: HttpAnswer) -> None:
    """Send a JSON answer."""
    content = json.dumps(answer.body).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
        *answer.headers,
    ]
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})


def make_http_server(
    app: Application,
    keep_alive_s: int = KEEP_ALIVE_S,
    stop_timeout_s: int | None = STOP_TIMEOUT_S,
) -> uvicorn.Server:
    """Return a uvicorn server for an application, on asyncio and httptools.

    Idle connections close after `keep_alive_s`. Requests that still run
    `stop_timeout_s` after a stop are cancelled; with None the stop waits for them.
    """
    cfg = uvicorn.Config(
        app,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_keep_alive=keep_alive_s,
        timeout_graceful_shutdown=stop_timeout_s,
    )
    return uvicorn.Server(cfg)


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an address; port 0 selects a free port."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only for sockets with this protocol number;
    # without it each answer waits 40 ms for a delayed acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


@contextlib.asynccontextmanager
async def async_serve(
    app: Application, server: uvicorn.Server | None = None
) -> AsyncIterator[str]:
    """Serve an application on a free loopback port; yield its `host:port`."""
    sock = bind_socket("127.0.0.1", 0)
    sock.listen(128)
    server = server or make_http_server(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [sock])
        try:
            yield f"127.0.0.1:{sock.getsockname()[1]}"
        finally:
            server.should_exit = True
    sock.close()
