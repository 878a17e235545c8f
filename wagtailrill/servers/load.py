"""Estimates the load and latency of backend servers from attempts and load reports.

The choice of a server and the placement of requests use it.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable

import attrs

from ..core.context import Context
from ..core.request_models import AttemptOutcome, LoadReport
from .const import (
    BASE_LATENCY_INITIAL_S,
    BASE_LATENCY_STEP_RATIO,
    DEMAND_DECAY_S,
    FAILURE_COST_RATIO,
    FAILURE_RATIO_DECAY_S,
    FAILURE_RATIO_WEIGHT,
    REPORT_DECAY_S,
    SLOWNESS_MIN,
    SLOWNESS_SAMPLE_INTERVAL_S,
    SLOWNESS_SAMPLES_MAX,
    SUSPECT_INITIAL_S,
    SUSPECT_MAX_S,
    UNREPORTED_SLOWNESS_DECAY_S,
    UNREPORTED_SLOWNESS_MAX,
    UNREPORTED_SLOWNESS_MIN,
    UNREPORTED_SLOWNESS_WEIGHT,
    UNTRIED_COST_RATIO,
)
from .distance import get_distance_ratio
from .models import ServerRow

UNREACHABLE_OUTCOMES = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)
FAILED_OUTCOMES = UNREACHABLE_OUTCOMES | {
    AttemptOutcome.BAD_ANSWER,
    AttemptOutcome.FAILED,
    AttemptOutcome.SHED,
}


@attrs.frozen
class Expectation:
    """What was expected of a request when it was sent to a server.

    `median_work_s` is the median time of such requests on a server of slowness 1.0, in
    seconds, and `certainty` from 0 to 1 how far it is known. `had_free_slot` tells
    whether the request began to run at once, None if that is unknown.
    """

    median_work_s: float
    certainty: float = 1.0
    had_free_slot: bool | None = None


@attrs.define(eq=False)
class Demand:
    """Rate of requests with exponential decay."""

    rate_per_s: float = 0.0
    updated_s: float = 0.0

    def count_request(self, now_s: float) -> None:
        """Count a request."""
        self.rate_per_s = self.compute_rate_per_s(now_s) + 1.0 / DEMAND_DECAY_S
        self.updated_s = now_s

    def compute_rate_per_s(self, now_s: float) -> float:
        """Return the rate in requests per second."""
        return self.rate_per_s * math.exp(-(now_s - self.updated_s) / DEMAND_DECAY_S)


@attrs.define(eq=False)
class ServerLoad:
    """Requests sent to one server, its load reports, and its observed latency.

    Slowness is a ratio to the base latency of the service: 2.0 is twice as slow.
    """

    row: ServerRow
    assigned_requests: int = 0
    # Requests in the last report that are not counted in `assigned_requests`.
    external_requests: float = 0.0
    slowness: float = 1.0
    # Median of reports taken at intervals, robust against short disturbances.
    median_slowness: float = 1.0
    # Ratio of the observed latency to the one that the reported slowness predicts.
    unreported_slowness: float = 1.0
    unreported_slowness_updated_s: float = 0.0
    # Median age of the requests that placement has assigned, 0.0 without any. Ages
    # count in proportion to the work, as if all requests were usual ones.
    median_age_s: float = 0.0
    last_report_s: float = float("-inf")
    last_answer_s: float = float("-inf")
    last_sample_s: float = float("-inf")
    slowness_samples: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=SLOWNESS_SAMPLES_MAX)
    )
    failure_ratio: float = 0.0
    failure_ratio_updated_s: float = 0.0
    suspect_until_s: float = float("-inf")
    suspect_duration_s: float = 0.0

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Record a load report."""
        self.external_requests = max(
            0.0, report.running + report.waiting - self.assigned_requests
        )
        self.slowness = max(report.slowness, SLOWNESS_MIN)
        self.last_report_s = now_s
        if now_s - self.last_sample_s >= SLOWNESS_SAMPLE_INTERVAL_S:
            self.last_sample_s = now_s
            self.slowness_samples.append(self.slowness)
            self.median_slowness = statistics.median_low(self.slowness_samples)

    def record_latency_ratio(
        self, latency_ratio: float, now_s: float, certainty: float = 1.0
    ) -> None:
        """Record the ratio of a request's latency to the predicted latency.

        It counts by the certainty of the prediction, from 0 to 1.
        """
        previous_log = math.log(self.compute_unreported_slowness(now_s))
        observed_log = math.log(
            min(max(latency_ratio, UNREPORTED_SLOWNESS_MIN), UNREPORTED_SLOWNESS_MAX)
        )
        weight = UNREPORTED_SLOWNESS_WEIGHT * certainty
        self.unreported_slowness = math.exp(
            previous_log + weight * (observed_log - previous_log)
        )
        self.unreported_slowness_updated_s = now_s

    def compute_unreported_slowness(self, now_s: float) -> float:
        """Return the unreported slowness, which decays to 1.0 without requests."""
        decay_ratio = math.exp(
            -max(0.0, now_s - self.unreported_slowness_updated_s)
            / UNREPORTED_SLOWNESS_DECAY_S
        )
        return math.pow(self.unreported_slowness, decay_ratio)

    def record_outcome(self, outcome: AttemptOutcome, now_s: float) -> None:
        """Update the failure ratio and the suspicion by the outcome of a request."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        failed = 1.0 if outcome in FAILED_OUTCOMES else 0.0
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (
            failed - self.decay_failure_ratio(now_s)
        )
        self.failure_ratio_updated_s = now_s
        if outcome in UNREACHABLE_OUTCOMES:
            if now_s >= self.suspect_until_s:
                doubled_s = max(SUSPECT_INITIAL_S, 2.0 * self.suspect_duration_s)
                self.suspect_duration_s = min(doubled_s, SUSPECT_MAX_S)
                self.suspect_until_s = now_s + self.suspect_duration_s
        elif outcome is AttemptOutcome.ANSWERED:
            self.suspect_duration_s = 0.0
            self.suspect_until_s = float("-inf")

    def decay_failure_ratio(self, now_s: float) -> float:
        """Decay the ratio of requests that failed lately, and return it (0 to 1)."""
        if self.failure_ratio == 0.0:
            return 0.0
        decay_ratio = math.exp(
            -(now_s - self.failure_ratio_updated_s) / FAILURE_RATIO_DECAY_S
        )
        self.failure_ratio *= decay_ratio
        self.failure_ratio_updated_s = now_s
        return self.failure_ratio

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.row.name

    @property
    def slots(self) -> int:
        """Return how many requests the server runs concurrently."""
        return self.row.entry.slots

    @property
    def has_no_report(self) -> bool:
        """Return whether the server has not reported yet."""
        return not self.slowness_samples

    def estimate_in_flight(self) -> float:
        """Return the estimated number of requests at the server, running or waiting."""
        return self.assigned_requests + self.external_requests

    def estimate_slowness(self, now_s: float) -> float:
        """Return the last reported slowness, decaying with its age to the median."""
        if self.slowness == self.median_slowness:
            return self.slowness
        report_weight = math.exp(-max(0.0, now_s - self.last_report_s) / REPORT_DECAY_S)
        return (
            self.median_slowness
            + (self.slowness - self.median_slowness) * report_weight
        )

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the server is avoided since it could not be reached."""
        return now_s < self.suspect_until_s


