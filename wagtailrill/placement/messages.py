"""Peer messages between an instance that places a request and the dispatcher."""

import enum
from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry

NO_KEY: Final = -1
NO_REPORT: Final = -1


class PlaceVerdict(enum.StrEnum):
    """A dispatcher's answer to a `PlaceRequest`."""

    PLACED = "placed"
    QUEUED = "queued"  # another answer follows
    REFUSED = "refused"  # no server is expected to be free in time
    MOVING = "moving"  # the key has no owner at present
    NOT_HERE = "not_here"  # the receiver does not place requests of the service


@attrs.frozen
class PlaceRequest:
    """Asks for a backend server; times in seconds.

    `number` identifies the request at its sender. `waited_s` counts from the request's
    arrival, `target_s` is its target latency and `left_s` the time until its deadline.
    `extra` asks for a second server for a request that already runs; such a request is
    placed at once or refused, never queued. `excluded` has the names of servers already
    tried. `key_position` is `NO_KEY` for services without keys. `route` names the
    request's route within the service, and `body_bytes` is the size of its body. The
    `known_` fields are the cost that the sender expects, sent while the dispatcher is
    new to it; a `known_certainty` of 0 means that it sends none.
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
    route: str = ""
    idempotent: bool = False
    body_bytes: int = 0
    known_work_s: float = 0.0
    known_spread_s: float = 0.0
    known_response_bytes: float = 0.0
    known_certainty: float = 0.0


@attrs.frozen
class PlaceAnswer:
    """The backend server assigned to a request, or the reason why there is none.

    The last four fields are the cost that the dispatcher expects of requests of the
    same route and size class; with a `certainty` of 0 it tells none.
    """

    number: int
    verdict: PlaceVerdict
    backend_server: str
    retry_after_s: float
    work_s: float = 0.0
    spread_s: float = 0.0
    response_bytes: float = 0.0
    certainty: float = 0.0


@attrs.frozen
class PlaceEnd:
    """Reports that a request has left a backend server or was cancelled.

    `number` is 0 if the sender chose the server itself. `backend_server` is empty for a
    request cancelled before its sender got a server. `running` and `waiting` are the
    numbers of requests that the server reported, `NO_REPORT` without a report. The
    server wants no requests from the sender for `pause_s` seconds. `response_bytes` is
    the size of the answer's body. `expected_work_s` is the median work that the sender
    expected of the request, 0.0 if it knew none.
    """

    number: int
    service: str
    backend_server: str
    outcome: str
    latency_s: float
    running: int
    waiting: int
    slowness: float
    pause_s: float = 0.0
    response_bytes: int = 0
    expected_work_s: float = 0.0


SCHEMA_FILE: Final = Path(__file__).with_name("placement.capnp")
MESSAGES: Final[dict[int, type]] = {130: PlaceRequest, 131: PlaceAnswer, 132: PlaceEnd}


def register_messages(registry: MessageRegistry) -> None:
    """Register the peer messages of placement."""
    registry.register_classes(SCHEMA_FILE, MESSAGES)
