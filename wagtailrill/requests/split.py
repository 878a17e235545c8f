"""Splits a route's requests between services by weight; used on arrival."""

import attrs

from ..declaration.models import Route


@attrs.define
class SplitTable:
    """Smooth weighted round robin: each service stays close to its share at any time.

    `_current_weights` holds, for each route, the current weight of each service.
    """

    _current_weights: dict[tuple[str, str, str], dict[str, float]] = attrs.field(
        factory=dict
    )

    def pick_service(self, route: Route) -> str:
        """Return the name of the service that the next request of a route goes to."""
        route_key = (route.host, route.method, route.path)
        previous = self._current_weights.get(route_key, {})
        total = sum(part.weight for part in route.split)
        weights = {
            part.service: previous.get(part.service, 0.0) + part.weight
            for part in route.split
        }
        chosen = max(weights, key=lambda service: weights[service])
        weights[chosen] -= total
        self._current_weights[route_key] = weights
        return chosen
