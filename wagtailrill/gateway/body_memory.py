"""Accounts for the bytes that a process holds for bodies, both ways, and limits them.

The connections of callers and to backend servers use one account together.
"""

from collections.abc import Callable
from typing import Final

from .const import SMALL_BODY_MAX_BYTES

NO_LIMIT_BYTES: Final = 1 << 62


class BodyMemory:
    """Bytes of the bodies that are being received, kept or sent by this process.

    When they exceed `limit_bytes`, the largest bodies that can be given up are, until
    the rest fits. Bodies of up to `SMALL_BODY_MAX_BYTES` count, but are never given up.
    `peak_bytes` is the most that was held, `given_up_count` the number of bodies.
    """

    def __init__(self, limit_bytes: int = NO_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.given_up_count = 0
        self.on_given_up: Callable[[int], None] = lambda body_bytes: None
        self._large_holds: set[BodyHold] = set()

    def open_hold(self, give_up: Callable[[], None] | None = None) -> "BodyHold":
        """Return a hold of no bytes.

        `give_up` drops the body and ends what it belongs to, but calls no handler
        before it returns; without it the body is kept.
        """
        return BodyHold(self, give_up)

    def track(self, hold: "BodyHold") -> None:
        """Make room after a hold has grown, or note that it is no longer large."""
        if hold.give_up is not None and hold.held_bytes > SMALL_BODY_MAX_BYTES:
            self._large_holds.add(hold)
        else:
            self._large_holds.discard(hold)
        while self.held_bytes > self.limit_bytes and self._large_holds:
            self._give_up_largest()

    def _give_up_largest(self) -> None:
        hold = max(self._large_holds, key=lambda large: large.held_bytes)
        give_up, hold.give_up = hold.give_up, None
        assert give_up is not None
        body_bytes = hold.held_bytes
        self._large_holds.discard(hold)
        self.held_bytes -= body_bytes
        hold.held_bytes, hold.is_closed = 0, True
        self.given_up_count += 1
        self.on_given_up(body_bytes)
        give_up()


class BodyHold:
    """The bytes of one body, which its holder counts until they are released.

    One that `is_closed` counts nothing any more: the body was given up, or has ended.
    """

    __slots__ = ("_memory", "give_up", "held_bytes", "is_closed")

    def __init__(self, memory: BodyMemory, give_up: Callable[[], None] | None) -> None:
        self.held_bytes = 0
        self.is_closed = False
        self.give_up = give_up
        self._memory = memory

    def set_bytes(self, held_bytes: int) -> None:
        """Count a body of a size in bytes."""
        if self.is_closed:
            return
        memory = self._memory
        memory.held_bytes += held_bytes - self.held_bytes
        was_large = self.held_bytes > SMALL_BODY_MAX_BYTES
        self.held_bytes = held_bytes
        if was_large or held_bytes > SMALL_BODY_MAX_BYTES:
            memory.track(self)
        if memory.held_bytes > memory.peak_bytes:
            memory.peak_bytes = memory.held_bytes

    def set_give_up(self, give_up: Callable[[], None] | None) -> None:
        """Set what ends the body's use; without it the body is kept."""
        self.give_up = give_up
        if self.held_bytes > SMALL_BODY_MAX_BYTES:
            self._memory.track(self)

    def release(self) -> None:
        """Count the body no longer."""
        if self.held_bytes:
            self.set_bytes(0)

    def close(self) -> None:
        """Count the body no longer, and nothing later."""
        self.release()
        self.is_closed = True
