"""Bounds how often an instance asks the store again after failed calls.

`Context` owns it; all callers of the store in an instance share it.
"""

import random
from collections.abc import Callable

import attrs

from ..core.timer import TimerHandle, TimerService
from .const import (
    ANSWER_TIME_MARGIN_RATIO,
    BACKOFF_GROWTH_RATIO,
    BACKOFF_INITIAL_S,
    BACKOFF_MAX_S,
    BACKOFF_STEPS_MAX,
    FAILING_AFTER_FAILURES,
    FLEET_RETRIES_PER_S,
    INSTANCE_RETRIES_MIN_PER_S,
    OVERDUE_AFTER_MAX_S,
    OVERDUE_AFTER_MIN_S,
    RESUME_SPREAD_S,
    RETRY_BURST,
    RETRY_WAIT_MAX_S,
    TURNED_AWAY_AFTER_S,
    TURNED_AWAY_FAILURES,
)
from .models import StoreErrorKind, StoreResult

# Kinds of errors that say nothing about what the store holds: no answer, or refused.
UNANSWERED_KINDS = (StoreErrorKind.NO_ANSWER, StoreErrorKind.REFUSED)


def is_unanswered(result: StoreResult) -> bool:
    """Return whether the store has refused a call or not answered it."""
    return result.is_error() and result.error.kind in UNANSWERED_KINDS


@attrs.define(eq=False)
class PendingRetry:
    """A call that waits for its turn, and how long it waits once the store answers.

    `due_s` is the monotonic time at which it is made.
    """

    callback: Callable[[], None]
    resume_after_s: float
    due_s: float = float("inf")
    timer: TimerHandle | None = None


class StoreBudget:
    """The retries of one instance: exponential backoff with full jitter, and a budget.

    The budget of the fleet is divided by its size. `fleet_size` is the number of
    instances; `recovered_s` the monotonic time of the first answer after a time in
    which `is_failing` was true. Retries that wait then are resumed. With `is_probed`
    the renewal of the lease finds out when the store answers again, and retries wait
    for that. A call counts as lost that has not been answered within `overdue_after_s`
    seconds.
    """

    def __init__(
        self, timers: TimerService, rng: random.Random, get_now_s: Callable[[], float]
    ) -> None:
        self.fleet_size = 1
        self.recovered_s = float("-inf")
        self.is_probed = False
        self.overdue_after_s = OVERDUE_AFTER_MIN_S
        self._timers = timers
        self._rng = rng
        self._get_now_s = get_now_s
        self._failures = 0
        self._failing_since_s = float("inf")
        self._credit = RETRY_BURST
        self._credited_s: float | None = None
        self._pending: dict[int, PendingRetry] = {}
        self._last_number = 0

    @property
    def is_turned_away(self) -> bool:
        """Return whether the store has answered none of the latest calls."""
        failing_for_s = self._get_now_s() - self._failing_since_s
        return (
            self._failures >= TURNED_AWAY_FAILURES
            and failing_for_s >= TURNED_AWAY_AFTER_S
        )

    @property
    def is_failing(self) -> bool:
        """Return whether the latest calls failed: fewer than for `is_turned_away`."""
        failing_for_s = self._get_now_s() - self._failing_since_s
        return (
            self._failures >= FAILING_AFTER_FAILURES
            and failing_for_s >= TURNED_AWAY_AFTER_S
        )

    def record(self, result: StoreResult, took_s: float | None = None) -> None:
        """Take the result of any call to the store.

        `took_s` is the time until the answer, None for a watch, which waits itself.
        """
        now_s = self._get_now_s()
        if took_s is not None and not is_unanswered(result):
            limit_s = ANSWER_TIME_MARGIN_RATIO * took_s
            self.overdue_after_s = min(
                max(limit_s, OVERDUE_AFTER_MIN_S), OVERDUE_AFTER_MAX_S
            )
        if is_unanswered(result):
            self._failures += 1
            self._failing_since_s = min(self._failing_since_s, now_s)
            return
        was_failing = self.is_failing
        self._failures, self._failing_since_s = 0, float("inf")
        if was_failing:
            self.recovered_s = now_s
            self._resume()

    def draw_delay_s(self, cost: float = 1.0) -> float:
        """Return after how many seconds a call may be repeated, and spend its cost.

        `cost` is relative to that of a read.
        """
        steps = min(max(0, self._failures - 1), BACKOFF_STEPS_MAX)
        growth = BACKOFF_GROWTH_RATIO**steps
        backoff_s = min(BACKOFF_INITIAL_S * growth, BACKOFF_MAX_S)
        return max(self._rng.uniform(0.0, backoff_s), self._spend(cost))

    def retry(
        self,
        callback: Callable[[], None],
        cost: float = 1.0,
        resume_after_s: float = 0.0,
        delay_max_s: float = RETRY_WAIT_MAX_S,
    ) -> None:
        """Call `callback` when a call of that cost may be made, but once only.

        Unless the store is failing, that is after `delay_max_s` seconds at the latest.

        When the store answers this instance again before that, it is called
        `resume_after_s` seconds later, and some jitter.
        """
        self._last_number += 1
        number, pending = self._last_number, PendingRetry(callback, resume_after_s)
        self._pending[number] = pending
        waits_for_probe = self.is_probed and self.is_failing
        delay_s = RETRY_WAIT_MAX_S
        if not waits_for_probe:
            delay_s = min(self.draw_delay_s(cost), delay_max_s)
        self._schedule(number, delay_s)

    def _schedule(self, number: int, delay_s: float) -> None:
        """Make a call after a delay, unless it is to be made sooner anyway.

        Late failures of calls from before the store's return look like another outage.
        """
        pending = self._pending[number]
        due_s = self._get_now_s() + delay_s
        if due_s >= pending.due_s:
            return
        if pending.timer is not None:
            pending.timer.cancel()

        def run() -> None:
            del self._pending[number]
            pending.callback()

        pending.due_s = due_s
        pending.timer = self._timers.call_at(due_s, run)

    def _resume(self) -> None:
        for number, pending in self._pending.items():
            jitter_s = self._rng.uniform(0.0, RESUME_SPREAD_S)
            self._schedule(number, pending.resume_after_s + jitter_s)

    def _spend(self, cost: float) -> float:
        """Spend some of the budget; return for how long it is overdrawn, in seconds."""
        now_s = self._get_now_s()
        rate = max(FLEET_RETRIES_PER_S / self.fleet_size, INSTANCE_RETRIES_MIN_PER_S)
        if self._credited_s is not None:
            credit = self._credit + (now_s - self._credited_s) * rate
            self._credit = min(credit, RETRY_BURST)
        self._credited_s = now_s
        # An overdraft beyond the longest wait would only delay later callers.
        self._credit = max(self._credit - cost, -RETRY_WAIT_MAX_S * rate)
        return max(0.0, -self._credit / rate)
