"""Admin interface of an instance: health, metrics, status and planned stop."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import attrs

from ..core.events import DrainRequested, Event
from ..engine.engine import Engine
from ..gateway.application import (
    CallerAnswer,
    Receive,
    Scope,
    Send,
    async_send_answer,
)
from ..observability.metrics import Metrics

JSON = (("content-type", "application/json"),)


@attrs.frozen
class AdminApplication:
    """ASGI application of the admin interface."""

    engine: Engine
    metrics: Metrics
    dispatch: Callable[[Event], object]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        handlers: dict[tuple[str, str], Callable[[dict[str, str]], CallerAnswer]] = {
            ("GET", "/health"): self._health,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._status,
            ("GET", "/explain-key"): self._explain_key,
            ("POST", "/drain"): self._drain,
        }
        query = parse_qs(scope["query_string"].decode("latin-1"))
        fields = {name: values[-1] for name, values in query.items()}
        handler = handlers.get((scope["method"], scope["path"]), _not_found)
        await async_send_answer(send, handler(fields))

    def _health(self, query: dict[str, str]) -> CallerAnswer:
        ready = self.engine.ready()
        return _json(200 if ready else 503, {"ready": ready})

    def _metrics(self, query: dict[str, str]) -> CallerAnswer:
        status = self.engine.status()
        gauges = {
            name: float(value)
            for name, value in status.items()
            if isinstance(value, bool | int)
        }
        self.metrics.set_state(gauges)
        content, content_type = self.metrics.text()
        return CallerAnswer(200, (("content-type", content_type),), content)

    def _status(self, query: dict[str, str]) -> CallerAnswer:
        return _json(200, self.engine.status())

    def _explain_key(self, query: dict[str, str]) -> CallerAnswer:
        service, key = query.get("service", ""), query.get("key", "")
        configuration = self.engine.configuration.current
        known = configuration.services.get(service) if configuration else None
        if known is None or not known.keyed:
            return _json(404, {"error": f"There is no keyed service {service!r}."})
        explanation = self.engine.ownership.explain(service, key.encode())
        if explanation is None:
            return _json(503, {"error": "No cell table is known yet."})
        return _json(200, {**attrs.asdict(explanation), "key": key})

    def _drain(self, query: dict[str, str]) -> CallerAnswer:
        self.dispatch(DrainRequested())
        return _json(202, {"drain_state": self.engine.drain.state.value})


def _json(status: int, fields: dict[str, Any]) -> CallerAnswer:
    return CallerAnswer(status, JSON, json.dumps(fields).encode())


def _not_found(query: dict[str, str]) -> CallerAnswer:
    return _json(404, {"error": "There is no such resource."})
