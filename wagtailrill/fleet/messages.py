"""Peer messages by which holders of duties replace each other."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class DutyAnnouncement:
    """The sender holds a duty; `fence` is its fencing token."""

    duty: str
    fence: int


@attrs.frozen
class DutyStopped:
    """The sender neither acts for a duty nor knows a holder later than `fence`.

    `instances` are those that may be running as far as the sender knows; `knows_all` is
    whether it knows all that may still act.
    """

    duty: str
    fence: int
    instances: tuple[str, ...] = ()
    knows_all: bool = False


SCHEMA_FILE: Final = Path(__file__).with_name("fleet.capnp")
MESSAGES: Final[dict[int, type]] = {100: DutyAnnouncement, 101: DutyStopped}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
