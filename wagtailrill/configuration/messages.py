"""Messages that carry configurations between instances."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class ConfigurationPush:
    """A declaration text and its version, relative to the text of a base version.

    The text is the first `prefix_bytes` of the base, the decompressed `middle` and
    the last `suffix_bytes` of the base; base version 0 is the empty text. `digest` is
    the xxhash of the text. `authority` says that a coordinator with a valid lease
    sent it.
    """

    version: int
    base_version: int
    prefix_bytes: int
    suffix_bytes: int
    middle: bytes
    digest: int
    authority: bool


@attrs.frozen
class ConfigurationRequest:
    """Asks for the configuration; `version` is the one that the sender knows."""

    version: int


SCHEMA_FILE: Final = Path(__file__).with_name("configuration.capnp")
MESSAGES: Final = {40: ConfigurationPush, 41: ConfigurationRequest}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
