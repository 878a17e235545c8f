"""Models of a load run."""

import attrs

from ..declaration.models import Route, Service


@attrs.frozen
class LoadSettings:
    """A run: `rate_per_s` requests per second over `duration_s` seconds.

    `targets` are the caller addresses of instances and `weights` how the balancer
    spreads callers over them. `organisation_rates` are shares of the rate.
    """

    targets: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    seed: int
    tenant_keys: dict[str, str] = attrs.field(repr=False)
    weights: tuple[float, ...] = ()
    organisation_shares: dict[str, float] = attrs.field(factory=dict)
    key_count: int = 10_000
    timeout_s: float = 5.0
    services: frozenset[str] = frozenset()


@attrs.frozen
class PlannedRequest:
    """A request of the plan; `at_s` counts from the start of the run."""

    at_s: float
    target: str
    service: Service
    route: Route
    organisation: str
    path: str
    body: bytes
    idempotency_key: str


@attrs.frozen
class LoadResult:
    """An answered or failed request.

    `latency_s` counts from the planned arrival, so that a delay of the load tool
    itself is not left out.
    """

    service: str
    organisation: str
    status: int
    code: str
    ran: str
    latency_s: float
    crossed: bool = False
