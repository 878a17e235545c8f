"""Options of TCP sockets."""

import asyncio
import socket

from .const import (
    TCP_KEEP_ALIVE_IDLE_S,
    TCP_KEEP_ALIVE_INTERVAL_S,
    TCP_KEEP_ALIVE_PROBES,
    TCP_USER_TIMEOUT_MS,
)

# Options with which the system ends a connection whose peer has gone silent.
SILENCE_OPTIONS: list[tuple[int, int, int]] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]


def find_dead_peers(transport: asyncio.BaseTransport) -> None:
    """Let the system end a connection whose peer has gone silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in SILENCE_OPTIONS:
        sock.setsockopt(level, option, value)
