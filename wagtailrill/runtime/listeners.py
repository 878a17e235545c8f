"""Servers that accept the connections of callers and of the admin interface."""

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

from ..declaration.models import CallerLimits
from ..gateway.caller_listener import CallerListenerState
from ..gateway.caller_protocol import make_protocol_factory
from .const import (
    ACCEPTED_MAX,
    ADMIN_BODY_MAX_BYTES,
    ADMIN_HEADER_MAX_BYTES,
    ADMIN_HEADER_TIMEOUT_S,
    ADMIN_IDLE_TIMEOUT_S,
    LISTEN_QUEUE_MAX,
)

ADMIN_LIMITS = CallerLimits(
    ADMIN_HEADER_MAX_BYTES,
    ADMIN_BODY_MAX_BYTES,
    ADMIN_HEADER_TIMEOUT_S,
    ADMIN_IDLE_TIMEOUT_S,
)


class ListenerServer(uvicorn.Server):
    """Server without signal handlers, as `Process` handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Serve until cancelled; uvicorn's loop looks for changes every 0.1 s."""
        await self.on_tick(0)
        await anyio.sleep_forever()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, and let more connections wait than are accepted at once."""
        await super().startup(sockets)
        for server in self.servers:
            for sock in server.sockets:
                with socket.socket(fileno=os.dup(sock.fileno())) as listening_socket:
                    listening_socket.listen(LISTEN_QUEUE_MAX)


def make_server(state: CallerListenerState, address: str) -> uvicorn.Server:
    """Return a server whose connections share the state of a listener."""
    host, _, port = address.rpartition(":")
    # uvloop is not used, as its libuv may use io_uring.
    return ListenerServer(
        uvicorn.Config(
            _unused_application,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http=make_protocol_factory(state),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=ACCEPTED_MAX,
        )
    )


async def _unused_application(scope: Any, receive: Any, send: Any) -> None:
    """Fill uvicorn's required argument; `CallerProtocol` serves requests itself."""
