"""Peer messages of key slot ownership."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class BackendDoubt:
    """Asks the member that probes a backend server to probe it now."""

    backend_server: str


@attrs.frozen
class BackendStatus:
    """Announces that a backend server was lost or returned."""

    backend_server: str
    reachable: bool


@attrs.frozen
class KeyLoad:
    """Estimated requests/s of a key."""

    key_hash: int
    rate_per_s: float


@attrs.frozen
class LoadReport:
    """Requests/s of a member per key slot (packed half floats) and of its top keys."""

    service: str
    slot_rates: bytes
    hot_keys: tuple[KeyLoad, ...]


SCHEMA_FILE: Final = Path(__file__).with_name("ownership.capnp")
MESSAGES: Final[dict[int, type]] = {
    20: BackendDoubt,
    21: BackendStatus,
    22: LoadReport,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages with the peer protocol."""
    registry.register(SCHEMA_FILE, MESSAGES)
