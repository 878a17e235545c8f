"""Control calls to backend servers over HTTP, described in docs/backend-protocol.md."""

import json
import math
from typing import Any

import anyio
import httpcore
from expression import Error, Ok

from ..core.backend import (
    BackendError,
    BackendErrorKind,
    BackendOperation,
    BackendResult,
    Grant,
    Granted,
    Health,
    Probe,
)
from .const import CONTROL_TIMEOUT_S


class BackendControl:
    """Grants and probes, over connections of their own."""

    def __init__(self) -> None:
        self._connections: dict[str, httpcore.AsyncHTTPConnection] = {}

    async def async_call(
        self, address: str, operation: BackendOperation
    ) -> BackendResult:
        """Carry out one control call."""
        try:
            with anyio.fail_after(CONTROL_TIMEOUT_S):
                return await self._async_exchange(address, operation)
        except (TimeoutError, httpcore.TimeoutException):
            kind = BackendErrorKind.TIMEOUT
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, ValueError):
            kind = BackendErrorKind.UNREACHABLE
        return Error(BackendError(kind))

    async def _async_exchange(
        self, address: str, operation: BackendOperation
    ) -> BackendResult:
        conn = self._connections.pop(address, None)
        if conn is None or not conn.is_idle() or conn.has_expired():
            if conn is not None:
                await conn.aclose()
            host, _, port = address.rpartition(":")
            origin = httpcore.Origin(b"http", host.encode(), int(port))
            conn = httpcore.AsyncHTTPConnection(origin)
        try:
            response = await self._async_send(conn, address, operation)
            body = await response.aread()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await conn.aclose()
            raise
        if address in self._connections:
            await conn.aclose()
        else:
            self._connections[address] = conn
        return _result(operation, response.status, json.loads(body))

    async def _async_send(
        self,
        conn: httpcore.AsyncHTTPConnection,
        address: str,
        operation: BackendOperation,
    ) -> httpcore.Response:
        headers = [("host", address), ("content-type", "application/json")]
        if isinstance(operation, Probe):
            url = f"http://{address}/-/health"
            return await conn.request("GET", url, headers=headers)
        content = json.dumps(_grant_fields(operation)).encode()
        url = f"http://{address}/-/grant"
        return await conn.request("POST", url, headers=headers, content=content)


def _grant_fields(grant: Grant) -> dict[str, Any]:
    expires = grant.expires_unix_s
    return {
        "service": grant.service,
        "fence": grant.fence,
        "slots": [[slot.slot, slot.epoch] for slot in grant.slots],
        "duration_s": grant.duration_s,
        "renew_only": grant.renew_only,
        "expires_unix_s": None if math.isinf(expires) else expires,
    }


def _result(
    operation: BackendOperation, status: int, fields: dict[str, Any]
) -> BackendResult:
    if status != 200:
        kind = BackendErrorKind(fields["kind"])
        return Error(BackendError(kind, fields.get("fence", 0)))
    if isinstance(operation, Grant):
        return Ok(Granted(fields["fence"]))
    return Ok(
        Health(
            healthy=bool(fields["healthy"]),
            start_id=str(fields["start_id"]),
            uptime_s=float(fields["uptime_s"]),
            load=float(fields["load"]),
        )
    )
