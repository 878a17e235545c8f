"""Draws the ports on which tests let a program listen that they start later."""

import os
import random
import socket
from pathlib import Path
from typing import Final

LOCAL_RANGE_FILE: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
# Bounds of the drawn ports: above the well-known services, below outgoing connections.
PORT_MIN: Final = 10_240
DEFAULT_PORT_LIMIT: Final = 32_768
TRIES_MAX: Final = 1_000

_RNG = random.Random(os.getpid())
_drawn: set[int] = set()


def find_free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now and that no outgoing connection can take.

    A port of the outgoing range may be taken again before the program listens there.
    """
    limit = read_port_limit()
    for _ in range(TRIES_MAX):
        port = _RNG.randrange(PORT_MIN, limit)
        if port not in _drawn and _is_free(host, port):
            _drawn.add(port)
            return port
    raise RuntimeError(f"no free port from {PORT_MIN} to {limit}")


def read_port_limit() -> int:
    """Return the lowest port that outgoing connections of this machine use."""
    try:
        return int(LOCAL_RANGE_FILE.read_text().split()[0])
    except OSError:
        return DEFAULT_PORT_LIMIT


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
