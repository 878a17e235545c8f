"""Settings, planned requests and results of a load test."""

import attrs

from ..declaration.models import Route, Service


@attrs.frozen
class LoadSettings:
    """A load test with `rate_per_s` requests per second over `duration_s` seconds.

    `targets` are the caller addresses of instances; `target_weights` are the weights
    by which requests are spread over them, all equal if empty. `tenant_keys` maps
    organisations to clear keys. `organisation_shares` are their relative shares of the
    rate, 1.0 if absent. `services` limits the run to some services; empty means all.
    """

    targets: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    seed: int
    tenant_keys: dict[str, str] = attrs.field(repr=False)
    target_weights: tuple[float, ...] = ()
    organisation_shares: dict[str, float] = attrs.field(factory=dict)
    key_count: int = 10_000
    timeout_s: float = 5.0
    services: frozenset[str] = frozenset()


@attrs.frozen
class PlannedRequest:
    """A planned request that is sent `at_s` seconds after the start of the run."""

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
    """Outcome of a request; `status` is 0 if there was no answer.

    `latency_s` counts from the planned arrival, so that it includes delays of the load
    tool itself. `ran` tells whether a backend server ran the request, as far as the
    answer says. `crossed` says that the answer belongs to another request or is not
    JSON.
    """

    service: str
    organisation: str
    status: int
    code: str
    ran: str
    latency_s: float
    crossed: bool = False
