"""Peer messages between the decider of a roll-out and the other instances."""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry


@attrs.frozen
class CanaryGrant:
    """Tells the dispatcher how many requests it may place at the version under test.

    `granted` counts all of one dispatcher process for one order. `pace` is the share of
    the next requests that go there at most, `servers` the servers under test. `record`
    is the latest one, which may not be in the store yet; only its restrictions count.
    """

    service: str
    order_revision: int
    granted: int
    pace: float
    servers: tuple[str, ...]
    record: bytes


@attrs.frozen
class CanaryReport:
    """Tells the decider what a dispatcher process has counted since an order.

    `total` are the requests of the service, `exposed` those placed at the version under
    test.
    """

    service: str
    order_revision: int
    total: int
    exposed: int


@attrs.frozen
class AttemptSample:
    """The result of an attempt.

    Without `ended` the attempt was cancelled after `latency_s` seconds, and would have
    taken longer.
    """

    route: str
    server: str
    is_target: bool
    failed: bool
    ended: bool
    latency_s: float


@attrs.frozen
class AttemptSamples:
    """Tells the decider of the results of attempts while an order runs."""

    service: str
    order_revision: int
    samples: tuple[AttemptSample, ...]


SCHEMA_FILE: Final = Path(__file__).with_name("rollouts.capnp")
MESSAGES: Final[dict[int, type]] = {
    160: CanaryGrant,
    161: CanaryReport,
    162: AttemptSamples,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
