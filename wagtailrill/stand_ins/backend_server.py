"""Backend server stand-in over HTTP: `python -m wagtailrill.stand_ins.backend_server`.

It speaks wagtailrill's own protocol, described in docs/backend-protocol.md, or the
platform's, by the same code and two tables of names.
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
    bind,
    make_server,
)
from .server_model import NotRun, ServerModel, ServerModelSettings
from .store import WRITE_PATH

BACKEND_KEEP_ALIVE_S: Final = 10
RELEASE_POLL_S: Final = 0.01
HEARTBEAT_S: Final = 0.5
STATUS_BY_REASON: Final = {
    NotRun.SHED: 503,
    NotRun.FENCED: 421,
    NotRun.OTHER: 421,
    NotRun.EXPIRED: 503,
}
CRASH_MARK: Final = b"crash-the-server"
SIGNATURE: Final = b"upstream-signature"
MS_PER_S: Final = 1000.0

BoundServer = tuple[uvicorn.Server, socket.socket]
HeaderList = list[tuple[bytes, bytes]]


@attrs.frozen
class Speech:
    """The names that a stand-in uses, and the paths that it serves beside requests."""

    headers: HeaderNames
    control: ControlNames
    health_path: str
    key_position: bytes


NATIVE: Final = Speech(
    NATIVE_NAMES, NATIVE_CONTROL, "/-/health", NATIVE_NAMES.key_position
)
PLATFORM: Final = Speech(
    PLATFORM_NAMES, PLATFORM_CONTROL, "/health", PLATFORM_NAMES.key_position
)


class BackendApplication:
    """ASGI application of the stand-in."""

    def __init__(self, model: ServerModel, speech: Speech = NATIVE) -> None:
        self.model = model
        self.speech = speech
        self.server: uvicorn.Server | None = None
        self.frozen = anyio.Event()
        self.frozen.set()
        # Runs by the caller's name of the request, or by its idempotency key.
        self.executions: dict[str, int] = {}
        self.organisations: dict[str, str] = {}
        self.keys_seen = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            body = await async_read_body(receive)
        except DisconnectedError:
            return
        control = self.speech.control
        handler = {
            control.grant_path: self._async_grant,
            control.release_path: self._async_release,
            self.speech.health_path: self._async_health,
            "/-/fault": self._async_fault,
            "/-/counts": self._async_counts,
        }.get(scope["path"], self._async_order)
        if handler != self._async_fault:
            await self.frozen.wait()
        if handler != self._async_order:
            await handler(scope, body, send)
            return
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._async_cancel_when_left, receive, tg.cancel_scope)
            await handler(scope, body, send)
            tg.cancel_scope.cancel()

    def crash(self) -> None:
        """Drop all connections and come back as another process start."""
        self.model.restart(time.monotonic())
        if self.server is not None:
            for conn in list(self.server.server_state.connections):
                conn.transport.abort()

    async def _async_cancel_when_left(
        self, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        """Stop a request whose connection was closed; a frozen server goes on."""
        await async_wait_for_disconnect(receive)
        await self.frozen.wait()
        scope.cancel()

    async def _async_grant(self, scope: Scope, body: bytes, send: Send) -> None:
        names, fields = self.speech.control, json.loads(body)
        granted = self.model.grant(
            fields[names.first_field],
            fields[names.last_field],
            fields[names.fence_field],
            _seconds(fields[names.duration_field]),
            time.monotonic(),
        )
        await self._async_send(send, 200 if granted else 409, {})

    async def _async_release(self, scope: Scope, body: bytes, send: Send) -> None:
        names, fields = self.speech.control, json.loads(body)
        first, last = fields[names.first_field], fields[names.last_field]
        self.model.release(first, last, fields[names.fence_field], time.monotonic())
        while self.model.works_on(first, last):
            await anyio.sleep(RELEASE_POLL_S)
        handover = (names.handover_header, self.model.handover().encode())
        await self._async_send(send, 200, {}, [handover])

    async def _async_health(self, scope: Scope, body: bytes, send: Send) -> None:
        now_s = time.monotonic()
        answer = {
            "start_id": self.model.server_id,
            "uptime_s": now_s - self.model.started_s,
        }
        await self._async_send(send, 503 if self.model.leaving else 200, answer)

    async def _async_counts(self, scope: Scope, body: bytes, send: Send) -> None:
        answer = {
            "ran": self.model.ran,
            "cold_overloads": self.model.cold_overloads,
            "duplicates": sum(n - 1 for n in self.executions.values() if n > 1),
            "keys_seen": self.keys_seen,
            "starts": self.model.starts,
        }
        await self._async_send(send, 200, answer)

    async def _async_fault(self, scope: Scope, body: bytes, send: Send) -> None:
        match json.loads(body):
            case {"slowness": float() | int() as factor}:
                self.model.slowness = float(factor)
            case {"freeze": True}:
                self.frozen = anyio.Event()
            case {"freeze": False}:
                self.frozen.set()
            case {"leaving": bool() as leaving}:
                self.model.leaving = leaving
            case {"restart": True}:
                self.crash()
                return
        await self._async_send(send, 200, {})

    async def _async_order(self, scope: Scope, body: bytes, send: Send) -> None:
        names = self.speech.headers
        headers = dict(scope["headers"])
        if CRASH_MARK in body + scope["query_string"]:
            self.crash()
            return
        echo = self._echo(headers)
        position = headers.get(self.speech.key_position)
        key = int(position) if position else None
        expected = headers.get(names.expected_server, b"").decode()
        reason = self.model.refuses(key, expected, time.monotonic())
        if reason is not None:
            echo.append((names.not_run, reason.value.encode()))
            await self._async_send(send, STATUS_BY_REASON[reason], {}, echo)
            return
        await self._async_wait_for_slot()
        start = self.model.starts
        self._count(headers)
        self.model.begin(key, time.monotonic())
        try:
            await anyio.sleep(self.model.work_s())
            await self.frozen.wait()
        finally:
            load = (names.load, self.model.load().encode())
            if self.model.starts == start:
                self.model.end(key)
        content = {
            "server": self.model.cfg.name,
            "organisation": headers.get(names.organisation, b"").decode(),
            "path": scope["path"],
            "body_bytes": len(body),
        }
        extra = [load, (SIGNATURE, self.model.server_id.encode())]
        await self._async_send(send, 200, content, [*echo, *extra])

    async def _async_wait_for_slot(self) -> None:
        self.model.waiting += 1
        try:
            while not self.model.has_free_slot():
                await anyio.sleep(RELEASE_POLL_S)
        finally:
            self.model.waiting -= 1

    def _echo(self, headers: dict[bytes, bytes]) -> HeaderList:
        names = self.speech.headers
        echo = [(names.start_id, self.model.server_id.encode())]
        if names.request_id in headers:
            echo.append((names.request_id, headers[names.request_id]))
        return echo

    def _count(self, headers: dict[bytes, bytes]) -> None:
        names = self.speech.headers
        self.keys_seen += names.credential in headers
        name = names.idempotency_key or names.request_id
        key = headers.get(name, b"").decode()
        if key:
            self.executions[key] = self.executions.get(key, 0) + 1
            self.organisations[key] = headers.get(names.organisation, b"").decode()

    async def _async_send(
        self, send: Send, status: int, body: dict[str, Any], extra: Any = ()
    ) -> None:
        content = json.dumps(body).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            (b"keep-alive", b"timeout=%d" % BACKEND_KEEP_ALIVE_S),
            *extra,
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": content})


def _seconds(value: Any) -> float:
    """Return seconds of a number, or of a text in milliseconds."""
    if isinstance(value, str):
        return float(value.removesuffix("ms")) / MS_PER_S
    return float(value)


def make_backend_server(app: BackendApplication) -> uvicorn.Server:
    """Return a server that leaves open connections to the application's faults."""
    server = make_server(app, keep_alive_s=BACKEND_KEEP_ALIVE_S)
    app.server = server
    return server


