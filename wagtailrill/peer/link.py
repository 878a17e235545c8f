"""Interface of the transport between instances, and the filter for replayed messages.

The driver sends through `PeerLink`; the component host filters received messages.
"""

from typing import Protocol

from .const import SENDERS_MAX
from .registry import Envelope


class PeerLink(Protocol):
    """Sends messages to other instances; delivery is not guaranteed or confirmed.

    Messages from one sender incarnation to one receiver are handled in order or not at
    all: receivers drop duplicate and out-of-order sequence numbers (`SequenceFilter`).
    """

    def send(self, envelope: Envelope) -> None:
        """Queue a message, or drop it if the receiver cannot be reached."""
        ...


class SequenceFilter:
    """Rejects duplicate and out-of-order messages of each sender process."""

    def __init__(self) -> None:
        self._last_sequences: dict[tuple[str, int], int] = {}

    def accept(self, envelope: Envelope) -> bool:
        """Return whether the message is newer than all earlier ones of its sender."""
        sender = (envelope.sender, envelope.incarnation)
        if envelope.sequence <= self._last_sequences.get(sender, 0):
            return False
        self._last_sequences.pop(sender, None)
        self._last_sequences[sender] = envelope.sequence
        if len(self._last_sequences) > SENDERS_MAX:
            del self._last_sequences[next(iter(self._last_sequences))]
        return True
