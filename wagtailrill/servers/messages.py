"""Peer messages by which instances tell each other of backend servers."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry
from .models import ServerEntry


@attrs.frozen
class EntriesRequest:
    """Asks the reader for the changes since a version of its list.

    `doubted` names servers whose entries are sent even if they have not changed.
    """

    number: int
    reader_fence: int
    version: int
    doubted: tuple[str, ...]


@attrs.frozen
class MirrorState:
    """What the store has confirmed to the reader of the keys with a prefix.

    The last change has the revision `last_change_revision`; the store confirmed
    `age_s` seconds ago that there was no later one.
    """

    prefix: str
    last_change_revision: int
    age_s: float


@attrs.frozen
class EntriesAnswer:
    """Changes up to `version`, or all entries if `full` is set.

    `age_s` is the time since the reader began to read the list from the store. `gone`
    names the servers whose entries were removed. `mirrors` tells of other keys of the
    store that all instances follow.
    """

    number: int
    reader_fence: int
    version: int
    full: bool
    age_s: float
    entries: tuple[ServerEntry, ...]
    gone: tuple[str, ...]
    mirrors: tuple[MirrorState, ...] = ()


@attrs.frozen
class ServerLeaving:
    """Tells that a process of a backend server has said that it leaves."""

    backend_server: str
    start_id: str


SCHEMA_FILE: Final = Path(__file__).with_name("servers.capnp")
MESSAGES: Final[dict[int, type]] = {
    140: EntriesRequest,
    141: EntriesAnswer,
    142: ServerLeaving,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
