"""Backend server stand-in over HTTP: `python -m wagtailrill.stand_ins.backend_server`.

Tests and the demo use it. It implements wagtailrill's own protocol, described in
docs/backend-protocol.md, and the platform's; they differ only in their names.
"""

import argparse
import base64
import json
import random
import socket
import time
from pathlib import Path
from typing import Any, Final

import anyio
import attrs
import httpcore
import uvicorn

from ..declaration.models import Service
from ..declaration.parse import parse_declaration
from ..gateway.header_dialect import HeaderNames
from ..gateway.json_control import ControlNames
from ..gateway.server_notice import RETRY_AFTER_HEADER
from ..native.control import CONTROL_NAMES as NATIVE_CONTROL
from ..native.dialect import HEADER_NAMES as NATIVE_NAMES
from ..platform.control import CONTROL_NAMES as PLATFORM_CONTROL
from ..platform.dialect import HEADER_NAMES as PLATFORM_NAMES
from .http import (
    DisconnectedError,
    Receive,
    Scope,
    Send,
    async_read_body,
    async_wait_for_disconnect,
    bind_socket,
    make_http_server,
)
from .server_model import NotRunReason, ServerModel, ServerModelSettings
from .store import WRITE_PATH

BACKEND_KEEP_ALIVE_S: Final = 10
POLL_INTERVAL_S: Final = 0.01
HEARTBEAT_INTERVAL_S: Final = 0.5
STATUS_BY_REASON: Final = {
    NotRunReason.SHED: 503,
    NotRunReason.FENCED: 421,
    NotRunReason.OTHER: 421,
    NotRunReason.EXPIRED: 503,
}
CRASH_MARKER: Final = b"crash-the-server"
MS_PER_S: Final = 1000.0

BoundServer = tuple[uvicorn.Server, socket.socket]
HeaderList = list[tuple[bytes, bytes]]


@attrs.frozen
class ProtocolNames:
    """Header, field and path names of one protocol between routers and servers."""

    headers: HeaderNames
    control: ControlNames
    health_path: str
    key_position_header: bytes


NATIVE: Final = ProtocolNames(
    NATIVE_NAMES, NATIVE_CONTROL, "/-/health", NATIVE_NAMES.key_position
)
PLATFORM: Final = ProtocolNames(
    PLATFORM_NAMES, PLATFORM_CONTROL, "/health", PLATFORM_NAMES.key_position
)


