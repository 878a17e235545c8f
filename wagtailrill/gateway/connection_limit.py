"""Limits the connections of a listener by closing the least advanced ones."""

import enum
import heapq
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from .const import CONNECTIONS_CLOSED_RATIO, DEFAULT_CONNECTIONS_MAX


class Advance(enum.IntEnum):
    """How far a connection has come; those with the lowest value are closed first."""

    CLOSING = 0  # its last response is written
    UNUSED = 1  # has sent no complete request for longer than callers need
    UNFINISHED = 2  # sends a request; all earlier ones are answered
    UNREAD = 3  # does not read its response
    IDLE = 4  # all its requests are answered
    NEW = 5
    BUSY = 6  # a request is being handled; never closed


@attrs.frozen(order=True)
class Progress:
    """How far a connection has come, and since when in event loop seconds."""

    advance: Advance
    since_s: float


class LimitedConnection(Protocol):
    """A connection that can be closed to make room for others."""

    def get_progress(self, now_s: float) -> Progress:
        """Return how far the connection has come."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class ConnectionLimit:
    """Keeps the connections of a listener under a limit.

    Several are closed at a time, as finding them takes a look at all connections.
    `on_closed` is called with their number.
    """

    def __init__(self, connections_max: int = DEFAULT_CONNECTIONS_MAX) -> None:
        self.connections_max = connections_max
        self.closed_count = 0
        self.on_closed: Callable[[int], None] = lambda count: None

    def make_room(
        self, connections: Iterable[LimitedConnection], now_s: float
    ) -> list[LimitedConnection]:
        """Close the least advanced connections; return them."""
        count = max(1, int(self.connections_max * CONNECTIONS_CLOSED_RATIO))
        rows: list[tuple[Progress, int, LimitedConnection]] = []
        for number, conn in enumerate(connections):
            progress = conn.get_progress(now_s)
            if progress.advance is not Advance.BUSY:
                rows.append((progress, number, conn))
        closed = [conn for _, _, conn in heapq.nsmallest(count, rows)]
        for conn in closed:
            conn.abort()
        return closed

    def record_closed(self, count: int) -> None:
        """Count connections that were closed for others, or not taken."""
        self.closed_count += count
        self.on_closed(count)
