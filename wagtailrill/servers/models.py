"""Models of backend servers."""

import enum
from collections import deque

import attrs


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


@attrs.define(eq=False)
class ServerRow:
    """What this instance knows of one process start of a backend server."""

    entry: ServerEntry
    joined_s: float
    cold_until_s: float = float("-inf")
    # A lost connection may mean that the server started again without notice.
    doubted_revision: int | None = None
    doubted_s: float = float("-inf")
    # When this instance learned that the server leaves.
    leaving_s: float = float("inf")
    recent_sends_s: deque[float] = attrs.field(factory=deque)

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.entry.name
