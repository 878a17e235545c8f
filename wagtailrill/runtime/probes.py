"""Listener of the load balancer's questions and of metrics."""

import json
from typing import Any

import attrs

from ..router.router import Router


@attrs.frozen
class ProbeApplication:
    """ASGI application that tells whether the instance is ready."""

    router: Router

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        ready = self.router.ready()
        body = json.dumps({"ready": ready}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        status = 200 if ready else 503
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})
