"""Settings and records of the measures."""

import enum
from collections.abc import Callable

import attrs

from ..declaration.models import Declaration, Route, Service
from ..stand_ins.virtual_callers import Delivery
from . import const

Figures = dict[str, float]
InstanceWeights = Callable[[float], tuple[float, ...]]


class RouterKind(enum.StrEnum):
    """What routes the requests of a run."""

    ENGINE = "wagtailrill"
    PLAIN = "plain"


@attrs.frozen
class Example:
    """An example deployment; `latency_s` is one way between data centres."""

    name: str
    declaration: Declaration
    tenant_keys: dict[str, str]
    latency_s: float

    @property
    def keyed_service(self) -> Service:
        """Return the service whose keys have owners."""
        return next(s for s in self.declaration.services if s.keyed)


@attrs.frozen
class FleetSettings:
    """One fleet of a run; the service time is a median in seconds."""

    example: Example
    router: RouterKind
    declaration: Declaration
    seed: int
    service_time_s: float = const.SERVICE_TIME_S


@attrs.frozen
class Flow:
    """Requests of one route, with their rate per second."""

    service: Service
    route: Route
    rate_per_s: float


@attrs.frozen
class TrafficSettings:
    """Open-loop Poisson traffic from `start_s` to `end_s`.

    `organisations` are shares by name. Each of `hot_keys` takes `hot_key_share` of the
    keyed requests. `spread` returns the weights of the instances at a time. The rate
    rises linearly during the first `ramp_s`: a fleet without open connections opens
    them one at a time per backend server.
    """

    flows: tuple[Flow, ...]
    organisations: dict[str, float]
    start_s: float
    end_s: float
    spread: InstanceWeights
    hot_keys: int = 0
    hot_key_share: float = 0.0
    ramp_s: float = 0.0


@attrs.frozen
class Sent:
    """A planned request with its first delivery."""

    delivery: Delivery
    service: Service
    route: Route
    at_s: float
    key: str


@attrs.frozen
class SafetyCounts:
    """Counts that must be 0."""

    beyond_bearable: int = 0
    duplicates: int = 0
    false_not_run: int = 0
    crossed: int = 0

    def __add__(self, other: "SafetyCounts") -> "SafetyCounts":
        return SafetyCounts(
            self.beyond_bearable + other.beyond_bearable,
            self.duplicates + other.duplicates,
            self.false_not_run + other.false_not_run,
            self.crossed + other.crossed,
        )


@attrs.frozen
class Measured:
    """Figures of one measure, deployment and router."""

    measure: str
    deployment: str
    router: RouterKind
    figures: Figures
    counts: SafetyCounts
