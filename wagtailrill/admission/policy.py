"""Decides whether a request is placed, waits or is rejected.

The dispatcher asks at arrival, when a queued request becomes due, and when a slot is
freed. The decisions depend on nothing but the request and the room for it.
"""

import random
from collections import Counter
from collections.abc import Callable, Mapping

from .const import (
    OUT_OF_SERVICE_RETRY_AFTER_S,
    RETRY_AFTER_MIN_S,
    UNOWNED_RETRY_AFTER_MAX_S,
)
from .models import (
    AdmissionRequest,
    Decision,
    Occasion,
    Place,
    Reject,
    RejectReason,
    Room,
    Wait,
)
from .returns import ReturnSchedule


class AdmissionPolicy:
    """Admission decisions for the requests of one service.

    `counts` has the numbers of requests that were placed or queued, and of those that
    were rejected by reason.
    """

    def __init__(self, rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._returns = ReturnSchedule(rng)
        self._deciders: Mapping[
            Occasion, Callable[[AdmissionRequest, Room], Decision]
        ] = {
            Occasion.ARRIVAL: self._decide_arrival,
            Occasion.DUE: self._decide_due,
            Occasion.SLOT_FREED: self._decide_freed_slot,
        }

    def decide(self, request: AdmissionRequest, room: Room) -> Decision:
        """Return what happens to a request now, and count it.

        A request that arrives too late for its target is marked as late.
        """
        decision = self._deciders[room.occasion](request, room)
        if isinstance(decision, Reject):
            self.counts[decision.reason.value] += 1
        elif isinstance(decision, Place):
            self.counts["placed"] += 1
        elif room.occasion is Occasion.ARRIVAL:
            self.counts["queued"] += 1
        return decision

    def tick(self, now_s: float) -> None:
        """Forget the times of return that have passed."""
        self._returns.drop_past(now_s)

    def _decide_arrival(self, request: AdmissionRequest, room: Room) -> Decision:
        server = room.find_server()
        if server is not None:
            return Place(server)
        if request.is_extra:
            return self._reject(room, RejectReason.EXTRA_ATTEMPT)
        if not room.is_out_of_service():
            if _can_place_in_time(request, room):
                return Wait()
            request.late = True
        return self._place_or_reject(room, RejectReason.NO_ROOM)

    def _decide_due(self, request: AdmissionRequest, room: Room) -> Decision:
        if room.is_out_of_service():
            return self._reject(room, RejectReason.OUT_OF_SERVICE)
        if room.now_s >= request.latest_start_s:
            return self._place_or_reject(room, RejectReason.LATEST_START)
        if _can_place_in_time(request, room):
            return Wait()
        return self._place_or_reject(room, RejectReason.NO_ROOM)

    def _decide_freed_slot(self, request: AdmissionRequest, room: Room) -> Decision:
        server = room.find_server()
        return Wait() if server is None else Place(server)

    def _place_or_reject(self, room: Room, reason: RejectReason) -> Decision:
        """Use any free slot for a request that should not wait, or reject it."""
        server = room.find_server()
        return self._reject(room, reason) if server is None else Place(server)

    def _reject(self, room: Room, reason: RejectReason) -> Reject:
        if room.is_out_of_service():
            return Reject(OUT_OF_SERVICE_RETRY_AFTER_S, RejectReason.OUT_OF_SERVICE)
        if room.is_key_moving():
            wait_s = room.find_return().wait_s
            wait_s = min(max(wait_s, RETRY_AFTER_MIN_S), UNOWNED_RETRY_AFTER_MAX_S)
            return Reject(wait_s, RejectReason.KEY_MOVING)
        wait_s = self._returns.reserve(room.find_return(), room.now_s)
        return Reject(max(wait_s, RETRY_AFTER_MIN_S), reason)


def _can_place_in_time(request: AdmissionRequest, room: Room) -> bool:
    """Return whether a request is expected to be placed in time.

    That is before it becomes late or, as a late one, before its latest start.
    """
    if not request.late and room.now_s + room.estimate_wait_s() < request.late_from_s:
        return True
    return room.now_s + room.estimate_late_wait_s() < request.latest_start_s
