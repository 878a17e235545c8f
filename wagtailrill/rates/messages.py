"""Peer messages about tokens."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class TokenRequest:
    """Asks for tokens of an organisation, and gives back those that were not used."""

    organisation: str
    wanted: int
    returned: int
    number: int


@attrs.frozen
class TokenGrant:
    """Answers a request; another token is due in `due_in_s`.

    Without `issues` the sender does not issue tokens now.
    """

    organisation: str
    tokens: int
    due_in_s: float
    number: int
    issues: bool


SCHEMA_FILE: Final = Path(__file__).with_name("rates.capnp")
MESSAGES: Final[dict[int, type]] = {120: TokenRequest, 121: TokenGrant}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
