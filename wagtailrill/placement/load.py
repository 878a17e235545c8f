"""Load of backend servers as the instance that places requests knows it."""

import math
import statistics
from collections import deque

import attrs

from ..core.orders import AttemptOutcome
from .const import (
    FAILURE_DECAY_S,
    FAILURE_WEIGHT,
    REPORT_AGE_S,
    SAMPLE_INTERVAL_S,
    SAMPLES_MAX,
    SUSPECT_FIRST_S,
    SUSPECT_MAX_S,
)

UNREACHABLE = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)
FAILED = UNREACHABLE | {
    AttemptOutcome.BAD_ANSWER,
    AttemptOutcome.FAILED,
    AttemptOutcome.SHED,
}


@attrs.define(eq=False)
class ServerLoad:
    """What is placed on one server and what it reported last."""

    name: str
    slots: int
    assigned: int = 0
    # Reported requests that were not placed from here.
    outside: float = 0.0
    slowness: float = 1.0
    # Median of reports that lie apart, which short disturbances do not change.
    usual_slowness: float = 1.0
    reported_s: float = float("-inf")
    answered_s: float = float("-inf")
    sampled_s: float = float("-inf")
    samples: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES_MAX))
    failures: float = 0.0
    failures_s: float = 0.0
    suspect_until_s: float = float("-inf")
    suspect_s: float = 0.0

    def report(self, running: int, waiting: int, slowness: float, now_s: float) -> None:
        """Take in a load report."""
        self.outside = max(0.0, running + waiting - self.assigned)
        self.slowness = slowness
        self.reported_s = now_s
        if now_s - self.sampled_s >= SAMPLE_INTERVAL_S:
            self.sampled_s = now_s
            self.samples.append(slowness)
            self.usual_slowness = statistics.median_low(self.samples)

    def ended(self, outcome: AttemptOutcome, now_s: float) -> None:
        """Take in how a request ended."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        failed = 1.0 if outcome in FAILED else 0.0
        self.failures += FAILURE_WEIGHT * (failed - self.failure_rate(now_s))
        self.failures_s = now_s
        if outcome in UNREACHABLE:
            if now_s >= self.suspect_until_s:
                doubled_s = max(SUSPECT_FIRST_S, 2.0 * self.suspect_s)
                self.suspect_s = min(doubled_s, SUSPECT_MAX_S)
                self.suspect_until_s = now_s + self.suspect_s
        elif outcome is AttemptOutcome.ANSWERED:
            self.suspect_s = 0.0
            self.suspect_until_s = float("-inf")

    def failure_rate(self, now_s: float) -> float:
        """Return the part of requests that failed lately."""
        decay = math.exp(-(now_s - self.failures_s) / FAILURE_DECAY_S)
        self.failures *= decay
        self.failures_s = now_s
        return self.failures

    @property
    def unknown(self) -> bool:
        """Return whether the server has not reported yet."""
        return not self.samples

    def present(self) -> float:
        """Return the requests that are at the server."""
        return self.assigned + self.outside

    def slowness_now(self, now_s: float) -> float:
        """Return the slowness, which the last report tells less and less."""
        worth = math.exp(-max(0.0, now_s - self.reported_s) / REPORT_AGE_S)
        return self.usual_slowness + (self.slowness - self.usual_slowness) * worth

    def suspect(self, now_s: float) -> bool:
        """Return whether the server could not be reached just now."""
        return now_s < self.suspect_until_s
