"""Peer messages about operator's keys that a restored store has lost."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class ConfigurationQuery:
    """Asks what the receiver knows; the answer returns `number`.

    `wants_declaration` asks for the value of the declaration in force, too. `store_era`
    is the era of the store that the sender knows, 0 from earlier releases.
    """

    number: int
    wants_declaration: bool
    store_era: int = 0


@attrs.frozen
class LostItem:
    """The last known state of a key that a restored store lacks or shows older.

    `stored_revision` is that of the store's item, 0 without one. `value` is empty for
    the declaration.
    """

    key: str
    is_present: bool
    revision: int
    value: bytes
    stored_revision: int


@attrs.frozen
class ConfigurationAnswer:
    """What the sender knows of the operator's keys.

    `is_settled` tells that the sender acts by a configuration, so that it knows no
    newer one. `restored_for_s` is the time since the latest restore of the store.
    `version` is the number of the newest known version, 0 without one. `declaration`
    is empty unless it was asked for.
    """

    number: int
    store_era: int
    is_settled: bool
    restored_for_s: float
    version: int
    declaration: bytes
    declaration_revision: int
    lost_items: tuple[LostItem, ...]


SCHEMA_FILE: Final = Path(__file__).with_name("configuration.capnp")
MESSAGES: Final[dict[int, type]] = {
    150: ConfigurationQuery,
    151: ConfigurationAnswer,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
