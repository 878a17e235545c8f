"""Peer messages between the instances that use tokens and their issuers."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class TokenRequest:
    """Requests `wanted` tokens of an organisation and returns unused ones.

    The grant carries the same `number`; number 0 asks for no grant.
    """

    organisation: str
    wanted: int
    returned: int
    number: int


@attrs.frozen
class TokenGrant:
    """Answers a token request; the next token is due in `due_in_s` seconds.

    `issues` is false if the sender does not issue tokens of the organisation now.
    """

    organisation: str
    tokens: int
    due_in_s: float
    number: int
    issues: bool


SCHEMA_FILE: Final = Path(__file__).with_name("rates.capnp")
MESSAGES: Final[dict[int, type]] = {120: TokenRequest, 121: TokenGrant}


def register_messages(registry: MessageRegistry) -> None:
    """Register the peer messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
