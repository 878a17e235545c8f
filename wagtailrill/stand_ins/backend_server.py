"""Backend server stand-in over HTTP: `python -m wagtailrill.stand_ins.backend_server`.

Its control interface is described in docs/backend-protocol.md.
"""

import argparse
import json
import math
import random
import socket
import time
from pathlib import Path
from typing import Any, Final

import anyio
import uvicorn
from expression import Result

from ..core.backend import BackendError, BackendErrorKind, Grant, Health, SlotEpoch
from ..core.headers import (
    EPOCH_HEADER,
    EXPIRES_HEADER,
    NOT_RUN_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    SLOT_HEADER,
    START_ID_HEADER,
)
from ..declaration.models import Service
from ..declaration.parse import parse
from .backend_model import BackendModel, BackendModelSettings, NotRun
from .http import (
    DisconnectedError,
    HttpAnswer,
    Receive,
    Scope,
    Send,
    async_read_body,
    async_send_answer,
    async_wait_for_disconnect,
    bind,
    make_server,
)

BACKEND_KEEP_ALIVE_S: Final = 300
STATUS_BY_REASON = {NotRun.SHED: 503, NotRun.FENCED: 409, NotRun.EXPIRED: 409}
STATUS_BY_ERROR = {BackendErrorKind.FENCED: 409, BackendErrorKind.UNKNOWN_GRANT: 404}
CRASH_MARK = b"crash-the-server"

BoundServer = tuple[uvicorn.Server, socket.socket]


