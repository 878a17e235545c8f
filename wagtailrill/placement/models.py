"""Placement queries and results that the request pipeline exchanges with placement."""

from collections.abc import Callable

import attrs

from ..core.timer import TimerHandle
from ..servers.models import ServerRow


@attrs.frozen
class PlacementQuery:
    """A request that needs a backend server; times in seconds.

    `waited_s` counts from the request's arrival, `target_s` is its target latency and
    `left_s` the time until its deadline. `excluded` are servers already tried; with
    `extra` the server is for a hedge.
    """

    service: str
    keyed: bool
    key_position: int | None
    priority: int
    waited_s: float
    target_s: float
    left_s: float
    excluded: frozenset[str]
    extra: bool = False


@attrs.frozen
class PlacementRef:
    """Identifies a placement by its dispatcher and the number of the query sent to it.

    `dispatcher` is empty if this instance chose the server itself.
    """

    dispatcher: str
    number: int


@attrs.frozen
class ServerAssignment:
    """The backend server assigned to a request."""

    server: ServerRow
    placement_ref: PlacementRef


@attrs.frozen
class NoServerAvailable:
    """No backend server is available for a request now.

    `key_moving` is true if the key has no owner at present, `may_wait` if it makes
    sense to try again soon. `decided_by` is the instance that looked for a server. All
    servers that could run the request want a pause of `pause_left_s` seconds, if that
    is not 0.
    """

    key_moving: bool
    may_wait: bool
    retry_after_s: float
    decided_by: str
    pause_left_s: float = 0.0


PlacementCallback = Callable[[ServerAssignment | NoServerAvailable], None]


@attrs.define(eq=False)
class PendingQuery:
    """A query that was sent to a dispatcher and is not resolved yet."""

    query: PlacementQuery
    dispatcher: str
    on_result: PlacementCallback
    timer: TimerHandle | None = None
