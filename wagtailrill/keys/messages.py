"""Peer messages about the owners of keys."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class KeyRoutesUpdate:
    """Owners by position; `owners` are indexes into `names`, where "" is nobody."""

    service: str
    duty_fence: int
    sequence: int
    starts: tuple[int, ...]
    owners: tuple[int, ...]
    names: tuple[str, ...]


@attrs.frozen
class KeyRoutesRequest:
    """Asks the granter for the routes; names those that the sender has."""

    service: str
    duty_fence: int
    sequence: int


@attrs.frozen
class KeyRoutesNotice:
    """The granter's newest routes, so that members notice a lost update."""

    service: str
    duty_fence: int
    sequence: int


SCHEMA_FILE: Final = Path(__file__).with_name("keys.capnp")
MESSAGES: Final[dict[int, type]] = {
    110: KeyRoutesUpdate,
    111: KeyRoutesRequest,
    112: KeyRoutesNotice,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