class BackendApplication:
    """ASGI application of the stand-in."""

    def __init__(self, model: BackendModel) -> None:
        self.model = model
        self.server: uvicorn.Server | None = None
        self.frozen = anyio.Event()
        self.frozen.set()
        self.executions: dict[str, int] = {}
        self.crash_on_mark = True
        self.echoes_request_id = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            body = await async_read_body(receive)
        except DisconnectedError:
            return
        handler = {
            "/-/grant": self._async_grant,
            "/-/health": self._async_health,
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

    async def _async_cancel_when_left(
        self, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        """Stop an order whose connection was closed; a frozen server goes on."""
        await async_wait_for_disconnect(receive)
        await self.frozen.wait()
        scope.cancel()

    def crash(self) -> None:
        """Drop all connections and come back cold."""
        self.model.restart(time.monotonic())
        if self.server is not None:
            for conn in list(self.server.server_state.connections):
                conn.transport.abort()

    async def _async_grant(self, scope: Scope, body: bytes, send: Send) -> None:
        data = json.loads(body)
        grant = Grant(
            service=data["service"],
            fence=data["fence"],
            slots=tuple(SlotEpoch(*pair) for pair in data["slots"]),
            duration_s=data["duration_s"],
            renew_only=data["renew_only"],
            expires_unix_s=data["expires_unix_s"] or math.inf,
        )
        result: Result[Any, BackendError] = self.model.grant(
            grant, time.monotonic(), time.time()
        )
        if result.is_ok():
            await async_send_answer(send, HttpAnswer(200, {"fence": result.ok.fence}))
            return
        error = result.error
        answer = {"kind": error.kind.value, "fence": error.fence}
        await async_send_answer(send, HttpAnswer(STATUS_BY_ERROR[error.kind], answer))

    async def _async_health(self, scope: Scope, body: bytes, send: Send) -> None:
        health: Health = self.model.health(time.monotonic())
        answer = {
            "healthy": health.healthy,
            "start_id": health.start_id,
            "uptime_s": health.uptime_s,
            "load": health.load,
        }
        await async_send_answer(send, HttpAnswer(200, answer))

    async def _async_counts(self, scope: Scope, body: bytes, send: Send) -> None:
        answer = {
            "ran": self.model.ran,
            "overloads": self.model.overloads,
            "duplicates": sum(n - 1 for n in self.executions.values() if n > 1),
            "starts": self.model.starts,
        }
        await async_send_answer(send, HttpAnswer(200, answer))

    async def _async_fault(self, scope: Scope, body: bytes, send: Send) -> None:
        fault = json.loads(body)
        match fault:
            case {"slowdown": float() | int() as factor}:
                self.model.slowdown = float(factor)
            case {"freeze": True}:
                self.frozen = anyio.Event()
            case {"freeze": False}:
                self.frozen.set()
            case {"restart": True}:
                self.crash()
                return
        await async_send_answer(send, HttpAnswer(200, {}))

    async def _async_order(self, scope: Scope, body: bytes, send: Send) -> None:
        headers = dict(scope["headers"])
        if self.crash_on_mark and CRASH_MARK in body + scope["query_string"]:
            self.crash()
            return
        slot, epoch = headers.get(SLOT_HEADER), headers.get(EPOCH_HEADER)
        reason = self.model.admit(
            slot=int(slot) if slot else None,
            epoch=int(epoch) if epoch else None,
            expires_unix_s=float(headers.get(EXPIRES_HEADER, b"inf")),
            now_s=time.monotonic(),
            wall_s=time.time(),
        )
        echo = self._echo(headers)
        if reason is not None:
            extra = ((NOT_RUN_HEADER, reason.value.encode()), *echo)
            answer = HttpAnswer(STATUS_BY_REASON[reason], {"not_run": reason}, extra)
            await async_send_answer(send, answer)
            return
        start = self.model.starts
        self._count(headers)
        try:
            await anyio.sleep(self.model.service_time_s())
            await self.frozen.wait()
        finally:
            if self.model.starts == start:
                self.model.finish(time.monotonic())
        organisation = headers.get(ORGANISATION_HEADER, b"").decode()
        content = {
            "server": self.model.cfg.name,
            "organisation": organisation,
            "path": scope["path"],
        }
        await async_send_answer(send, HttpAnswer(200, content, echo))

    def _echo(self, headers: dict[bytes, bytes]) -> tuple[tuple[bytes, bytes], ...]:
        echo = [(START_ID_HEADER, self.model.start_id.encode())]
        if self.echoes_request_id and REQUEST_ID_HEADER in headers:
            echo.append((REQUEST_ID_HEADER, headers[REQUEST_ID_HEADER]))
        return tuple(echo)

    def _count(self, headers: dict[bytes, bytes]) -> None:
        key = headers.get(b"idempotency-key", b"").decode()
        if key:
            self.executions[key] = self.executions.get(key, 0) + 1


def make_backend_server(app: BackendApplication) -> uvicorn.Server:
    """Return a server for the application, whose crashes close its connections."""
    app.server = make_server(app, BACKEND_KEEP_ALIVE_S, stop_timeout_s=None)
    return app.server


def servers_of(service: Service, args: argparse.Namespace) -> list[BoundServer]:
    """Return a server with its socket for each backend server of a service."""
    servers = []
    for number, entry in enumerate(service.backend_servers):
        cfg = BackendModelSettings(
            name=entry.name,
            slots=entry.slots,
            checks_grants=service.checks_grants,
            service_time_s=args.service_time_s,
        )
        rng = random.Random(args.seed + number)
        warm_s = cfg.slots * cfg.warm_step_s if args.warm else 0.0
        model = BackendModel(cfg, rng, started_s=time.monotonic() - warm_s)
        host, _, port = entry.address.rpartition(":")
        server = make_backend_server(BackendApplication(model))
        servers.append((server, bind(host, int(port))))
    return servers


async def async_serve_all(servers: list[BoundServer]) -> None:
    """Run all servers until the process is stopped."""
    async with anyio.create_task_group() as tg:
        for server, sock in servers:
            tg.start_soon(server.serve, [sock])


def main() -> None:
    """Run the stand-ins of a service until they are stopped."""
    parser = argparse.ArgumentParser(description="Backend server stand-ins.")
    parser.add_argument("--declaration", type=Path, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--service-time-s", type=float, default=0.005)
    parser.add_argument("--warm", action="store_true", help="start warm")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    declaration = parse(args.declaration.read_bytes()).ok
    service = next(s for s in declaration.services if s.name == args.service)
    anyio.run(async_serve_all, servers_of(service, args))


if __name__ == "__main__":
    main()
