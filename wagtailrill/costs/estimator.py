"""Estimates the cost of the requests of one service from those that have ended."""

import math
from typing import Final

import attrs

from ..core.context import Context
from .cells import CellTable, CostCell, Moments
from .const import (
    ERROR_WEIGHT,
    ESTIMATE_KEPT_REQUESTS,
    ESTIMATE_KEPT_S,
    KEYS_MAX,
    LARGEST_BODY_BITS,
    LOG_SPREAD_INITIAL,
    ROUTES_MAX,
    SHRINKAGE_WEIGHT,
    SIZE_CLASSES_MAX,
    SMALLEST_BODY_BITS,
    TOLD_WEIGHT_MAX,
    WORK_INITIAL_S,
    WORK_MAX_S,
    WORK_MIN_S,
)
from .models import NO_KEY_POSITION, ExpectedCost, RequestTraits

RouteKey = tuple[str, bool]
SizeKey = tuple[str, bool, int]
PositionKey = tuple[str, bool, int]

_LOG_VARIANCE_INITIAL: Final = LOG_SPREAD_INITIAL**2
# Keep the mean work and told estimates finite, whatever was observed or told.
_LOG_VARIANCE_MAX: Final = 9.0
_SPREAD_RATIO_MAX: Final = 100.0
_RESPONSE_BYTES_MAX: Final = 1e12


@attrs.frozen
class SizeEstimate:
    """Moments and cost of the requests of a route and size class."""

    moments: Moments
    cost: ExpectedCost


class CostEstimator:
    """Learns work and response size by service, route, size of the body and key.

    A level refines what the levels above it say by the number of its observations, so
    that an estimate exists from the first request on. Its memory is bounded.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._service = CostCell(ctx.now_s)
        self._routes: CellTable[RouteKey] = CellTable(ROUTES_MAX)
        self._sizes: CellTable[SizeKey] = CellTable(SIZE_CLASSES_MAX)
        self._keys: CellTable[PositionKey] = CellTable(KEYS_MAX)
        self._size_estimates: dict[SizeKey, SizeEstimate] = {}
        self._mean_work_s = 0.0
        self._kept_until_s = float("-inf")
        self._observed = 0
        self._log_error = 0.0

    def estimate(
        self, traits: RequestTraits, usual_work_s: float = WORK_INITIAL_S
    ) -> ExpectedCost:
        """Return the expected cost of a request.

        `usual_work_s` is taken as its work as far as nothing is known, in seconds.
        """
        general = self._estimate_size(traits, usual_work_s)
        if traits.key_position == NO_KEY_POSITION:
            return general.cost
        cell = self._keys.find(_get_position_key(traits))
        if cell is None:
            return general.cost
        weight = cell.compute_weight(self._ctx.now_s)
        share = weight / (weight + SHRINKAGE_WEIGHT)
        moments = general.moments
        refined = Moments(
            moments.log_mean + share * cell.log_mean,
            moments.log_variance + share * (cell.log_variance - moments.log_variance),
            moments.response_bytes
            + share * (cell.response_bytes - moments.response_bytes),
        )
        certainty = 1.0 - (1.0 - general.cost.certainty) * (1.0 - share)
        return _make_cost(refined, certainty)

    def estimate_mean_work_s(self, usual_work_s: float = WORK_INITIAL_S) -> float:
        """Return the mean work of the service's requests, in seconds."""
        self._drop_old_estimates()
        if self._mean_work_s <= 0.0:
            prior = _make_prior(usual_work_s)
            moments, _ = self._service.refine(prior, self._ctx.now_s)
            self._mean_work_s = _make_cost(moments, 0.0).work_s
        return self._mean_work_s

    def record(
        self, traits: RequestTraits, work_s: float, response_bytes: float
    ) -> None:
        """Record the work of a request that was answered, and the size of the answer.

        `work_s` is its time on a server of slowness 1.0, in seconds.
        """
        now_s = self._ctx.now_s
        log_work = math.log(min(max(work_s, WORK_MIN_S), WORK_MAX_S))
        size_cell = self._sizes.use(_get_size_key(traits), now_s)
        route_cell = self._routes.use(_get_route_key(traits), now_s)
        for cell in (self._service, route_cell, size_cell):
            cell.record(log_work, response_bytes, now_s)
        self._observed += 1
        error = abs(log_work - size_cell.log_mean)
        self._log_error += ERROR_WEIGHT * (error - self._log_error)
        if traits.key_position != NO_KEY_POSITION:
            # The log mean of a key's cell is the deviation from that of its size class.
            moments = self._estimate_size(traits, WORK_INITIAL_S).moments
            key_cell = self._keys.use(_get_position_key(traits), now_s)
            key_cell.record(log_work - moments.log_mean, response_bytes, now_s)

    def learn(self, traits: RequestTraits, told: ExpectedCost) -> None:
        """Take over an estimate of another instance if it knows more.

        `told` is about requests of the route and size class of `traits`.
        """
        if not _is_plausible(told):
            return
        now_s = self._ctx.now_s
        weight = TOLD_WEIGHT_MAX
        if told.certainty < 1.0:
            known_weight = SHRINKAGE_WEIGHT * told.certainty / (1.0 - told.certainty)
            weight = min(known_weight, TOLD_WEIGHT_MAX)
        size_cell = self._sizes.use(_get_size_key(traits), now_s)
        missing = weight - size_cell.compute_weight(now_s)
        if missing < 1.0:
            return
        moments = _make_moments(told)
        for cell in (
            size_cell,
            self._routes.use(_get_route_key(traits), now_s),
            self._service,
        ):
            cell.merge(moments, missing, now_s)
        self._kept_until_s = float("-inf")

    def get_error_ratio(self) -> float:
        """Return the usual ratio between the work of a request and its estimate.

        It is 1.0 or above: at 1.5, a request takes 1.5 times the estimate or 1 / 1.5.
        """
        return math.exp(self._log_error)

    def count_cells(self) -> int:
        """Return the number of cells, which bounds the memory used."""
        return 1 + len(self._routes) + len(self._sizes) + len(self._keys)

    def _estimate_size(
        self, traits: RequestTraits, usual_work_s: float
    ) -> SizeEstimate:
        """Return the estimate for the route and size class of a request.

        It is kept for a moment, as it changes little from one request to the next.
        """
        self._drop_old_estimates()
        key = _get_size_key(traits)
        found = self._size_estimates.get(key)
        if found is None:
            found = self._compute_size(key, usual_work_s)
            if len(self._size_estimates) < SIZE_CLASSES_MAX:
                self._size_estimates[key] = found
        return found

    def _drop_old_estimates(self) -> None:
        now_s = self._ctx.now_s
        if self._observed >= ESTIMATE_KEPT_REQUESTS or now_s >= self._kept_until_s:
            self._observed, self._kept_until_s = 0, now_s + ESTIMATE_KEPT_S
            self._size_estimates.clear()
            self._mean_work_s = 0.0

    def _compute_size(self, key: SizeKey, usual_work_s: float) -> SizeEstimate:
        now_s = self._ctx.now_s
        moments, certainty = _make_prior(usual_work_s), 0.0
        moments, _ = self._service.refine(moments, now_s)
        route, size = self._routes.find(key[:2]), self._sizes.find(key)
        if route is not None:
            moments, _ = route.refine(moments, now_s)
        if size is not None:
            moments, certainty = size.refine(moments, now_s)
        return SizeEstimate(moments, _make_cost(moments, certainty))


