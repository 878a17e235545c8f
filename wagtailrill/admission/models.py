"""What admission control decides about, and its decisions."""

import enum
from typing import Protocol

import attrs

from ..servers.load import ServerLoad
from .returns import ReturnRequest


class Occasion(enum.Enum):
    """Why a decision about a request is due."""

    ARRIVAL = "arrival"
    DUE = "due"  # a queued request got late, or reached its latest start
    SLOT_FREED = "slot_freed"  # a queued request is next for a slot


@attrs.frozen
class Place:
    """The request is sent to a server."""

    server: ServerLoad


@attrs.frozen
class Wait:
    """The request is queued, or stays in the queue."""


class RejectReason(enum.StrEnum):
    """Why a request is rejected."""

    NO_ROOM = "no_room"  # it cannot be placed before its latest start
    LATEST_START = "latest_start"  # it has waited until its latest start
    EXTRA_ATTEMPT = "extra_attempt"  # no slot is free for a retry or a hedge
    KEY_MOVING = "key_moving"  # its key has no owner at present
    OUT_OF_SERVICE = "out_of_service"


@attrs.frozen
class Reject:
    """The request is refused; its caller may come back after `retry_after_s`."""

    retry_after_s: float
    reason: RejectReason


Decision = Place | Wait | Reject


class AdmissionRequest(Protocol):
    """A request that a decision is about; its times are monotonic.

    From `late_from_s` on it is not expected to reach its target, and it is then marked
    `late`. From `latest_start_s` on it cannot end before its deadline.
    """

    late: bool
    late_from_s: float
    latest_start_s: float

    @property
    def is_extra(self) -> bool:
        """Return whether another attempt at the request already runs."""
        ...


class Room(Protocol):
    """What a dispatcher knows of the room for one request."""

    @property
    def occasion(self) -> Occasion:
        """Return why the decision is due."""
        ...

    @property
    def now_s(self) -> float:
        """Return the monotonic time."""
        ...

    def is_out_of_service(self) -> bool:
        """Return whether no server may get the request until operators act."""
        ...

    def is_key_moving(self) -> bool:
        """Return whether the request has a key without a usable owner."""
        ...

    def find_server(self) -> ServerLoad | None:
        """Return a server that the request may use now, None if it has to wait."""
        ...

    def estimate_wait_s(self) -> float:
        """Return how long a request of this rank waits until it is placed."""
        ...

    def estimate_late_wait_s(self) -> float:
        """Return how long it waits as a late one, for what others leave unused."""
        ...

    def find_return(self) -> ReturnRequest:
        """Return when and where there is room for the caller if it comes back."""
        ...
