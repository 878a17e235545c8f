"""Models of placement."""

from collections.abc import Callable

import attrs

from ..servers.models import ServerRow


@attrs.frozen
class Wanted:
    """A request that needs a backend server; times in seconds."""

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
class Ticket:
    """Who has placed a request; `dispatcher` is empty for this instance itself."""

    dispatcher: str
    number: int


@attrs.frozen
class Placed:
    """The backend server for a request."""

    server: ServerRow
    ticket: Ticket


@attrs.frozen
class NotPlaced:
    """There is no backend server for a request now.

    `moving` says that the key has no owner; with `may_wait` another look soon may find
    one. `decided_by` is the instance that has looked.
    """

    moving: bool
    may_wait: bool
    retry_after_s: float
    decided_by: str


OnPlaced = Callable[[Placed | NotPlaced], None]
