"""What an instance knows of the placement of its services and its own queries."""

import attrs

from ..core.timer import TimerHandle
from .const import NEW_DISPATCHER_PERIOD_S
from .dispatcher import Dispatcher
from .models import PlacementCallback, PlacementQuery


@attrs.define(eq=False)
class PendingQuery:
    """A query that was sent to a dispatcher and is not resolved yet."""

    query: PlacementQuery
    dispatcher: str
    on_result: PlacementCallback
    timer: TimerHandle | None = None


@attrs.define(eq=False)
class ServiceRow:
    """State of the placement of one service on this instance.

    `dispatcher` is set while this instance holds the duty. Until `local_until_s` this
    instance chooses servers itself without asking the dispatcher.
    """

    duty: str
    consecutive_timeouts: int = 0
    local_until_s: float = float("-inf")
    dispatcher: Dispatcher | None = None
    # Instance that was asked last; until `tells_costs_until_s` it is told what costs
    # this instance knows.
    asked_instance: str = ""
    tells_costs_until_s: float = float("-inf")

    def is_dispatcher_new(self, instance: str, now_s: float) -> bool:
        """Note that an instance is asked; return whether it is a new dispatcher."""
        if instance != self.asked_instance:
            self.asked_instance = instance
            self.tells_costs_until_s = now_s + NEW_DISPATCHER_PERIOD_S
        return now_s < self.tells_costs_until_s
