"""Outgoing connection to one peer: connects, writes queued frames, reconnects.

The transport has one for each instance that it sends to.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs
import structlog

from .const import (
    ACKNOWLEDGE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    RECONNECT_DELAY_S,
    SEND_QUEUE_MAX_FRAMES,
    WRITE_MAX_BYTES,
)
from .counters import PeerCounters
from .frame import add_length_prefix

SILENT_OR_CLOSED = "silent_or_closed"

_LOG = structlog.get_logger()


@attrs.frozen
class SenderParts:
    """What all senders share.

    `request_flush` has `PeerSender.flush` called at the end of this turn of the event
    loop, `request_check` has `PeerSender.check_acknowledgement` called soon.
    """

    counters: PeerCounters
    request_flush: Callable[["PeerSender"], None]
    request_check: Callable[["PeerSender"], None]


class PeerSender:
    """Sends frames to one instance; drops them while it cannot be reached."""

    def __init__(self, address: str, parts: SenderParts) -> None:
        self.address = address
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._queue: deque[bytes] = deque()
        self._conn: _OutgoingConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._unacknowledged_since_s: float | None = None
        self._is_lost = False
        self._is_closed = False

    def enqueue_frame(self, frame: bytes) -> None:
        """Queue a frame; drop it if the queue is full."""
        if len(self._queue) >= SEND_QUEUE_MAX_FRAMES:
            self._parts.counters.dropped_frames += 1
            return
        self._queue.append(frame)
        if self._conn is not None:
            self._parts.request_flush(self)
        elif self._connect_task is None or self._connect_task.done():
            self._start_connecting(0.0)

    def flush(self) -> None:
        """Write the queued frames as long as the connection takes them."""
        while self._queue and self._conn is not None and self._conn.is_writable:
            self._write_some(self._conn)

    def check_acknowledgement(self) -> bool:
        """Close the connection if the peer has been silent for too long.

        Return whether an acknowledgement is still awaited.
        """
        since_s = self._unacknowledged_since_s
        if since_s is None:
            return False
        if self._loop.time() - since_s <= ACKNOWLEDGE_TIMEOUT_S:
            return True
        self._parts.counters.silent_connections += 1
        if self._conn is not None:
            self._conn.abort()
        return False

    def close(self) -> None:
        """Stop sending and close the connection."""
        self._is_closed = True
        self._queue.clear()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._conn is not None:
            self._conn.abort()

    # Called by the connection

    def on_connected(self, conn: "_OutgoingConnection") -> None:
        """Send the frames that were queued in the meantime."""
        if self._is_closed:
            conn.abort()
            return
        self._conn = conn
        if self._is_lost:
            self._is_lost = False
            _LOG.info("peer_regained", address=self.address)
        self.flush()

    def on_acknowledged(self) -> None:
        """Record that the peer has received frames."""
        self._unacknowledged_since_s = None

    def on_connection_lost(self) -> None:
        """Connect again after a delay, if there are frames by then."""
        self._conn = None
        self._unacknowledged_since_s = None
        if self._is_closed:
            return
        # What was written last has probably not arrived.
        self._parts.counters.dropped_frames += 1
        self._log_lost_peer(SILENT_OR_CLOSED)
        self._start_connecting(RECONNECT_DELAY_S)

    def _write_some(self, conn: "_OutgoingConnection") -> None:
        parts: list[bytes] = []
        size = 0
        while self._queue and size < WRITE_MAX_BYTES:
            data = add_length_prefix(self._queue.popleft())
            parts.append(data)
            size += len(data)
        conn.write(b"".join(parts))
        self._parts.counters.sent_frames += len(parts)
        self._parts.counters.sent_bytes += size
        if self._unacknowledged_since_s is None:
            self._unacknowledged_since_s = self._loop.time()
            self._parts.request_check(self)

    def _start_connecting(self, delay_s: float) -> None:
        self._connect_task = self._loop.create_task(self._async_connect(delay_s))

    async def _async_connect(self, delay_s: float) -> None:
        """Try to connect as long as there are frames to send."""
        host, _, port = self.address.rpartition(":")
        while True:
            await asyncio.sleep(delay_s)
            if not self._queue:
                return
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await self._loop.create_connection(
                        lambda: _OutgoingConnection(self), host, int(port)
                    )
                return
            except OSError as exc:
                self._drop_first_frame()
                self._log_lost_peer(type(exc).__name__)
            delay_s = RECONNECT_DELAY_S

    def _drop_first_frame(self) -> None:
        if self._queue:
            self._queue.popleft()
            self._parts.counters.dropped_frames += 1

    def _log_lost_peer(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            _LOG.info("peer_lost", address=self.address, reason=reason)


class _OutgoingConnection(asyncio.Protocol):
    """Connection of a sender; the peer returns only acknowledgements on it."""

    def __init__(self, sender: PeerSender) -> None:
        self.is_writable = True
        self._sender = sender
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._sender.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._sender.on_connection_lost()

    def data_received(self, data: bytes) -> None:
        self._sender.on_acknowledged()

    def pause_writing(self) -> None:
        self.is_writable = False

    def resume_writing(self) -> None:
        self.is_writable = True
        self._sender.flush()

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
