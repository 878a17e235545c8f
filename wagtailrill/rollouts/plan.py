"""Steps in which the exposure of a version under test grows; used by the decider."""

import math
from typing import Final

import attrs

from .models import RolloutSettings


@attrs.frozen
class ExposureStep:
    """A step of exposure from a part of the ordered time on.

    `share_ratio` and `slack_ratio` are the parts of the bounds that may be used up to
    now, `pace` the share of the requests that go to the version under test at most.
    """

    from_ratio: float
    share_ratio: float
    slack_ratio: float
    pace: float


# The rest of the bounds covers what a lost dispatcher may have placed unseen. The pace
# bounds the share even when much of what is allowed is left, so that there is no burst.
EXPOSURE_STEPS: Final = (
    ExposureStep(0.0, 0.2, 0.2, 0.3),
    ExposureStep(0.12, 0.5, 0.4, 0.4),
    ExposureStep(0.3, 0.8, 0.6, 0.5),
    ExposureStep(0.5, 0.95, 0.85, 0.5),
)


class ExposurePlan:
    """Follows the steps; `index` is the number of the present one."""

    def __init__(self, cfg: RolloutSettings) -> None:
        self.index = 0
        self._cfg = cfg

    @property
    def step(self) -> ExposureStep:
        """Return the present step."""
        return EXPOSURE_STEPS[self.index]

    def advance(self, elapsed_ratio: float) -> bool:
        """Go to the next step if its time has come; return whether it has."""
        following = self.index + 1
        if following >= len(EXPOSURE_STEPS):
            return False
        if elapsed_ratio < EXPOSURE_STEPS[following].from_ratio:
            return False
        self.index = following
        return True

    def compute_allowed(self, total: int, with_slack: bool) -> int:
        """Return how many of `total` requests may have gone to the new version."""
        allowed = self.step.share_ratio * self._cfg.expose_share * total
        if with_slack:
            allowed += self.step.slack_ratio * self._cfg.expose_slack
        return math.floor(allowed)
