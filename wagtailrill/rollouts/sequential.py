"""A sequential test of whether answers are bad more often than expected.

The judge of a roll-out uses one for each route and signal.
"""

import math
from typing import Final

# Shares of the answers that would else be good and are bad, against which the test has
# power. The least still shows within the exposure that a bad version may get.
EFFECTS: Final = (0.06, 0.2, 0.45, 0.85)
# Prior weight of a version that is bad from its first answer on; the rest is spread
# evenly over the answers after which it may go bad.
START_WEIGHT: Final = 0.5
CHANGE_WEIGHT: Final = 1.0 / 800.0
NULL_RATIO_MAX: Final = 0.95


class MixtureTest:
    """Mixture likelihood ratio over effect sizes and times of change.

    While each answer is bad with at most the probability given for it, the evidence is
    a non-negative supermartingale with start 1: it ever reaches 1/a with a probability
    of at most a (Ville's inequality), however often it is looked at.
    """

    def __init__(self) -> None:
        self._unchanged = 1.0 - START_WEIGHT
        self._ratios = [START_WEIGHT / len(EFFECTS)] * len(EFFECTS)

    def observe(self, is_bad: bool, null_ratio: float) -> None:
        """Take an answer that is bad with probability `null_ratio` if nothing is wrong.

        `null_ratio` must not depend on the answer itself or on later ones.
        """
        null_ratio = min(max(null_ratio, 1e-6), NULL_RATIO_MAX)
        begun = min(CHANGE_WEIGHT, self._unchanged)
        self._unchanged -= begun
        for index, effect in enumerate(EFFECTS):
            ratio = 1.0 - effect
            if is_bad:
                ratio = (null_ratio + effect * (1.0 - null_ratio)) / null_ratio
            self._ratios[index] = (self._ratios[index] + begun / len(EFFECTS)) * ratio

    @property
    def log_evidence(self) -> float:
        """Return the natural logarithm of the evidence against the version."""
        return math.log(sum(self._ratios) + self._unchanged)
