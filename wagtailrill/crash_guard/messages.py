"""Peer messages about requests that crash backend servers."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class CrashNotice:
    """The process `start_id` of a backend server crashed while running a request."""

    fingerprint: int
    backend_server: str
    start_id: str


@attrs.frozen
class CrashCleared:
    """A backend server answered a suspect request, which is no longer suspect."""

    fingerprint: int


SCHEMA_FILE: Final = Path(__file__).with_name("crash_guard.capnp")
MESSAGES: Final[dict[int, type]] = {90: CrashNotice, 91: CrashCleared}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
