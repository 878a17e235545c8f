"""Derives from the deadline and target of a request when it must be placed."""

import attrs

from .const import LATE_WAIT_RATIO_MAX, LATE_WAIT_RATIO_MIN, REQUEST_TIME_MARGIN_RATIO


@attrs.frozen
class StartTimes:
    """Seconds from now until a request is late, and until it cannot be run in time.

    `late_in_s` is not limited by `latest_start_in_s`.
    """

    late_in_s: float
    latest_start_in_s: float


def compute_start_times(
    target_s: float, left_s: float, waited_s: float, usual_time_s: float
) -> StartTimes:
    """Return the start times of a request that usually takes `usual_time_s`.

    `target_s` counts from its arrival, `waited_s` ago, and `left_s` from now.
    """
    request_time_s = usual_time_s * REQUEST_TIME_MARGIN_RATIO
    late_in_s = max(
        target_s - waited_s - request_time_s, target_s * LATE_WAIT_RATIO_MIN - waited_s
    )
    late_in_s = min(late_in_s, target_s * LATE_WAIT_RATIO_MAX - waited_s)
    return StartTimes(late_in_s, left_s - request_time_s)