def get_size_class(body_bytes: int) -> int:
    """Return the size class of a body; each class has bodies twice as large."""
    return min(max(body_bytes.bit_length(), SMALLEST_BODY_BITS), LARGEST_BODY_BITS)


def _get_route_key(traits: RequestTraits) -> RouteKey:
    return traits.route, traits.idempotent


def _get_size_key(traits: RequestTraits) -> SizeKey:
    return traits.route, traits.idempotent, get_size_class(traits.body_bytes)


def _get_position_key(traits: RequestTraits) -> PositionKey:
    return traits.route, traits.idempotent, traits.key_position


def _make_prior(usual_work_s: float) -> Moments:
    return Moments(math.log(usual_work_s), _LOG_VARIANCE_INITIAL)


def _make_cost(moments: Moments, certainty: float) -> ExpectedCost:
    """Return the cost for the moments of lognormal work."""
    variance = min(moments.log_variance, _LOG_VARIANCE_MAX)
    work_s = math.exp(moments.log_mean + 0.5 * variance)
    spread_s = work_s * math.sqrt(math.expm1(variance))
    return ExpectedCost(work_s, spread_s, moments.response_bytes, certainty)


def _make_moments(cost: ExpectedCost) -> Moments:
    """Return the moments that an expected cost was made from."""
    variance = math.log1p((cost.spread_s / cost.work_s) ** 2)
    log_mean = math.log(cost.work_s) - 0.5 * variance
    return Moments(log_mean, variance, cost.response_bytes)


def _is_plausible(told: ExpectedCost) -> bool:
    """Return whether an estimate of another instance can be used."""
    return (
        WORK_MIN_S <= told.work_s <= WORK_MAX_S
        and 0.0 <= told.spread_s <= _SPREAD_RATIO_MAX * told.work_s
        and 0.0 <= told.response_bytes <= _RESPONSE_BYTES_MAX
        and 0.0 < told.certainty <= 1.0
    )
