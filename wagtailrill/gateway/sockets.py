"""TCP socket options, so that the operating system detects dead peers.

Used for the connections to backend servers and to the store.
"""

import asyncio
import socket
import struct
from typing import Final

from .const import (
    TCP_KEEP_ALIVE_IDLE_S,
    TCP_KEEP_ALIVE_INTERVAL_S,
    TCP_KEEP_ALIVE_PROBES,
    TCP_USER_TIMEOUT_MS,
)

# Each option as the arguments of `socket.setsockopt`. They make the system close a
# connection whose peer stops responding, and send small writes without delay.
TCP_SOCKET_OPTIONS: list[tuple[int, int, int]] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]


# Value of SO_LINGER with which closing discards what has not been delivered.
LINGER_RESET: Final = struct.pack("ii", 1, 0)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the close of a transport's socket reset the connection.

    The system then delivers no more of what was sent; after a regular close it would go
    on for as long as it takes, for example until a cut link is restored.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def set_tcp_options(transport: asyncio.BaseTransport) -> None:
    """Set the options on a transport's socket; do nothing if it has none."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in TCP_SOCKET_OPTIONS:
        sock.setsockopt(level, option, value)
