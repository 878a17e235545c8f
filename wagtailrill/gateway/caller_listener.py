"""State that all connections of one listener share, and its limits."""

import asyncio
import itertools
from typing import Protocol

import attrs

from ..core.refusals import Refusal
from ..declaration.models import CallerLimits
from .body_memory import BodyMemory
from .caller_exchange import RequestHandler
from .connection_limit import ConnectionLimit, LimitedConnection
from .const import BODY_READ_BYTES, PIPELINED_REQUESTS_MAX
from .dialects import CallerDialect
from .input_turns import InputTurns


class CallerConnection(LimitedConnection, Protocol):
    """One connection of a listener; implemented by `CallerProtocol`."""

    def pause_reading(self) -> None:
        """Leave what the caller sends in the buffers of the socket."""
        ...

    def shutdown(self) -> None:
        """Close the connection if it is idle."""
        ...

    def refuse_unfinished_request(self, refusal: Refusal) -> None:
        """Refuse a request that is still being received, if there is one."""
        ...

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection if it is idle for too long; refuse a slow request."""
        ...


@attrs.define
class CallerListenerState:
    """State that all connections of one listener share.

    While no configuration has confirmed the limits, `provisional_refusal` is given to a
    request that is larger. Once it `has_ended`, no connection reads or passes on what
    it receives. `memory` counts what is held for callers. `pipelined_requests_max`
    unanswered requests of one connection are read.
    """

    handler: RequestHandler
    dialect: CallerDialect
    limits: CallerLimits
    provisional_refusal: Refusal | None = None
    memory: BodyMemory = attrs.field(factory=BodyMemory)
    connection_limit: ConnectionLimit = attrs.field(factory=ConnectionLimit)
    pipelined_requests_max: int = PIPELINED_REQUESTS_MAX
    connections: set[CallerConnection] = attrs.field(factory=set)
    turns: InputTurns = attrs.field(factory=InputTurns)
    request_ids: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )
    # Each read is copied out of it before another connection reads.
    read_buffer: bytearray = attrs.field(factory=lambda: bytearray(BODY_READ_BYTES))
    is_stopping: bool = False
    has_ended: bool = False

    def add(self, conn: CallerConnection) -> bool:
        """Add a connection, and close others if needed; return whether it may stay."""
        limit = self.connection_limit
        if len(self.connections) >= limit.connections_max:
            now_s = asyncio.get_running_loop().time()
            closed = limit.make_room(self.connections, now_s)
            self.connections.difference_update(closed)
            limit.record_closed(max(len(closed), 1))
            if not closed:
                return False
        self.connections.add(conn)
        return True

    def end(self) -> None:
        """Leave unread what still arrives, since the process ends."""
        self.has_ended = True
        for conn in self.connections:
            conn.pause_reading()
