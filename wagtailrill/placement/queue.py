"""Rows of a dispatcher: requests that wait, and those that are at a server."""

from collections.abc import Callable

import attrs

from ..servers.load import ServerLoad
from .messages import PlaceAnswer, PlaceRequest

Reply = Callable[[PlaceAnswer], None]


@attrs.define(eq=False)
class Waiting:
    """A request that waits for room.

    From `late_from_s` on it cannot reach its target any more. Then it has a slot only
    when no other request wants it, until `hopeless_from_s`.
    """

    request: PlaceRequest
    asker: str
    data_centre: str
    reply: Reply
    arrived_s: float
    late_from_s: float
    hopeless_from_s: float
    excluded: frozenset[str]
    late: bool = False

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Return the order in which requests are placed."""
        first_s = self.arrived_s - self.request.waited_s
        return self.late, self.request.priority, first_s


@attrs.define(eq=False)
class Assignment:
    """A request that is at a backend server."""

    load: ServerLoad
    placed_s: float
    until_s: float


@attrs.frozen
class Outlook:
    """What a request can expect: the best server with room, and faster full ones.

    `faster_per_s` is how many requests a second the faster ones begin, `fastest_s` the
    shortest time on one of them.
    """

    best: ServerLoad | None
    best_s: float
    faster_per_s: float
    fastest_s: float

    def choice(self, waiting: Waiting, ahead: int) -> ServerLoad | None:
        """Return the server for a request, None if it should wait.

        It should wait if it would end sooner at a faster server, where `ahead` others
        go first. A late request does not wait for that.
        """
        if waiting.late or waiting.request.extra or self.faster_per_s <= 0.0:
            return self.best
        wait_s = (ahead + 1) / self.faster_per_s
        return None if wait_s + self.fastest_s < self.best_s else self.best
