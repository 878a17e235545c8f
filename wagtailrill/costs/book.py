"""The cost estimators of one instance, by service."""

from ..core.context import Context
from .estimator import CostEstimator


class CostBook:
    """One estimator for each service.

    Server choice, placement and the dispatcher of a service use the same one, so that a
    new dispatcher begins with what its instance was told.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._estimators: dict[str, CostEstimator] = {}

    def get_estimator(self, service: str) -> CostEstimator:
        """Return the estimator of a service, which is made on first use."""
        estimator = self._estimators.get(service)
        if estimator is None:
            estimator = self._estimators[service] = CostEstimator(self._ctx)
        return estimator

    def keep_services(self, services: frozenset[str]) -> None:
        """Forget the services that are not among those given."""
        for name in self._estimators.keys() - services:
            del self._estimators[name]

    def get_error_ratio(self) -> float:
        """Return the largest error ratio of an estimator, 1.0 without observations."""
        errors = (e.get_error_ratio() for e in self._estimators.values())
        return max(errors, default=1.0)

    def count_cells(self) -> int:
        """Return the number of cells of all estimators."""
        return sum(e.count_cells() for e in self._estimators.values())
