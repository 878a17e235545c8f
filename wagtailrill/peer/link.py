"""Interface of the transport between instances."""

from typing import Protocol

from .const import SENDERS_MAX
from .registry import Envelope


class PeerLink(Protocol):
    """Delivers messages to other instances; delivery may fail without notice.

    Messages from one sender incarnation to one receiver arrive in order or not at
    all: receivers drop repeated and overtaken sequence numbers (`SequenceFilter`).
    """

    def send(self, envelope: Envelope) -> None:
        """Queue a message, or drop it when the receiver cannot be reached."""
        ...


class SequenceFilter:
    """Drops repeated and overtaken messages of each sender process."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, int], int] = {}

    def accept(self, envelope: Envelope) -> bool:
        """Return whether the message is newer than all before it."""
        sender = (envelope.sender, envelope.incarnation)
        if envelope.sequence <= self._last.get(sender, 0):
            return False
        self._last.pop(sender, None)
        self._last[sender] = envelope.sequence
        if len(self._last) > SENDERS_MAX:
            del self._last[next(iter(self._last))]
        return True
