"""Splits a route's requests between services by weight; used on arrival."""

import attrs

from ..declaration.models import Route


@attrs.define
class SplitTable:
    """Smooth weighted round robin: each service stays close to its share at any time.

    `_credits` holds, for each route, the current weight of each of its services.
    """

    _credits: dict[tuple[str, str, str], dict[str, float]] = attrs.field(factory=dict)

    def pick_service(self, route: Route) -> str:
        """Return the name of the service that the next request of a route goes to."""
        route_key = (route.host, route.method, route.path)
        previous = self._credits.get(route_key, {})
        total = sum(part.weight for part in route.split)
        credits = {
            part.service: previous.get(part.service, 0.0) + part.weight
            for part in route.split
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        self._credits[route_key] = credits
        return chosen
