"""Incoming connections of peers: splits the received bytes into frames.

The transport creates one for each accepted connection and sends its acknowledgements.
"""

import asyncio
from collections.abc import Callable

import attrs

from .const import (
    ACKNOWLEDGEMENT,
    FRAME_MAX_BYTES,
    LENGTH_PREFIX_BYTES,
    RECEIVE_BUFFER_BYTES,
)


@attrs.frozen
class ReceiverParts:
    """What all incoming connections share.

    `accept_frame` takes each frame, `reject_stream` is called when a frame is too long,
    and `request_acknowledgement` when frames have been received. The connections that
    are open are in `connections`. All receive into the same `buffer`, as the event loop
    reads from one socket at a time.
    """

    accept_frame: Callable[[bytes], None]
    reject_stream: Callable[[], None]
    request_acknowledgement: Callable[["IncomingConnection"], None]
    connections: "set[IncomingConnection]" = attrs.field(factory=set)
    buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(RECEIVE_BUFFER_BYTES))
    )


class IncomingConnection(asyncio.BufferedProtocol):
    """A connection on which a peer sends frames."""

    def __init__(self, parts: ReceiverParts) -> None:
        self._parts = parts
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parts.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop an incomplete frame."""
        self._transport = None
        self._unread.clear()
        self._parts.connections.discard(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop receives into."""
        return self._parts.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the frames that are complete."""
        received = self._parts.buffer[:nbytes]
        if not self._unread:
            # Most reads hold whole frames, which need not be copied into a buffer.
            self._unread += received[self._read_frames(received) :]
            return
        self._unread += received
        with memoryview(self._unread) as data:
            end = self._read_frames(data)
        del self._unread[:end]

    def send_acknowledgement(self) -> None:
        """Tell the peer that its frames up to now have been received."""
        if self._transport is not None:
            self._transport.write(ACKNOWLEDGEMENT)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _read_frames(self, data: memoryview) -> int:
        """Pass on the complete frames; return the position after the last one."""
        start = 0
        while len(data) - start >= LENGTH_PREFIX_BYTES:
            first = start + LENGTH_PREFIX_BYTES
            length = int.from_bytes(data[start:first], "big")
            if length > FRAME_MAX_BYTES:
                self._parts.reject_stream()
                self.abort()
                return len(data)
            end = first + length
            if len(data) < end:
                break
            self._parts.accept_frame(bytes(data[first:end]))
            start = end
        if start:
            self._parts.request_acknowledgement(self)
        return start
