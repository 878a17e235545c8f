"""Admin interface of an instance: readiness, metrics, status, planned stop."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import attrs

from ..observability.metrics import Metrics
from ..router.router import Router

JSON_TYPE = b"application/json"


@attrs.frozen
class AdminAnswer:
    """An answer of the admin interface."""

    status: int
    body: bytes
    content_type: bytes = JSON_TYPE


@attrs.frozen
class AdminApplication:
    """ASGI application of the admin interface."""

    router: Router
    metrics: Metrics
    drain: Callable[[], None]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        handlers: dict[tuple[str, str], Callable[[dict[str, str]], AdminAnswer]] = {
            ("GET", "/ready"): self._health,
            ("GET", "/health"): self._health,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._status,
            ("GET", "/explain-key"): self._explain_key,
            ("POST", "/drain"): self._drain,
        }
        query = parse_qs(scope["query_string"].decode("latin-1"))
        fields = {name: values[-1] for name, values in query.items()}
        handler = handlers.get((scope["method"], scope["path"]), _not_found)
        answer = handler(fields)
        headers = [
            (b"content-type", answer.content_type),
            (b"content-length", b"%d" % len(answer.body)),
        ]
        start = {"type": "http.response.start", "status": answer.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body})

    def _health(self, query: dict[str, str]) -> AdminAnswer:
        ready = self.router.is_ready()
        return _json(200 if ready else 503, {"ready": ready})

    def _metrics(self, query: dict[str, str]) -> AdminAnswer:
        content, content_type = self.metrics.text()
        return AdminAnswer(200, content, content_type.encode())

    def _status(self, query: dict[str, str]) -> AdminAnswer:
        return _json(200, self.router.get_status())

    def _explain_key(self, query: dict[str, str]) -> AdminAnswer:
        service, key = query.get("service", ""), query.get("key", "")
        explanation = self.router.explain_key(service, key)
        if explanation is None:
            return _json(404, {"error": f"There is no keyed service {service!r}."})
        return _json(200, explanation)

    def _drain(self, query: dict[str, str]) -> AdminAnswer:
        self.drain()
        return _json(202, {"draining": self.router.draining})


def _json(status: int, fields: dict[str, Any]) -> AdminAnswer:
    return AdminAnswer(status, json.dumps(fields).encode())


def _not_found(query: dict[str, str]) -> AdminAnswer:
    return _json(404, {"error": "There is no such resource."})
