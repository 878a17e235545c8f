"""Models of backend servers."""

import enum
from collections import deque

import attrs

from ..core.orders import AttemptOutcome


class ServerState(enum.StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class ServerEntry:
    """What a backend server, or the declaration, says of itself.

    `start_id` names one process start; a server that starts again may keep its name.
    `cold_left_s` is how much longer the server stays cold. `revision` rises with each
    change of the entry.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections_max: int
    state: ServerState = ServerState.READY
    start_id: str = ""
    cold_left_s: float = 0.0
    revision: int = 0


class OutlierState(enum.Enum):
    """Whether a backend server is chosen freely, not at all, or on trial."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class OutlierSignal(enum.Enum):
    """What moves a backend server between outlier states."""

    GOOD = "good"
    BAD = "bad"
    WAIT_OVER = "wait_over"


NEXT_OUTLIER_STATE = {
    (OutlierState.HEALTHY, OutlierSignal.BAD): OutlierState.EJECTED,
    (OutlierState.EJECTED, OutlierSignal.WAIT_OVER): OutlierState.PROBATION,
    (OutlierState.PROBATION, OutlierSignal.BAD): OutlierState.EJECTED,
    (OutlierState.PROBATION, OutlierSignal.GOOD): OutlierState.HEALTHY,
}

# Outcomes that speak against a backend server.
FAILURES = frozenset(
    {
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.BAD_ANSWER,
        AttemptOutcome.TIMED_OUT,
    }
)


@attrs.define(eq=False)
class ServerRow:
    """What this instance knows of one process start of a backend server."""

    entry: ServerEntry
    joined_s: float
    in_flight: int = 0
    # Reported load, without this instance's own requests.
    others: float = 0.0
    slowness: float = 1.0
    reported_s: float = float("-inf")
    # Time that one request takes when no other waits for it, in seconds.
    work_s: float = 0.0
    samples: int = 0
    cold_until_s: float = float("-inf")
    # A lost connection may mean that the server started again without notice.
    doubted_revision: int | None = None
    recent_sends_s: deque[float] = attrs.field(factory=deque)
    outlier: OutlierState = OutlierState.HEALTHY
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    # The server answered that it is leaving before its entry said so.
    leaving_seen: bool = False

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.entry.name