class BackendApplication:
    """ASGI application of one backend server.

    `unfrozen` is cleared while an injected freeze lasts; then only faults are handled.
    """

    def __init__(
        self, model: ServerModel, protocol_names: ProtocolNames = NATIVE
    ) -> None:
        self.model = model
        self.protocol_names = protocol_names
        self.server: uvicorn.Server | None = None
        self.unfrozen = anyio.Event()
        self.unfrozen.set()
        # By idempotency key, or by request ID if the protocol has no such key.
        self.execution_counts: dict[str, int] = {}
        self.organisations_by_request: dict[str, str] = {}
        self.credentials_seen = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle an HTTP request: a control call, a fault, or a caller's request."""
        if scope["type"] != "http":
            return
        try:
            body = await async_read_body(receive)
        except DisconnectedError:
            return
        control = self.protocol_names.control
        handler = {
            control.grant_path: self._async_grant_keys,
            control.release_path: self._async_release_keys,
            self.protocol_names.health_path: self._async_report_health,
            "/-/fault": self._async_inject_fault,
            "/-/counts": self._async_report_counts,
        }.get(scope["path"], self._async_run_request)
        if handler != self._async_inject_fault:
            await self.unfrozen.wait()
        if handler != self._async_run_request:
            await handler(scope, body, send)
            return
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._async_cancel_on_disconnect, receive, tg.cancel_scope)
            await handler(scope, body, send)
            tg.cancel_scope.cancel()

    def crash(self) -> None:
        """Abort all connections and restart the model as a new process."""
        self.model.restart(time.monotonic())
        if self.server is not None:
            for conn in list(self.server.server_state.connections):
                conn.transport.abort()

    async def _async_cancel_on_disconnect(
        self, receive: Receive, cancel_scope: anyio.CancelScope
    ) -> None:
        """Cancel a request when its connection closes, or after the freeze."""
        await async_wait_for_disconnect(receive)
        await self.unfrozen.wait()
        cancel_scope.cancel()

    async def _async_grant_keys(self, scope: Scope, body: bytes, send: Send) -> None:
        names, fields = self.protocol_names.control, json.loads(body)
        granted = self.model.grant_keys(
            fields[names.first_field],
            fields[names.last_field],
            fields[names.fence_field],
            _parse_duration_s(fields[names.duration_field]),
            time.monotonic(),
        )
        await self._async_send_json(send, 200 if granted else 409, {})

    async def _async_release_keys(self, scope: Scope, body: bytes, send: Send) -> None:
        names, fields = self.protocol_names.control, json.loads(body)
        first, last = fields[names.first_field], fields[names.last_field]
        self.model.release_keys(
            first, last, fields[names.fence_field], time.monotonic()
        )
        while self.model.has_requests_on(first, last):
            await anyio.sleep(POLL_INTERVAL_S)
        handover = (names.handover_header, self.model.make_handover_token().encode())
        await self._async_send_json(send, 200, {}, [handover])

    async def _async_report_health(self, scope: Scope, body: bytes, send: Send) -> None:
        now_s = time.monotonic()
        answer = {
            "start_id": self.model.server_id,
            "uptime_s": now_s - self.model.started_s,
        }
        await self._async_send_json(send, 503 if self.model.leaving else 200, answer)

    async def _async_report_counts(self, scope: Scope, body: bytes, send: Send) -> None:
        answer = {
            "ran": self.model.requests_run,
            "cold_overloads": self.model.cold_overloads,
            "duplicates": sum(n - 1 for n in self.execution_counts.values() if n > 1),
            "keys_seen": self.credentials_seen,
            "starts": self.model.start_count,
        }
        await self._async_send_json(send, 200, answer)

    async def _async_inject_fault(self, scope: Scope, body: bytes, send: Send) -> None:
        match json.loads(body):
            case {"slowness": float() | int() as factor}:
                self.model.slowness = float(factor)
            case {"freeze": True}:
                self.unfrozen = anyio.Event()
            case {"freeze": False}:
                self.unfrozen.set()
            case {"leaving": bool() as leaving}:
                self.model.leaving = leaving
            case {"pause_s": float() | int() as pause_s}:
                self.model.asked_pause_s = float(pause_s)
            case {"restart": True}:
                self.crash()
                return
        await self._async_send_json(send, 200, {})

    async def _async_run_request(self, scope: Scope, body: bytes, send: Send) -> None:
        names = self.protocol_names.headers
        headers = dict(scope["headers"])
        if CRASH_MARKER in body + scope["query_string"]:
            self.crash()
            return
        echo_headers = self._build_echo_headers(headers)
        position_header = headers.get(self.protocol_names.key_position_header)
        key_position = int(position_header) if position_header else None
        expected_server = headers.get(names.expected_server, b"").decode()
        reason = self.model.find_refusal_reason(
            key_position, expected_server, time.monotonic()
        )
        if reason is not None:
            echo_headers.append((names.not_run, reason.value.encode()))
            if reason is NotRunReason.SHED and self.model.asked_pause_s:
                pause = b"%.3f" % self.model.asked_pause_s
                echo_headers.append((RETRY_AFTER_HEADER, pause))
            await self._async_send_json(
                send, STATUS_BY_REASON[reason], {}, echo_headers
            )
            return
        await self._async_wait_for_slot()
        start_number = self.model.start_count
        self._count_execution(headers)
        self.model.begin_request(key_position, time.monotonic())
        try:
            await anyio.sleep(self.model.draw_service_time_s())
            await self.unfrozen.wait()
        finally:
            load = (names.load, self.model.format_load().encode())
            if self.model.start_count == start_number:
                self.model.end_request(key_position)
        answer = {
            "server": self.model.cfg.name,
            "organisation": headers.get(names.organisation, b"").decode(),
            "path": scope["path"],
            "body_bytes": len(body),
        }
        result_headers = [load]
        if names.signature:
            result_headers.append((names.signature, self.model.server_id.encode()))
        await self._async_send_json(send, 200, answer, [*echo_headers, *result_headers])

    async def _async_wait_for_slot(self) -> None:
        self.model.waiting_requests += 1
        try:
            while not self.model.has_free_slot():
                await anyio.sleep(POLL_INTERVAL_S)
        finally:
            self.model.waiting_requests -= 1

    def _build_echo_headers(self, headers: dict[bytes, bytes]) -> HeaderList:
        names = self.protocol_names.headers
        echo_headers = [(names.start_id, self.model.server_id.encode())]
        if names.request_id in headers:
            echo_headers.append((names.request_id, headers[names.request_id]))
        return echo_headers

    def _count_execution(self, headers: dict[bytes, bytes]) -> None:
        names = self.protocol_names.headers
        self.credentials_seen += names.credential in headers
        header_name = names.idempotency_key or names.request_id
        request_key = headers.get(header_name, b"").decode()
        if request_key:
            self.execution_counts[request_key] = (
                self.execution_counts.get(request_key, 0) + 1
            )
            self.organisations_by_request[request_key] = headers.get(
                names.organisation, b""
            ).decode()

    async def _async_send_json(
        self, send: Send, status: int, body: dict[str, Any], extra_headers: Any = ()
    ) -> None:
        content = json.dumps(body).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            (b"keep-alive", b"timeout=%d" % BACKEND_KEEP_ALIVE_S),
            *extra_headers,
        ]
        leaving_header = self.protocol_names.headers.leaving
        if self.model.leaving and leaving_header:
            headers.append((leaving_header, b"1"))
        start_message = {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
        await send(start_message)
        await send({"type": "http.response.body", "body": content})


def _parse_duration_s(value: Any) -> float:
    """Return seconds from a number of seconds or a text like "60000ms"."""
    if isinstance(value, str):
        return float(value.removesuffix("ms")) / MS_PER_S
    return float(value)


def make_backend_server(app: BackendApplication) -> uvicorn.Server:
    """Return an HTTP server whose connections the application aborts on a crash."""
    server = make_http_server(app, keep_alive_s=BACKEND_KEEP_ALIVE_S)
    app.server = server
    return server


async def async_announce_server(
    app: BackendApplication, address: str, data_centre: str, store: str
) -> None:
    """Write the server's entry to the store at `store` every heartbeat, forever.

    `address` is the server's own `host:port`. The entry of an earlier process start
    is removed.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        previous_id, sequence = "", 0
        while True:
            model, sequence = app.model, sequence + 1
            cold_left_ms = model.get_cold_left_s(time.monotonic()) * MS_PER_S
            entry = {
                "service": model.cfg.service,
                "address": address,
                "zone": data_centre,
                "version": "v1",
                "slots": model.cfg.slots,
                "state": "draining" if model.leaving else "ready",
                "warmup_left": f"{cold_left_ms:.0f}ms",
                "seq": sequence,
                "born": round(model.started_s * MS_PER_S),
            }
            writes: list[tuple[str, Any]] = [(model.server_id, entry)]
            if previous_id and previous_id != model.server_id:
                writes.append((previous_id, None))
            previous_id = model.server_id
            for server_id, value in writes:
                await _async_write_key(pool, store, f"servers/{server_id}", value)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)


async def _async_write_key(
    pool: httpcore.AsyncConnectionPool, store: str, key: str, value: Any
) -> None:
    fields: dict[str, Any] = {"key": key}
    if value is not None:
        fields["value"] = base64.b64encode(json.dumps(value).encode()).decode()
    content = json.dumps(fields).encode()
    try:
        await pool.request("PUT", f"http://{store}{WRITE_PATH}", content=content)
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as exc:
        print(f"cannot announce {key}: {exc}", flush=True)


async def async_serve_all(servers: list[BoundServer]) -> None:
    """Run all servers until they are stopped."""
    async with anyio.create_task_group() as tg:
        for server, sock in servers:
            tg.start_soon(server.serve, [sock])


def bind_service_servers(
    service: Service, args: argparse.Namespace
) -> list[BoundServer]:
    """Return a server for each declared backend server, bound to its address."""
    servers = []
    for number, entry in enumerate(service.backend_servers):
        cfg = ServerModelSettings(
            name=entry.name,
            service=service.name,
            slots=entry.slots,
            keyed=service.keyed,
            service_time_s=args.service_time_s,
        )
        model = ServerModel(cfg, random.Random(args.seed + number), time.monotonic())
        server = make_backend_server(BackendApplication(model))
        host, _, port = entry.address.rpartition(":")
        servers.append((server, bind_socket(host, int(port))))
    return servers


def main() -> None:
    """Run the backend servers of one declared service until they are stopped."""
    parser = argparse.ArgumentParser(
        prog="python -m wagtailrill.stand_ins.backend_server"
    )
    parser.add_argument("--declaration", type=Path, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--service-time-s", type=float, default=0.005)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    declaration = parse_declaration(args.declaration.read_bytes()).ok
    service = next(s for s in declaration.services if s.name == args.service)
    anyio.run(async_serve_all, bind_service_servers(service, args))


if __name__ == "__main__":
    main()
