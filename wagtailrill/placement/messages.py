"""Peer messages about the placement of requests."""

import enum
from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry

NO_KEY: Final = -1
NO_REPORT: Final = -1


class PlaceVerdict(enum.StrEnum):
    """Answer to a request for a backend server."""

    PLACED = "placed"
    QUEUED = "queued"  # another answer follows
    REFUSED = "refused"  # there is no room soon
    MOVING = "moving"  # the key has no owner now
    NOT_HERE = "not_here"  # the receiver does not place requests of the service


@attrs.frozen
class PlaceRequest:
    """Asks for a backend server; times in seconds.

    `extra` asks for a second server for a request that already runs: there must be
    room now.
    """

    number: int
    service: str
    key_position: int
    priority: int
    waited_s: float
    target_s: float
    left_s: float
    excluded: tuple[str, ...]
    extra: bool


@attrs.frozen
class PlaceAnswer:
    """The backend server for a request, or why there is none."""

    number: int
    verdict: PlaceVerdict
    backend_server: str
    retry_after_s: float


@attrs.frozen
class PlaceEnd:
    """A request has left a backend server, or is not wanted any more.

    `number` is 0 when the sender chose the server itself. `running` and `waiting` are
    what the server reported, `NO_REPORT` if it did not.
    """

    number: int
    service: str
    backend_server: str
    outcome: str
    latency_s: float
    running: int
    waiting: int
    slowness: float


SCHEMA_FILE: Final = Path(__file__).with_name("placement.capnp")
MESSAGES: Final[dict[int, type]] = {130: PlaceRequest, 131: PlaceAnswer, 132: PlaceEnd}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(SCHEMA_FILE, MESSAGES)
