"""Peer messages by which holders of duties replace each other."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class DutyAnnouncement:
    """The sender has taken a duty; `fence` is its fencing token."""

    duty: str
    fence: int


@attrs.frozen
class DutyStopped:
    """The sender no longer acts for a duty under a fencing token below `fence`."""

    duty: str
    fence: int


SCHEMA_FILE: Final = Path(__file__).with_name("fleet.capnp")
MESSAGES: Final[dict[int, type]] = {100: DutyAnnouncement, 101: DutyStopped}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
