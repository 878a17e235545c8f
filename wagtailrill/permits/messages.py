"""Messages between holders and homes of permits.

All counters are totals since the holder's process started, so a lost message is made
good by the next one and a repeated one changes nothing.
"""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry
from .const import FIRST_MESSAGE_NUMBER


@attrs.frozen
class WaitingRequest:
    """A request that waits at a holder; `remaining_s` is the time to its deadline."""

    request_id: int
    organisation: str
    remaining_s: float


@attrs.frozen
class PermitReport:
    """State of one holder for one backend server.

    Totals: permits `granted` to and `returned` by the holder; `connects` granted,
    `settled` (a new connection's start id is known, or it was given up) and
    connections `closed`. `spare` counts open connections without a permit.
    `uptime_s` is a lower bound of the uptime under `start_id`, which was last seen in
    an answer `seen_age_s` ago.
    """

    backend_server: str
    epoch: int
    session: int
    number: int
    granted: int
    returned: int
    connects: int
    settled: int
    closed: int
    spare: int
    in_use: int
    waiting_total: int
    waiting: tuple[WaitingRequest, ...]
    start_id: str
    uptime_s: float
    seen_age_s: float
    restarts: int
    wants_reply: bool


@attrs.frozen
class PermitGrant:
    """State of the home's account of one holder.

    `granted` and `connects` are totals; `recall` and `close` say how many permits
    and idle connections the home wants back now. `request_id` names the request for
    which the last permit was granted, or is 0. With `shrinks` more permits are
    outstanding than the server bears.
    """

    backend_server: str
    epoch: int
    session: int
    report_number: int
    granted: int
    connects: int
    request_id: int
    recall: int
    close: int
    queue_length: int
    start_id: str
    shrinks: bool


@attrs.frozen
class PartitionEpoch:
    """A partition under the epoch of its home."""

    partition: int
    epoch: int


@attrs.frozen
class CollectHoldings:
    """Asks a member to report what it holds to the new home of some partitions."""

    partitions: tuple[PartitionEpoch, ...]


@attrs.frozen
class HoldingsReport:
    """All holdings of a member in some partitions."""

    partitions: tuple[PartitionEpoch, ...]
    reports: tuple[PermitReport, ...]


MESSAGES: Final[dict[int, type]] = dict(
    enumerate(
        (PermitReport, PermitGrant, CollectHoldings, HoldingsReport),
        start=FIRST_MESSAGE_NUMBER,
    )
)


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(Path(__file__).with_name("permits.capnp"), MESSAGES)
