"""Spreads the callers that are rejected over the time in which there is room.

Callers that are rejected together would otherwise come back together, and most of them
would be rejected again.
"""

import random

import attrs

from .const import RETURN_HORIZON_S, RETURN_JITTER_RATIO, RETURN_SHARE


@attrs.frozen
class ReturnRequest:
    """A caller that is told to come back.

    `lane` names what it needs: an owner of keys, or any server if empty. There is room
    for it in `wait_s`, and then for one more every `interval_s`. It follows no advice
    beyond `longest_s`. All are seconds.
    """

    lane: str
    wait_s: float
    interval_s: float
    longest_s: float


class ReturnSchedule:
    """Gives out times of return for each lane, one after the other."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_s: dict[str, float] = {}

    def reserve(self, caller: ReturnRequest, now_s: float) -> float:
        """Return in how many seconds a caller is to come back.

        Once all times within reach are taken, callers are spread over the later half of
        it at random.
        """
        reach_s = min(caller.longest_s, RETURN_HORIZON_S)
        earliest_s = now_s + caller.wait_s
        at_s = max(earliest_s, self._next_s.get(caller.lane, earliest_s))
        if at_s - now_s >= reach_s:
            return reach_s * self._rng.uniform(0.5, 1.0)
        step_s = caller.interval_s / RETURN_SHARE
        self._next_s[caller.lane] = at_s + step_s
        jitter_s = min(step_s, reach_s) * RETURN_JITTER_RATIO
        return min(at_s - now_s + self._rng.uniform(0.0, jitter_s), reach_s)

    def drop_past(self, now_s: float) -> None:
        """Forget the lanes whose given times have all passed."""
        self._next_s = {n: at_s for n, at_s in self._next_s.items() if at_s > now_s}
