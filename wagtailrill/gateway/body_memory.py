"""Accounts for the bytes that a process holds for its callers, and limits them.

Heads, bodies, queued requests and unsent answers count. The connections of callers and
to backend servers use one account together.
"""

from collections.abc import Callable
from typing import Final

from .const import SMALL_BODY_MAX_BYTES

NO_LIMIT_BYTES: Final = 1 << 62
# Holds of more than 2^(n-1) and up to 2^n bytes are of size class n.
_SIZE_CLASSES: Final = 64
_SMALL_SIZE_CLASS_MAX: Final = (SMALL_BODY_MAX_BYTES - 1).bit_length()
# Small holds may exceed the limit by this part of it before they are given up, so that
# small requests are served while large bodies fill the account.
_SMALL_RESERVE_RATIO: Final = 0.1


class BodyMemory:
    """Bytes that this process receives, keeps or sends for callers' requests.

    When they exceed `limit_bytes`, the largest holds that can be given up are, until
    the rest fits. Holds of up to `SMALL_BODY_MAX_BYTES` are given up only if they are
    unfinished input or unread answers of callers and the bytes also exceed a reserve
    above the limit. `peak_bytes` is the most that was held, `given_up_count` the number
    of holds.
    """

    def __init__(self, limit_bytes: int = NO_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.small_limit_bytes = int(limit_bytes * (1 + _SMALL_RESERVE_RATIO))
        self.held_bytes = 0
        self.peak_bytes = 0
        self.given_up_count = 0
        self.on_given_up: Callable[[int], None] = lambda body_bytes: None
        # The holds that can be given up by size class; in a class the oldest is first.
        self._holds: list[dict[BodyHold, None]] = [{} for _ in range(_SIZE_CLASSES)]

    def open_hold(
        self, give_up: Callable[[], None] | None = None, gives_up_small: bool = False
    ) -> "BodyHold":
        """Return a hold of no bytes.

        `give_up` drops the bytes and ends what they belong to, but calls no handler
        before it returns; without it they are kept. With `gives_up_small` this also
        applies to a small hold.
        """
        return BodyHold(self, give_up, gives_up_small)

    def track(self, hold: "BodyHold") -> None:
        """Sort a hold by its size, and make room if the account is full."""
        size_class = 0
        if hold.give_up is not None and hold.held_bytes > 0:
            size_class = (hold.held_bytes - 1).bit_length()
            if size_class <= _SMALL_SIZE_CLASS_MAX and not hold.gives_up_small:
                size_class = 0
        if size_class != hold.size_class:
            self._holds[hold.size_class].pop(hold, None)
            hold.size_class = size_class
            if size_class:
                self._holds[size_class][hold] = None
        self.make_room()

    def make_room(self) -> None:
        """Give up the largest holds while the account is over its limits."""
        while self.held_bytes > self.limit_bytes:
            hold = self._find_largest()
            if hold is None:
                return
            is_small = hold.size_class <= _SMALL_SIZE_CLASS_MAX
            if is_small and self.held_bytes <= self.small_limit_bytes:
                return
            self._give_up(hold)

    def _find_largest(self) -> "BodyHold | None":
        for size_class in reversed(range(1, _SIZE_CLASSES)):
            holds = self._holds[size_class]
            if not holds:
                continue
            if size_class > _SMALL_SIZE_CLASS_MAX:
                return max(holds, key=lambda hold: hold.held_bytes)
            return next(iter(holds))
        return None

    def _give_up(self, hold: "BodyHold") -> None:
        give_up, hold.give_up = hold.give_up, None
        assert give_up is not None
        body_bytes = hold.held_bytes
        self._holds[hold.size_class].pop(hold)
        self.held_bytes -= body_bytes
        hold.held_bytes, hold.size_class, hold.is_closed = 0, 0, True
        self.given_up_count += 1
        self.on_given_up(body_bytes)
        give_up()


class BodyHold:
    """The bytes of one request or answer, which its holder counts until it has ended.

    One that `is_closed` counts nothing any more: it was given up, or has ended.
    `size_class` is 0 while it cannot be given up.
    """

    __slots__ = (
        "_memory",
        "give_up",
        "gives_up_small",
        "held_bytes",
        "is_closed",
        "size_class",
    )

    def __init__(
        self,
        memory: BodyMemory,
        give_up: Callable[[], None] | None,
        gives_up_small: bool,
    ) -> None:
        self.held_bytes = 0
        self.size_class = 0
        self.is_closed = False
        self.give_up = give_up
        self.gives_up_small = gives_up_small
        self._memory = memory

    def set_bytes(self, held_bytes: int) -> None:
        """Count a size in bytes."""
        if self.is_closed:
            return
        memory = self._memory
        memory.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        if self.size_class or self.give_up is not None:
            memory.track(self)
        elif memory.held_bytes > memory.limit_bytes:
            memory.make_room()
        if memory.held_bytes > memory.peak_bytes:
            memory.peak_bytes = memory.held_bytes

    def set_give_up(self, give_up: Callable[[], None] | None) -> None:
        """Set what ends the use of the bytes; without it they are kept."""
        self.give_up = give_up
        if self.size_class or (give_up is not None and self.held_bytes):
            self._memory.track(self)

    def release(self) -> None:
        """Count the bytes no longer."""
        if self.held_bytes:
            self.set_bytes(0)

    def close(self) -> None:
        """Count the bytes no longer, and nothing later."""
        self.release()
        self.is_closed = True