class LoadTable:
    """Loads of the servers of one service, and its base latency.

    `base_latency_s` is the median latency of a request where the slowness is 1.0.
    """

    def __init__(self, ctx: Context) -> None:
        self.base_latency_s = BASE_LATENCY_INITIAL_S
        # Unreported slowness of the median server: what all servers have in common is
        # due to the requests.
        self.usual_unreported_slowness = 1.0
        self._ctx = ctx
        self._loads: dict[str, ServerLoad] = {}

    def get_load(self, row: ServerRow) -> ServerLoad:
        """Return the load of a server; a restarted server gets a new one."""
        load = self._loads.get(row.name)
        if load is None or load.row is not row:
            load = self._loads[row.name] = ServerLoad(row)
        return load

    def list_loads(self) -> Iterable[ServerLoad]:
        """Return the loads of all servers."""
        return self._loads.values()

    def record_end(
        self,
        load: ServerLoad,
        outcome: AttemptOutcome,
        latency_s: float,
        report: LoadReport | None,
        expected: Expectation | None = None,
    ) -> float:
        """Record the end of a request at a server; return its work in seconds.

        `report` is the load report that came with the answer, if any. Without an
        expectation the request counts as a usual one. The work is 0.0 if the latency
        does not show it.
        """
        now_s = self._ctx.now_s
        load.record_outcome(outcome, now_s)
        if report is not None:
            load.last_answer_s = now_s
            load.record_report(report, now_s)
        elif load.external_requests:
            load.external_requests = max(0.0, load.external_requests - 1.0)
        expected = expected or Expectation(self.base_latency_s)
        had_free_slot = expected.had_free_slot
        if had_free_slot is None:
            had_free_slot = load.estimate_in_flight() < load.slots
        if outcome is not AttemptOutcome.ANSWERED or not had_free_slot:
            return 0.0
        work_s = latency_s / load.slowness
        unreported_slowness = load.compute_unreported_slowness(now_s)
        load.record_latency_ratio(
            work_s / expected.median_work_s, now_s, expected.certainty
        )
        # Fixed steps track medians, which a few slow servers hardly change.
        self.base_latency_s = _step_towards(self.base_latency_s, work_s)
        self.usual_unreported_slowness = _step_towards(
            self.usual_unreported_slowness, unreported_slowness
        )
        return work_s * self.usual_unreported_slowness / unreported_slowness

    def estimate_latency_s(self, load: ServerLoad) -> float:
        """Return the expected latency of the usual request on a free slot."""
        latency_s = self.base_latency_s * self.estimate_present_slowness(load)
        return max(latency_s, load.median_age_s)

    def estimate_cost_s(
        self, load: ServerLoad, data_centre: str, work_s: float = 0.0
    ) -> float:
        """Return the expected latency weighted by failures and distance, in seconds.

        `work_s` is the work of the request, or 0.0 for the base latency.
        """
        work_ratio = work_s / self.base_latency_s if work_s else 1.0
        return (
            self.estimate_local_cost_s(load)
            * work_ratio
            * get_distance_ratio(load.row.entry.data_centre, data_centre)
        )

    def estimate_local_cost_s(self, load: ServerLoad) -> float:
        """Return the usual cost for a request from the server's data centre."""
        cost_s = self.estimate_latency_s(load)
        if load.has_no_report and not load.assigned_requests:
            cost_s *= UNTRIED_COST_RATIO
        return cost_s * (
            1.0 + FAILURE_COST_RATIO * load.decay_failure_ratio(self._ctx.now_s)
        )

    def estimate_present_slowness(self, load: ServerLoad) -> float:
        """Return the present slowness of a server, reported or not."""
        now_s = self._ctx.now_s
        return load.estimate_slowness(now_s) * load.compute_unreported_slowness(now_s)

    def estimate_lasting_slowness(self, load: ServerLoad) -> float:
        """Return the lasting slowness of a server, reported or not."""
        return load.median_slowness * load.compute_unreported_slowness(self._ctx.now_s)


def _step_towards(value: float, observed: float) -> float:
    """Return a positive value moved by a fixed step towards an observed one."""
    return value * math.exp(math.copysign(BASE_LATENCY_STEP_RATIO, observed - value))
