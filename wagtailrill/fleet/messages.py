"""Peer messages about duties."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class DutyAnnouncement:
    """The sender has taken a duty; `fence` is its token."""

    duty: str
    fence: int


@attrs.frozen
class DutyStopped:
    """The sender does not act for a duty under a token below `fence`."""

    duty: str
    fence: int


SCHEMA_FILE: Final = Path(__file__).with_name("fleet.capnp")
MESSAGES: Final[dict[int, type]] = {100: DutyAnnouncement, 101: DutyStopped}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
