"""Admin interface: readiness, metrics, status, explanation of keys, planned stop.

Used by the load balancer, by metrics scrapers and by the command-line tool.
"""

import json
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import attrs
import structlog

from ..core.commands import LogEvent
from ..core.request_models import CallerRequest
from ..gateway.caller_exchange import Exchange, RefusedInput
from ..gateway.dialects import CallerResponse
from ..observability.metrics import Metrics
from ..router.router import Router
from .refused_input import make_refused_input_event

JSON_CONTENT_TYPE = b"application/json"
PATH_MAX_CHARS: Final = 200
_LOG = structlog.get_logger()


@attrs.frozen
class AdminResponse:
    """HTTP response of the admin interface."""

    status: int
    body: bytes
    content_type: bytes = JSON_CONTENT_TYPE


@attrs.frozen
class AdminHandler:
    """Answers the requests of the admin interface; implements `RequestHandler`.

    `start_drain` begins a planned stop.
    """

    router: Router
    metrics: Metrics
    start_drain: Callable[[], None]
    write_log: Callable[[LogEvent], None]

    def handle_request(self, req: CallerRequest, exchange: Exchange) -> None:
        """Answer a request at once."""
        handlers: dict[tuple[str, str], Callable[[dict[str, str]], AdminResponse]] = {
            ("GET", "/ready"): self._report_readiness,
            ("GET", "/health"): self._report_readiness,
            ("GET", "/metrics"): self._report_metrics,
            ("GET", "/status"): self._report_status,
            ("GET", "/explain-key"): self._explain_key,
            ("POST", "/drain"): self._accept_drain,
        }
        query = parse_qs(req.query or "")
        fields = {name: values[-1] for name, values in query.items()}
        handler = handlers.get((req.method, unquote(req.path)), _report_not_found)
        try:
            response = handler(fields)
        except Exception:
            _LOG.exception("admin_request_failed", path=req.path[:PATH_MAX_CHARS])
            response = _make_json_response(500, {"error": "See the instance's log."})
        headers = ((b"content-type", response.content_type),)
        exchange.set_response(CallerResponse(response.status, headers, response.body))

    def handle_disconnect(self, request_id: int) -> None:
        """Do nothing, as requests are answered at once."""

    def handle_refused_input(self, refused: RefusedInput) -> None:
        """Log a request that its connection refused by itself."""
        self.write_log(make_refused_input_event(refused, ("listener", "admin")))

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
