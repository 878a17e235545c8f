"""Peer messages that distribute the owners of keys, sent by `KeyOwnership`."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class KeyRoutesUpdate:
    """Owners by position range.

    Range `i` begins at position `starts[i]`; `owners[i]` is the index of its owner in
    `names`, where "" stands for no owner.
    """

    service: str
    duty_fence: int
    sequence: int
    starts: tuple[int, ...]
    owners: tuple[int, ...]
    names: tuple[str, ...]


@attrs.frozen
class KeyRoutesRequest:
    """Asks the granter for its routes; carries the version that the sender has."""

    service: str
    duty_fence: int
    sequence: int


@attrs.frozen
class KeyRoutesNotice:
    """Version of the granter's newest routes, so that members detect a lost update."""

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
    registry.register_classes(SCHEMA_FILE, MESSAGES)