async def async_announce(
    app: BackendApplication, address: str, data_centre: str, store: str
) -> None:
    """Write the server's entry into the store stand-in again and again."""
    async with httpcore.AsyncConnectionPool() as pool:
        former, number = "", 0
        while True:
            model, number = app.model, number + 1
            cold_left_ms = model.cold_left_s(time.monotonic()) * MS_PER_S
            entry = {
                "service": model.cfg.service,
                "address": address,
                "zone": data_centre,
                "version": "v1",
                "slots": model.cfg.slots,
                "state": "draining" if model.leaving else "ready",
                "warmup_left": f"{cold_left_ms:.0f}ms",
                "seq": number,
                "born": round(model.started_s * MS_PER_S),
            }
            writes: list[tuple[str, Any]] = [(model.server_id, entry)]
            if former and former != model.server_id:
                writes.append((former, None))
            former = model.server_id
            for name, value in writes:
                await _async_write(pool, store, f"servers/{name}", value)
            await anyio.sleep(HEARTBEAT_S)


async def _async_write(
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
    """Serve until told to stop."""
    async with anyio.create_task_group() as tg:
        for server, sock in servers:
            tg.start_soon(server.serve, [sock])


def servers_of(service: Service, args: argparse.Namespace) -> list[BoundServer]:
    """Return the servers of a declared service, bound to their addresses."""
    servers = []
    for number, entry in enumerate(service.backend_servers):
        cfg = ServerModelSettings(
            name=entry.name,
            service=service.name,
            slots=entry.slots,
            keyed=service.keyed,
            work_s=args.service_time_s,
        )
        model = ServerModel(cfg, random.Random(args.seed + number), time.monotonic())
        server = make_backend_server(BackendApplication(model))
        host, _, port = entry.address.rpartition(":")
        servers.append((server, bind(host, int(port))))
    return servers


def main() -> None:
    """Run the backend servers of one service until told to stop."""
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
    anyio.run(async_serve_all, servers_of(service, args))


if __name__ == "__main__":
    main()
