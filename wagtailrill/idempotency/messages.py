"""Peer messages about idempotency keys."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class HeaderField:
    """One header of a stored answer."""

    name: str
    value: str


@attrs.frozen
class ClaimRequest:
    """Ask the home whether a request may be sent; `issued_ms` is Unix time."""

    claim_id: int
    partition: int
    epoch: int
    organisation: str
    service: str
    key: str
    digest: int
    issued_ms: int


@attrs.frozen
class ClaimReply:
    """The home's verdict, with the stored answer if there is one."""

    claim_id: int
    verdict: str
    status: int
    headers: tuple[HeaderField, ...]
    body: bytes


@attrs.frozen
class Completion:
    """Tell the home how a claimed request ended."""

    claim_id: int
    partition: int
    organisation: str
    service: str
    key: str
    outcome: str
    status: int
    headers: tuple[HeaderField, ...]
    body: bytes


@attrs.frozen
class CompletionReply:
    """The home has recorded a completion."""

    claim_id: int


@attrs.frozen
class HandoverRecord:
    """A record that moves to the next home; an empty outcome is still claimed."""

    organisation: str
    service: str
    key: str
    digest: int
    issued_ms: int
    claimant: str
    claimant_incarnation: int
    claim_id: int
    outcome: str
    kept: bool
    status: int
    headers: tuple[HeaderField, ...]
    body: bytes


@attrs.frozen
class Handover:
    """Records of a partition for its next home; `final` ends the series.

    `epoch` is that of the next home: records meant for another epoch may miss claims.
    `since_ms` is the Unix time from which the series is complete.
    """

    partition: int
    epoch: int
    part: int
    final: bool
    since_ms: int
    records: tuple[HandoverRecord, ...]


SCHEMA_FILE: Final = Path(__file__).with_name("idempotency.capnp")
MESSAGES: Final[dict[int, type]] = {
    80: ClaimRequest,
    81: ClaimReply,
    82: Completion,
    83: CompletionReply,
    84: Handover,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
