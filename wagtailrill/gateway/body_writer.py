"""Writes large bodies to a transport piece by piece.

The connections of callers and to backend servers use it.
"""

import asyncio
from typing import Final

from .const import BODY_PIECE_BYTES, SMALL_BODY_MAX_BYTES

NOTHING: Final = memoryview(b"")


class BodyWriter:
    """Writes one message at a time, as fast as the transport takes it.

    The protocol of the transport passes `pause_writing` and `resume_writing` on, so
    that the transport copies no more of a body than a few pieces.
    """

    def __init__(self) -> None:
        self.paused_since_s: float | None = None
        self._transport: asyncio.Transport | None = None
        self._rest = NOTHING

    @property
    def is_done(self) -> bool:
        """Return whether the transport has taken all of the last message."""
        return not self._rest

    @property
    def is_ready(self) -> bool:
        """Return whether the transport takes a message now."""
        return self.is_done and self.paused_since_s is None

    def write(self, transport: asyncio.Transport, head: bytes, body: bytes) -> None:
        """Begin to write a message; the one before must be done."""
        if len(body) <= SMALL_BODY_MAX_BYTES:
            transport.write(head + body)
            return
        transport.write(head)
        self._transport, self._rest = transport, memoryview(body)
        self._write_pieces()

    def pause(self) -> None:
        """Note that the transport takes no more for now."""
        self.paused_since_s = asyncio.get_running_loop().time()

    def resume(self) -> None:
        """Go on, as the transport takes more again."""
        self.paused_since_s = None
        self._write_pieces()

    def drop(self) -> None:
        """Write no more of the message."""
        self._rest = NOTHING

    def _write_pieces(self) -> None:
        transport = self._transport
        while self._rest and self.paused_since_s is None:
            if transport is None or transport.is_closing():
                return
            piece, self._rest = (
                self._rest[:BODY_PIECE_BYTES],
                self._rest[BODY_PIECE_BYTES:],
            )
            transport.write(piece)
        if not self._rest:
            # An empty part of the body would keep all of it.
            self._rest = NOTHING
