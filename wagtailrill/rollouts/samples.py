"""Collects the results of attempts until they are reported to the decider."""

from typing import Final

from ..core.request_models import AttemptOutcome, AttemptResult
from .const import OLD_SAMPLES_MAX, SAMPLES_MAX
from .messages import AttemptSample

FAILED_OUTCOMES: Final = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.BAD_ANSWER, AttemptOutcome.LOST}
)
# These ended before an answer: they say that it would have taken longer.
UNENDED_OUTCOMES: Final = frozenset(
    {AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT}
)
JUDGED_OUTCOMES: Final = (
    FAILED_OUTCOMES | UNENDED_OUTCOMES | frozenset({AttemptOutcome.ANSWERED})
)


class SampleBuffer:
    """Results of attempts at one service since the last report.

    If there are too many, results of the old version are left out first.
    """

    def __init__(self) -> None:
        self._samples: list[AttemptSample] = []
        self._old_count = 0

    def add(
        self, route: str, server: str, is_target: bool, result: AttemptResult
    ) -> None:
        """Add the result of an attempt if it says something about the version."""
        if result.outcome not in JUDGED_OUTCOMES or len(self._samples) >= SAMPLES_MAX:
            return
        if not is_target:
            if self._old_count >= OLD_SAMPLES_MAX:
                return
            self._old_count += 1
        self._samples.append(
            AttemptSample(
                route,
                server,
                is_target,
                result.outcome in FAILED_OUTCOMES,
                result.outcome not in UNENDED_OUTCOMES,
                result.latency_s,
            )
        )

    def take(self) -> tuple[AttemptSample, ...]:
        """Return the results and empty the buffer."""
        samples, self._samples = tuple(self._samples), []
        self._old_count = 0
        return samples
