"""Plan of a load test: arrivals, routes, organisations and keys from one seed."""

import random
from collections.abc import Iterator

from ..declaration.const import KEY_SEGMENT
from ..declaration.models import Declaration, Route, Service
from .models import LoadSettings, PlannedRequest

UUID_VERSION_BITS = 0x7000
UUID_VARIANT_BITS = 0x8000_0000_0000_0000
# Key popularity as in a city's traffic: a few keys get much of the load.
PARETO_SHAPE = 1.2


def uuid7(unix_s: float, rng: random.Random) -> str:
    """Return a UUIDv7 for a Unix time in seconds."""
    milliseconds = int(unix_s * 1000)
    high = milliseconds << 16 | UUID_VERSION_BITS | rng.getrandbits(12)
    low = UUID_VARIANT_BITS | rng.getrandbits(62)
    digits = f"{high:016x}{low:016x}"
    return "-".join(
        (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    )


def make_plan(
    cfg: LoadSettings, declaration: Declaration, start_unix_s: float
) -> Iterator[PlannedRequest]:
    """Yield the requests of a run in order of arrival, a Poisson process."""
    rng = random.Random(cfg.seed)
    routes = [
        (service, route)
        for service in declaration.services
        if not cfg.services or service.name in cfg.services
        for route in service.routes
    ]
    route_weights = [_get_route_weight(service, route) for service, route in routes]
    organisations = sorted(cfg.tenant_keys)
    organisation_shares = [
        cfg.organisation_shares.get(name, 1.0) for name in organisations
    ]
    targets = list(cfg.targets)
    target_weights = list(cfg.target_weights) or [1.0] * len(targets)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(cfg.rate_per_s)
        if at_s >= cfg.duration_s:
            return
        service, route = rng.choices(routes, route_weights)[0]
        key = f"k{int(rng.paretovariate(PARETO_SHAPE)) % cfg.key_count}"
        yield PlannedRequest(
            at_s=at_s,
            target=rng.choices(targets, target_weights)[0],
            service=service,
            route=route,
            organisation=rng.choices(organisations, organisation_shares)[0],
            path=route.path.replace(KEY_SEGMENT, key),
            body=b"" if route.method == "GET" else f'{{"n":{rng.random()}}}'.encode(),
            idempotency_key=(
                "" if route.idempotent else uuid7(start_unix_s + at_s, rng)
            ),
        )


def _get_route_weight(service: Service, route: Route) -> float:
    if route.deferrable:
        return 0.2
    return 4.0 if route.method == "GET" else 1.0
