"""Fair order between organisations."""

from collections.abc import Iterable, Mapping

import attrs

from ..declaration.models import Configuration


@attrs.define
class FairOrder:
    """Weighted fair order: each service adds 1/weight to an organisation's tag."""

    tags: dict[str, float] = attrs.field(factory=dict)
    floor: float = 0.0

    def first(self, organisations: Iterable[str]) -> list[str]:
        """Return the organisations in the order in which to serve them."""
        return sorted(set(organisations), key=lambda o: (self._tag(o), o))

    def served(self, organisation: str, weights: Mapping[str, float]) -> None:
        """Charge an organisation for one service."""
        tag = self._tag(organisation)
        self.floor = tag
        self.tags[organisation] = tag + 1.0 / weights.get(organisation, 1.0)
        if len(self.tags) > 2 * len(weights) + 16:
            self.tags = {o: t for o, t in self.tags.items() if t > self.floor}

    def _tag(self, organisation: str) -> float:
        return max(self.tags.get(organisation, 0.0), self.floor)


def weights_of(configuration: Configuration) -> dict[str, float]:
    """Return the weight of each organisation."""
    return {o.name: o.weight for o in configuration.declaration.organisations}
