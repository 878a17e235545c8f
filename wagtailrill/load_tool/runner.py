"""Sends planned requests over kept connections."""

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
    """Runs one plan; results are in the order of the answers."""

    cfg: LoadSettings
    declaration: Declaration
    results: list[LoadResult] = attrs.field(factory=list)
    _idle: dict[str, list[httpcore.AsyncHTTPConnection]] = attrs.field(factory=dict)

    async def async_run(self) -> list[LoadResult]:
        """Send every request at its time, whatever became of the earlier ones."""
        start_s = time.monotonic()
        async with anyio.create_task_group() as tg:
            for planned in make_plan(self.cfg, self.declaration, time.time()):
                delay_s = start_s + planned.at_s - time.monotonic()
                if delay_s > 0:
                    await anyio.sleep(delay_s)
                tg.start_soon(self._async_send, planned, start_s + planned.at_s)
        for conns in self._idle.values():
            for conn in conns:
                await conn.aclose()
        return self.results

    async def _async_send(self, planned: PlannedRequest, planned_s: float) -> None:
        status, code, ran, crossed = 0, "timed_out", "unknown", False
        with anyio.move_on_after(self.cfg.timeout_s):
            try:
                status, body = await self._async_exchange(planned)
                code, ran, crossed = _interpret(planned, status, body)
            except CONNECTION_ERRORS as exc:
                code = type(exc).__name__
        self.results.append(
            LoadResult(
                service=planned.service.name,
                organisation=planned.organisation,
                status=status,
                code=code,
                ran=ran,
                latency_s=time.monotonic() - planned_s,
                crossed=crossed,
            )
        )

    async def _async_exchange(self, planned: PlannedRequest) -> tuple[int, bytes]:
        conn = self._connection(planned.target)
        headers = [
            ("host", planned.target),
            ("x-tenant-key", self.cfg.tenant_keys[planned.organisation]),
        ]
        if planned.idempotency_key:
            headers.append(("idempotency-key", planned.idempotency_key))
        whole = False
        try:
            response = await conn.request(
                planned.route.method,
                f"http://{planned.target}{planned.path}",
                headers=headers,
                content=planned.body,
            )
            body = await response.aread()
            whole = conn.is_idle()
        finally:
            if whole:
                self._idle.setdefault(planned.target, []).append(conn)
            else:
                with anyio.CancelScope(shield=True):
                    await conn.aclose()
        return response.status, body

    def _connection(self, target: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.get(target, [])
        while idle:
            conn = idle.pop()
            if conn.is_idle() and not conn.has_expired():
                return conn
        host, _, port = target.rpartition(":")
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), int(port))
        )


def _interpret(
    planned: PlannedRequest, status: int, body: bytes
) -> tuple[str, str, bool]:
    """Return code, `ran` and whether the answer belongs to another request."""
    try:
        fields = json.loads(body)
    except ValueError:
        return "not_json", "unknown", True
    if status >= 400:
        return str(fields.get("code", "")), str(fields.get("ran", "")), False
    crossed = (
        fields.get("path") != planned.path
        or fields.get("organisation") != planned.organisation
    )
    return "answered", "yes", crossed
