"""Peer messages about requests that crash backend servers."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class CrashReport:
    """A backend server crashed, in its start `start_id`, while running a request."""

    report_id: int
    partition: int
    fingerprint: int
    backend_server: str
    start_id: str


@attrs.frozen
class CrashCleared:
    """A suspect ran to its end without a crash."""

    partition: int
    fingerprint: int


@attrs.frozen
class SuspectNotice:
    """Crashes of a fingerprint so far; 0 ends the suspicion."""

    notice_id: int
    fingerprint: int
    crashes: int
    expires_in_s: float


@attrs.frozen
class SuspectAcknowledged:
    """A member knows a suspect."""

    notice_id: int


@attrs.frozen
class CrashRecorded:
    """All members know a reported crash, or the wait for them has ended."""

    report_id: int


SCHEMA_FILE: Final = Path(__file__).with_name("crash_guard.capnp")
MESSAGES: Final[dict[int, type]] = {
    90: CrashReport,
    91: CrashCleared,
    92: SuspectNotice,
    93: SuspectAcknowledged,
    94: CrashRecorded,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
