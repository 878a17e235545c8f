"""Admin interface: readiness, metrics, status, explanation of keys, planned stop.

Used by the load balancer, by metrics scrapers and by the command-line tool.
"""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import attrs

from ..observability.metrics import Metrics
from ..router.router import Router

JSON_CONTENT_TYPE = b"application/json"


@attrs.frozen
class AdminResponse:
    """HTTP response of the admin interface."""

    status: int
    body: bytes
    content_type: bytes = JSON_CONTENT_TYPE


@attrs.frozen
class AdminApplication:
    """ASGI application of the admin interface; `start_drain` begins a planned stop."""

    router: Router
    metrics: Metrics
    start_drain: Callable[[], None]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one HTTP request; ignore other ASGI scopes."""
        if scope["type"] != "http":
            return
        handlers: dict[tuple[str, str], Callable[[dict[str, str]], AdminResponse]] = {
            ("GET", "/ready"): self._report_readiness,
            ("GET", "/health"): self._report_readiness,
            ("GET", "/metrics"): self._report_metrics,
            ("GET", "/status"): self._report_status,
            ("GET", "/explain-key"): self._explain_key,
            ("POST", "/drain"): self._accept_drain,
        }
        query = parse_qs(scope["query_string"].decode("latin-1"))
        fields = {name: values[-1] for name, values in query.items()}
        handler = handlers.get((scope["method"], scope["path"]), _report_not_found)
        response = handler(fields)
        headers = [
            (b"content-type", response.content_type),
            (b"content-length", b"%d" % len(response.body)),
        ]
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    def _report_readiness(self, query: dict[str, str]) -> AdminResponse:
        ready = self.router.is_ready()
        return _make_json_response(200 if ready else 503, {"ready": ready})

    def _report_metrics(self, query: dict[str, str]) -> AdminResponse:
        content, content_type = self.metrics.render_text()
        return AdminResponse(200, content, content_type.encode())

    def _report_status(self, query: dict[str, str]) -> AdminResponse:
        return _make_json_response(200, self.router.get_status())

    def _explain_key(self, query: dict[str, str]) -> AdminResponse:
        service, key = query.get("service", ""), query.get("key", "")
        explanation = self.router.explain_key(service, key)
        if explanation is None:
            return _make_json_response(
                404, {"error": f"There is no keyed service {service!r}."}
            )
        return _make_json_response(200, explanation)

    def _accept_drain(self, query: dict[str, str]) -> AdminResponse:
        self.start_drain()
        return _make_json_response(202, {"draining": self.router.draining})


def _make_json_response(status: int, fields: dict[str, Any]) -> AdminResponse:
    return AdminResponse(status, json.dumps(fields).encode())


def _report_not_found(query: dict[str, str]) -> AdminResponse:
    return _make_json_response(404, {"error": "There is no such resource."})
