"""Backend server and bare forwarder for script/bench_forwarding.py."""

import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore
import uvicorn

ANSWER = b'{"answer": "0123456789012345678901234567890123456789"}'
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def async_answer(send: Send, body: bytes) -> None:
    """Send a JSON answer."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def async_backend(scope: dict[str, Any], receive: Any, send: Send) -> None:
    """Answer at once; also the health probe."""
    if scope["path"] == "/-/health":
        health = b'{"healthy":true,"start_id":"1","uptime_s":1000.0,"load":0.0}'
        await async_answer(send, health)
        return
    await async_answer(send, ANSWER)


class BareForwarder:
    """Forwards with a free list of connections and nothing else."""

    def __init__(self, port: int) -> None:
        self.origin = httpcore.Origin(b"http", b"127.0.0.1", port)
        self.idle: list[httpcore.AsyncHTTPConnection] = []

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Send) -> None:
        """Forward one request."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        conn = (
            self.idle.pop() if self.idle else httpcore.AsyncHTTPConnection(self.origin)
        )
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
        self.idle.append(conn)
        await async_answer(send, answer)


def main() -> None:
    """Run one of the servers."""
    role, port = sys.argv[1], int(sys.argv[2])
    app: Any = async_backend if role == "backend" else BareForwarder(int(sys.argv[3]))
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
