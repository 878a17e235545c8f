"""Moments of the cost of similar requests, and bounded tables of them."""

import math
from collections import OrderedDict
from collections.abc import Hashable
from typing import Final, Generic, TypeVar

import attrs

from .const import (
    OUTLIER_RATIO,
    OUTLIER_WEIGHT_MIN,
    SHRINKAGE_WEIGHT,
    WEIGHT_DECAY_S,
    WEIGHT_MAX,
)

_OUTLIER_LOG: Final = math.log(OUTLIER_RATIO)


@attrs.define(eq=False, slots=True)
class Moments:
    """Mean and variance of the logarithm of work in seconds, and the mean response."""

    log_mean: float
    log_variance: float
    response_bytes: float = 0.0


@attrs.define(eq=False, slots=True)
class CostCell:
    """Observed moments of requests that are alike.

    `weight` is the number of observations that still count, as of the monotonic time
    `updated_s`; older ones lose weight.
    """

    updated_s: float
    weight: float = 0.0
    log_mean: float = 0.0
    log_variance: float = 0.0
    response_bytes: float = 0.0

    def compute_weight(self, now_s: float) -> float:
        """Return the number of observations that count now."""
        age_s = now_s - self.updated_s
        return self.weight * math.exp(-age_s / WEIGHT_DECAY_S) if age_s else self.weight

    def record(self, log_work: float, response_bytes: float, now_s: float) -> None:
        """Record an observation; one far from the others is moved towards them."""
        weight = min(self.compute_weight(now_s), WEIGHT_MAX - 1.0)
        deviation = log_work - self.log_mean
        if weight >= OUTLIER_WEIGHT_MIN:
            deviation = min(max(deviation, -_OUTLIER_LOG), _OUTLIER_LOG)
        self.weight, self.updated_s = weight + 1.0, now_s
        share = 1.0 / self.weight
        self.log_mean += share * deviation
        self.log_variance = (1.0 - share) * (self.log_variance + share * deviation**2)
        self.response_bytes += share * (response_bytes - self.response_bytes)

    def merge(self, moments: Moments, weight: float, now_s: float) -> None:
        """Add observations of which only the moments are known."""
        own_weight = min(self.compute_weight(now_s), WEIGHT_MAX - weight)
        self.weight, self.updated_s = own_weight + weight, now_s
        blended = blend_moments(
            Moments(self.log_mean, self.log_variance, self.response_bytes),
            moments,
            weight / self.weight,
        )
        self.log_mean, self.log_variance = blended.log_mean, blended.log_variance
        self.response_bytes = blended.response_bytes

    def refine(self, general: Moments, now_s: float) -> tuple[Moments, float]:
        """Return moments that lean on this cell by its weight, and the cell's share."""
        weight = self.compute_weight(now_s)
        share = weight / (weight + SHRINKAGE_WEIGHT)
        own = Moments(self.log_mean, self.log_variance, self.response_bytes)
        return blend_moments(general, own, share), share


def blend_moments(first: Moments, second: Moments, share: float) -> Moments:
    """Return the moments of a mix that has a share (0 to 1) of the second ones."""
    distance = second.log_mean - first.log_mean
    rest = 1.0 - share
    return Moments(
        first.log_mean + share * distance,
        rest * first.log_variance
        + share * second.log_variance
        + share * rest * distance**2,
        first.response_bytes + share * (second.response_bytes - first.response_bytes),
    )


K = TypeVar("K", bound=Hashable)


class CellTable(Generic[K]):
    """Cells by key, of which only those used last are kept."""

    def __init__(self, cells_max: int) -> None:
        self._cells_max = cells_max
        self._cells: OrderedDict[K, CostCell] = OrderedDict()

    def __len__(self) -> int:
        return len(self._cells)

    def find(self, key: K) -> CostCell | None:
        """Return the cell of a key, None if there is none."""
        return self._cells.get(key)

    def use(self, key: K, now_s: float) -> CostCell:
        """Return the cell of a key, which is made if there is none."""
        cell = self._cells.get(key)
        if cell is not None:
            self._cells.move_to_end(key)
            return cell
        if len(self._cells) >= self._cells_max:
            self._cells.popitem(last=False)
        cell = self._cells[key] = CostCell(now_s)
        return cell
