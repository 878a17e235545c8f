"""Sends the planned requests over persistent connections."""

import json
import time

import anyio
import attrs
import httpcore

from ..declaration.models import Declaration
from .models import LoadResult, LoadSettings, PlannedRequest
from .plan import make_plan

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
)


@attrs.define(eq=False)
class LoadRunner:
    """Runs one load test; results are in order of completion."""

    cfg: LoadSettings
    declaration: Declaration
    results: list[LoadResult] = attrs.field(factory=list)
    _idle_connections: dict[str, list[httpcore.AsyncHTTPConnection]] = attrs.field(
        factory=dict
    )

    async def async_run(self) -> list[LoadResult]:
        """Send every request at its planned time, whether or not others have ended."""
        start_s = time.monotonic()
        async with anyio.create_task_group() as tg:
            for request in make_plan(self.cfg, self.declaration, time.time()):
                delay_s = start_s + request.at_s - time.monotonic()
                if delay_s > 0:
                    await anyio.sleep(delay_s)
                tg.start_soon(self._async_send_request, request, start_s + request.at_s)
        for conns in self._idle_connections.values():
            for conn in conns:
                await conn.aclose()
        return self.results

    async def _async_send_request(
        self, request: PlannedRequest, arrival_s: float
    ) -> None:
        status, code, ran, crossed = 0, "timed_out", "unknown", False
        with anyio.move_on_after(self.cfg.timeout_s):
            try:
                status, body = await self._async_exchange_http(request)
                code, ran, crossed = _interpret_answer(request, status, body)
            except CONNECTION_ERRORS as exc:
                code = type(exc).__name__
        self.results.append(
            LoadResult(
                service=request.service.name,
                organisation=request.organisation,
                status=status,
                code=code,
                ran=ran,
                latency_s=time.monotonic() - arrival_s,
                crossed=crossed,
            )
        )

    async def _async_exchange_http(self, request: PlannedRequest) -> tuple[int, bytes]:
        conn = self._take_connection(request.target)
        headers = [
            ("host", request.target),
            ("x-tenant-key", self.cfg.tenant_keys[request.organisation]),
        ]
        if request.idempotency_key:
            headers.append(("idempotency-key", request.idempotency_key))
        is_reusable = False
        try:
            response = await conn.request(
                request.route.method,
                f"http://{request.target}{request.path}",
                headers=headers,
                content=request.body,
            )
            body = await response.aread()
            is_reusable = conn.is_idle()
        finally:
            if is_reusable:
                self._idle_connections.setdefault(request.target, []).append(conn)
            else:
                with anyio.CancelScope(shield=True):
                    await conn.aclose()
        return response.status, body

    def _take_connection(self, target: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_connections.get(target, [])
        while idle:
            conn = idle.pop()
            if conn.is_idle() and not conn.has_expired():
                return conn
        host, _, port = target.rpartition(":")
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), int(port))
        )


def _interpret_answer(
    request: PlannedRequest, status: int, body: bytes
) -> tuple[str, str, bool]:
    """Return code, `ran`, and whether the answer does not match the request."""
    try:
        fields = json.loads(body)
    except ValueError:
        return "not_json", "unknown", True
    if status >= 400:
        return str(fields.get("code", "")), str(fields.get("ran", "")), False
    crossed = (
        fields.get("path") != request.path
        or fields.get("organisation") != request.organisation
    )
    return "answered", "yes", crossed
