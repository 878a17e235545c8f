"""Load of backend servers, as one who sends or places requests knows it."""

import math
import statistics
from collections import deque
from collections.abc import Iterable

import attrs

from ..core.context import Context
from ..core.orders import AttemptOutcome, LoadReport
from .const import (
    DEMAND_DECAY_S,
    DISTANT_PART,
    FAILURE_COST,
    FAILURE_DECAY_S,
    FAILURE_WEIGHT,
    REPORT_AGE_S,
    SAMPLE_INTERVAL_S,
    SAMPLES_MAX,
    SLOWNESS_MIN,
    SUSPECT_FIRST_S,
    SUSPECT_MAX_S,
    UNKNOWN_PART,
    UNREPORTED_DECAY_S,
    UNREPORTED_MAX,
    UNREPORTED_MIN,
    UNREPORTED_WEIGHT,
    WORK_INITIAL_S,
    WORK_STEP,
)
from .models import ServerRow

UNREACHABLE = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)
FAILED = UNREACHABLE | {
    AttemptOutcome.BAD_ANSWER,
    AttemptOutcome.FAILED,
    AttemptOutcome.SHED,
}


@attrs.define(eq=False)
class Demand:
    """Decayed rate of requests."""

    per_s: float = 0.0
    updated_s: float = 0.0

    def count(self, now_s: float) -> None:
        """Count a request."""
        self.per_s = self.rate(now_s) + 1.0 / DEMAND_DECAY_S
        self.updated_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the requests per second."""
        return self.per_s * math.exp(-(now_s - self.updated_s) / DEMAND_DECAY_S)


@attrs.define(eq=False)
class ServerLoad:
    """What was sent to one server and what it reported last."""

    row: ServerRow
    assigned: int = 0
    # Reported requests that were not counted in `assigned`.
    outside: float = 0.0
    slowness: float = 1.0
    # Median of reports that lie apart, which short disturbances do not change.
    usual_slowness: float = 1.0
    # How much longer requests take than the reported slowness explains.
    unreported: float = 1.0
    unreported_s: float = 0.0
    # Median of the seconds that its present requests have been here.
    usual_age_s: float = 0.0
    reported_s: float = float("-inf")
    answered_s: float = float("-inf")
    sampled_s: float = float("-inf")
    samples: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES_MAX))
    failures: float = 0.0
    failures_s: float = 0.0
    suspect_until_s: float = float("-inf")
    suspect_s: float = 0.0

    def report(self, load: LoadReport, now_s: float) -> None:
        """Take in a load report."""
        self.outside = max(0.0, load.running + load.waiting - self.assigned)
        self.slowness = max(load.slowness, SLOWNESS_MIN)
        self.reported_s = now_s
        if now_s - self.sampled_s >= SAMPLE_INTERVAL_S:
            self.sampled_s = now_s
            self.samples.append(self.slowness)
            self.usual_slowness = statistics.median_low(self.samples)

    def took(self, part: float, now_s: float) -> None:
        """Take in how long a request took, as a part of what was expected."""
        known = math.log(self.unreported_now(now_s))
        seen = math.log(min(max(part, UNREPORTED_MIN), UNREPORTED_MAX))
        self.unreported = math.exp(known + UNREPORTED_WEIGHT * (seen - known))
        self.unreported_s = now_s

    def unreported_now(self, now_s: float) -> float:
        """Return the unreported slowness, which is forgotten without requests."""
        decay = math.exp(-max(0.0, now_s - self.unreported_s) / UNREPORTED_DECAY_S)
        return math.exp(math.log(self.unreported) * decay)

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
    def name(self) -> str:
        """Return the server's name."""
        return self.row.name

    @property
    def slots(self) -> int:
        """Return how many requests the server runs at the same time."""
        return self.row.entry.slots

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


class LoadTable:
    """Loads by server, and the work of a request of one service.

    `work_s` is how long the median request takes where the slowness is 1.0.
    """

    def __init__(self, ctx: Context) -> None:
        self.work_s = WORK_INITIAL_S
        self._ctx = ctx
        self._loads: dict[str, ServerLoad] = {}

    def of(self, row: ServerRow) -> ServerLoad:
        """Return the load of a server; one that started again is a new one."""
        load = self._loads.get(row.name)
        if load is None or load.row is not row:
            load = self._loads[row.name] = ServerLoad(row)
        return load

    def all(self) -> Iterable[ServerLoad]:
        """Return the loads of all servers."""
        return self._loads.values()

    def ended(
        self,
        load: ServerLoad,
        outcome: AttemptOutcome,
        latency_s: float,
        report: LoadReport | None,
    ) -> None:
        """Take in the end of a request at a server."""
        now_s = self._ctx.now_s
        load.ended(outcome, now_s)
        if report is not None:
            load.answered_s = now_s
            load.report(report, now_s)
        elif load.outside:
            load.outside = max(0.0, load.outside - 1.0)
        if outcome is AttemptOutcome.ANSWERED and load.present() < load.slots:
            part = latency_s / (load.slowness * self.work_s)
            load.took(part, now_s)
            # A step towards the median, which some slow servers hardly change.
            self.work_s *= math.exp(math.copysign(WORK_STEP, part - 1.0))

    def time_s(self, load: ServerLoad) -> float:
        """Return the seconds that a request takes on a free slot of a server."""
        now_s = self._ctx.now_s
        time_s = self.work_s * load.slowness_now(now_s) * load.unreported_now(now_s)
        return max(time_s, load.usual_age_s)

    def cost_s(self, load: ServerLoad, data_centre: str) -> float:
        """Return the time on a free slot, with failures and distance counted in."""
        time_s = self.time_s(load)
        if load.row.entry.data_centre != data_centre:
            time_s *= 1.0 + DISTANT_PART
        if load.unknown and not load.assigned:
            time_s *= UNKNOWN_PART
        return time_s * (1.0 + FAILURE_COST * load.failure_rate(self._ctx.now_s))

    def slot_s(self, load: ServerLoad) -> float:
        """Return the seconds between two slots of a full server that become free."""
        now_s = self._ctx.now_s
        slowness = load.slowness_now(now_s) * load.unreported_now(now_s)
        return self.work_s * slowness / load.slots

    def usual_slowness(self, load: ServerLoad) -> float:
        """Return the slowness of a server that lasts, reported or not."""
        return load.usual_slowness * load.unreported_now(self._ctx.now_s)
