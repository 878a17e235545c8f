"""Models of backend servers: announced entries and what an instance knows."""

import enum
from collections import deque
from typing import Final

import attrs
from attrs.validators import ge, le

# No server runs more requests concurrently; a larger number is a faulty entry, which
# would draw all requests of its service.
SLOTS_MAX: Final = 10_000
CONNECTIONS_MAX: Final = 1_000_000


class ServerState(enum.StrEnum):
    """Whether a backend server accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class ServerProcess:
    """One process start of a backend server."""

    name: str
    start_id: str


@attrs.frozen
class ServerEntry:
    """Entry of a backend server, announced by itself or taken from the declaration.

    `slots` is how many requests it runs concurrently. `connections_max` limits the
    connections of all instances to it; at 0 the limit of its service applies.
    `start_id` identifies one process start; a restarted server may keep its name.
    `cold_left_s` is the remaining time for which the server stays cold. `revision`
    rises with each change of the entry, and `sequence` with each write of the process;
    it is 0 if unknown. With `says_leaving` the process has said in an answer that it
    leaves, and the instance from which the entry comes knows it. `version` is that of
    the program it runs, empty if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int = attrs.field(validator=(ge(1), le(SLOTS_MAX)))
    connections_max: int = attrs.field(validator=(ge(0), le(CONNECTIONS_MAX)))
    state: ServerState = ServerState.READY
    start_id: str = ""
    cold_left_s: float = 0.0
    revision: int = 0
    sequence: int = 0
    says_leaving: bool = False
    version: str = ""

    @property
    def process(self) -> ServerProcess:
        """Return the process that the entry is about."""
        return ServerProcess(self.name, self.start_id)

    def has_same_content(self, other: "ServerEntry") -> bool:
        """Return whether two entries differ at most as those of a heartbeat do."""
        return self == attrs.evolve(
            other, revision=self.revision, sequence=self.sequence
        )


@attrs.define(eq=False)
class ServerRow:
    """State that this instance keeps for one process start of a backend server."""

    entry: ServerEntry
    joined_s: float
    cold_until_s: float = float("-inf")
    # Revision of the entry when a lost connection suggested an unannounced restart.
    doubted_revision: int | None = None
    doubted_s: float = float("-inf")
    # Time at which this instance learned that the server leaves.
    leaving_since_s: float = float("inf")
    # Until this time the server wants no requests from this instance.
    paused_until_s: float = float("-inf")
    recent_sends_s: deque[float] = attrs.field(factory=deque)

    def is_paused(self, now_s: float) -> bool:
        """Return whether the server wants no requests from this instance now."""
        return now_s < self.paused_until_s

    def is_later_start_than(self, start_id: str) -> bool:
        """Return whether the entry is of a later process than that of a start ID.

        Start IDs end with a slash and a number that rises with each start. If one does
        not, nothing is known about their order.
        """
        if start_id == self.entry.start_id:
            return False
        own, other = map(parse_start_number, (self.entry.start_id, start_id))
        return own is not None and other is not None and own > other

    @property
    def is_leaving(self) -> bool:
        """Return whether this instance has learned that the server leaves."""
        return self.leaving_since_s < float("inf")

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.entry.name


def parse_start_number(start_id: str) -> int | None:
    """Return the number at the end of a start ID, which rises with each start."""
    number = start_id.rpartition("/")[2]
    return int(number) if number.isdecimal() else None
