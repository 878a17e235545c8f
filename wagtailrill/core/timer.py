"""Schedules callbacks for the components; the component host advances its time."""

import heapq
import itertools
import math
from collections.abc import Callable
from typing import Final

import attrs

# Part of an interval by which a callback may run early through rounding.
ROUNDING_TOLERANCE: Final = 1e-6


@attrs.define(eq=False, slots=True)
class TimerHandle:
    """A scheduled callback; `callback` is None once it has run or was cancelled."""

    due_s: float
    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class TimerService:
    """Runs callbacks when they are due; times are monotonic seconds.

    It reads no clock; its owner supplies the time.
    """

    def __init__(self, now_s: float = 0.0) -> None:
        self._now_s = now_s
        self._origin_s: float | None = None
        self._queue: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()

    def call_at(self, due_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback at a monotonic time in seconds."""
        handle = TimerHandle(due_s, callback)
        heapq.heappush(self._queue, (due_s, next(self._sequence), handle))
        return handle

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self._now_s + delay_s, callback)

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> "PeriodicTimer":
        """Run a callback every `interval_s` seconds, first at the next advance.

        Runs missed during a pause of the process are skipped, not repeated. The timer
        that is returned can be stopped.
        """
        timer = PeriodicTimer(self, interval_s, callback)
        timer.start_now()
        return timer

    def find_next_multiple_s(self, interval_s: float) -> float:
        """Return the next time that is a multiple of an interval after the first step.

        Periodic timers run at such times, so that those with related intervals run in
        the same step. The times differ between processes, as they start apart.
        """
        origin_s = self._now_s if self._origin_s is None else self._origin_s
        elapsed = (self._now_s - origin_s) / interval_s
        return origin_s + (math.floor(elapsed + ROUNDING_TOLERANCE) + 1) * interval_s

    def skip_missed_s(self, due_s: float, interval_s: float) -> float:
        """Return the first run after one at `due_s` that has not been missed."""
        missed = (self._now_s - due_s) / interval_s - ROUNDING_TOLERANCE
        return due_s + max(1, math.ceil(missed)) * interval_s

    def get_next_due_s(self) -> float | None:
        """Return the monotonic time of the next callback in s, if there is one."""
        while self._queue and self._queue[0][2].callback is None:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def set_time(self, now_s: float) -> None:
        """Set the time from which delays count; it never decreases.

        Between two steps no time is known, so this comes before an event is handled.
        """
        self._now_s = max(self._now_s, now_s)
        if self._origin_s is None:
            self._origin_s = self._now_s

    def advance(self, now_s: float) -> None:
        """Run every callback that is due at `now_s`, in order of due time."""
        self.set_time(now_s)
        while (due_s := self.get_next_due_s()) is not None and due_s <= self._now_s:
            _, _, handle = heapq.heappop(self._queue)
            callback, handle.callback = handle.callback, None
            if callback is not None:
                callback()


class PeriodicTimer:
    """Runs a callback at multiples of an interval while it is started."""

    def __init__(
        self, timers: TimerService, interval_s: float, callback: Callable[[], None]
    ) -> None:
        self._timers = timers
        self._interval_s = interval_s
        self._callback = callback
        self._next: TimerHandle | None = None

    def start(self) -> None:
        """Run the callback from the next multiple on, unless it is started."""
        if self._next is None:
            self._schedule()

    def start_now(self) -> None:
        """Run the callback at the next advance, and then at each multiple."""
        self.stop()
        self._next = self._timers.call_later(0.0, self._run_first)

    def stop(self) -> None:
        """Run the callback no more."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _schedule(self) -> None:
        if self._next is None:
            due_s = self._timers.find_next_multiple_s(self._interval_s)
        else:
            due_s = self._timers.skip_missed_s(self._next.due_s, self._interval_s)
        self._next = self._timers.call_at(due_s, self._run)

    def _run_first(self) -> None:
        self._next = None
        self._run()

    def _run(self) -> None:
        self._schedule()
        self._callback()
