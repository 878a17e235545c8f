"""Division of a route's requests between services by weight."""

import attrs

from ..declaration.models import Route


@attrs.define
class SplitTable:
    """Smooth weighted round robin: each part stays close to its share at any time."""

    _credits: dict[tuple[str, str, str], dict[str, float]] = attrs.field(factory=dict)

    def pick(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        name = (route.host, route.method, route.path)
        former = self._credits.get(name, {})
        total = sum(part.weight for part in route.split)
        credits = {
            part.service: former.get(part.service, 0.0) + part.weight
            for part in route.split
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        self._credits[name] = credits
        return chosen
