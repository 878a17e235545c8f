"""Peer messages by which instances tell each other of backend servers."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry
from .models import ServerEntry


@attrs.frozen
class MirrorRevision:
    """Up to which revision the sender knows the keys with a prefix."""

    prefix: str
    revision: int


@attrs.frozen
class EntriesRequest:
    """Asks the reader for the changes since a version of its list.

    `doubted` names servers whose entries are sent even if they have not changed. The
    changes of the keys with the prefixes in `mirrors` are asked for, too.
    """

    number: int
    reader_fence: int
    version: int
    doubted: tuple[str, ...]
    mirrors: tuple[MirrorRevision, ...] = ()


@attrs.frozen
class RelayedItem:
    """A key of the store, as an item of `store.models`."""

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease_id: int


@attrs.frozen
class RelayedRemoval:
    """The removal of a key at a revision or before."""

    key: str
    revision: int


@attrs.frozen
class MirrorState:
    """What the store has confirmed to the reader of the keys with a prefix.

    The last change has the revision `last_change_revision`; the store confirmed
    `age_s` seconds ago that there was no later one. With `is_relaying`, `items` and
    `removals` are the changes up to `revision` since the one that the receiver named.
    """

    prefix: str
    last_change_revision: int
    age_s: float
    is_relaying: bool = False
    revision: int = 0
    items: tuple[RelayedItem, ...] = ()
    removals: tuple[RelayedRemoval, ...] = ()


@attrs.frozen
class EntriesAnswer:
    """Changes up to `version`, or all entries if `full` is set.

    `age_s` is the time since the reader began to read the list from the store; it is
    infinite, and there are no entries, while the reader has no complete list. `gone`
    names the servers whose entries were removed. `mirrors` tells of other keys of the
    store that all instances follow. With `is_handing_over` the store turns the reader
    away, and another instance takes its duty.
    """

    number: int
    reader_fence: int
    version: int
    full: bool
    age_s: float
    entries: tuple[ServerEntry, ...]
    gone: tuple[str, ...]
    mirrors: tuple[MirrorState, ...] = ()
    is_handing_over: bool = False


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
