"""Backend server and bare forwarder for script/bench_forwarding.py."""

import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore
import uvicorn

ANSWER_BODY = b'{"answer": "0123456789012345678901234567890123456789"}'
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def async_send_answer(send: Send, body: bytes) -> None:
    """Send an answer with a JSON body."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def async_handle_backend_request(
    scope: dict[str, Any], receive: Any, send: Send
) -> None:
    """Answer a request or a health probe without delay."""
    if scope["path"] == "/-/health":
        health = b'{"healthy":true,"start_id":"1","uptime_s":1000.0,"load":0.0}'
        await async_send_answer(send, health)
        return
    await async_send_answer(send, ANSWER_BODY)


class BareForwarder:
    """Forwards requests over a pool of idle connections and does nothing else."""

    def __init__(self, port: int) -> None:
        self.origin = httpcore.Origin(b"http", b"127.0.0.1", port)
        self.idle_connections: list[httpcore.AsyncHTTPConnection] = []

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Send) -> None:
        """Forward one request."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        conn = await self._async_take_connection()
        url = httpcore.URL(
            scheme=b"http",
            host=self.origin.host,
            port=self.origin.port,
            target=scope["raw_path"],
        )
        req = httpcore.Request(
            scope["method"].encode(), url, headers=scope["headers"], content=body
        )
        res = await conn.handle_async_request(req)
        answer = await res.aread()
        await res.aclose()
        self.idle_connections.append(conn)
        await async_send_answer(send, answer)

    async def _async_take_connection(self) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection that the server has not closed, or a new one."""
        while self.idle_connections:
            conn = self.idle_connections.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
            await conn.aclose()
        return httpcore.AsyncHTTPConnection(self.origin)


def main() -> None:
    """Run `backend PORT` or `bare PORT BACKEND_PORT`."""
    role, port = sys.argv[1], int(sys.argv[2])
    app: Any = (
        async_handle_backend_request
        if role == "backend"
        else BareForwarder(int(sys.argv[3]))
    )
    cfg = uvicorn.Config(
        app,
        port=port,
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_level="warning",
        access_log=False,
    )
    anyio.run(uvicorn.Server(cfg).serve)


if __name__ == "__main__":
    main()
