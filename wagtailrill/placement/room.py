"""The room that a dispatcher has for one request, as admission control sees it."""

from collections.abc import Callable

import attrs

from ..admission.const import CALLER_WAIT_RATIO
from ..admission.models import Occasion
from ..admission.returns import ReturnRequest
from ..servers.load import ServerLoad
from .messages import NO_KEY
from .queue import COMMON_LANE, RequestQueue
from .records import PendingRequest
from .waits import WaitEstimates

ServerFinder = Callable[[PendingRequest], ServerLoad | None]


@attrs.frozen
class RoomParts:
    """What the rooms of a dispatcher share.

    `find_owner` returns the owner of a request's key, None if it has none that is
    usable; `is_out_of_service` whether no server may get a request.
    """

    queue: RequestQueue
    waits: WaitEstimates
    find_owner: ServerFinder
    is_out_of_service: Callable[[PendingRequest], bool]


@attrs.frozen
class PendingRoom:
    """Room for a pending request; `find` chooses a server that it may use now."""

    parts: RoomParts
    pending: PendingRequest
    occasion: Occasion
    now_s: float
    find: ServerFinder

    def is_out_of_service(self) -> bool:
        """Return whether no server may get the request until operators act."""
        return self.parts.is_out_of_service(self.pending)

    def is_key_moving(self) -> bool:
        """Return whether the request has a key without a usable owner."""
        is_keyed = self.pending.request.key_position != NO_KEY
        return is_keyed and self.parts.find_owner(self.pending) is None

    def find_server(self) -> ServerLoad | None:
        """Return a server that the request may use now, None if it has to wait."""
        return self.find(self.pending)

    def estimate_wait_s(self) -> float:
        """Return how long a request of this rank waits until it is placed."""
        return self.parts.waits.estimate_wait_s(self.pending)

    def estimate_late_wait_s(self) -> float:
        """Return how long it waits as a late one, for what others leave unused."""
        return self.parts.waits.estimate_late_wait_s(self.pending)

    def find_return(self) -> ReturnRequest:
        """Return when and where there is room for the caller if it comes back.

        The request itself leaves the queue and does not count.
        """
        queue, pending, waits = self.parts.queue, self.pending, self.parts.waits
        if queue.find(pending.key) is pending:
            queue.remove(pending)
        owner = self.parts.find_owner(pending)
        return ReturnRequest(
            owner.name if owner is not None else COMMON_LANE,
            waits.estimate_wait_s(pending),
            waits.estimate_interval_s(owner),
            pending.request.left_s * CALLER_WAIT_RATIO,
        )
