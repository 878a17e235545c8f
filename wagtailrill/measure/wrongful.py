"""Measure 5: requests refused although within rate, with callers spread unevenly."""

import collections

from . import const
from .arithmetic import ratio
from .fleet import MeasuredFleet
from .models import (
    Example,
    FleetSettings,
    Flow,
    Measured,
    RouterKind,
    SafetyCounts,
    Sent,
    TrafficSettings,
)
from .traffic import Traffic, organisation_shares, safety_counts

NAME = "wrongful"
LOAD = 0.9
SERVICE_TIME_S = 0.005
DURATION_S = 40.0
FLIP_INTERVAL_S = 10.0
PROPORTIONS = (60.0, 20.0, 10.0, 10.0, *(1.0,) * 8)


def flipping_spread(now_s: float) -> tuple[float, ...]:
    """Return the uneven weights of the instances, reversed every 10 s."""
    odd = int(now_s / FLIP_INTERVAL_S) % 2
    return PROPORTIONS[::-1] if odd else PROPORTIONS


def measure(example: Example, router: RouterKind, seeds: list[int]) -> Measured:
    """Return the share of requests refused for their rate."""
    sent: list[Sent] = []
    counts = SafetyCounts()
    declaration = example.declaration
    routes = [
        (s, r) for s in declaration.services for r in s.routes if not r.deferrable
    ]
    total_per_s = LOAD * sum(o.rate_per_s for o in declaration.organisations)
    flows = tuple(Flow(s, r, total_per_s / len(routes)) for s, r in routes)
    for seed in seeds:
        cfg = FleetSettings(example, router, declaration, seed, SERVICE_TIME_S)
        fleet = MeasuredFleet(cfg)
        start_s = fleet.fleet.now_s
        traffic_cfg = TrafficSettings(
            flows=flows,
            organisations=organisation_shares(declaration),
            start_s=start_s,
            end_s=start_s + DURATION_S,
            spread=flipping_spread,
        )
        traffic = Traffic(fleet, traffic_cfg, seed)
        fleet.run_for(DURATION_S + const.SETTLE_S)
        sent += traffic.sent
        counts += safety_counts(fleet)
    total = collections.Counter(s.delivery.organisation for s in sent)
    refused = collections.Counter(
        s.delivery.organisation for s in sent if s.delivery.code == "rate_limited"
    )
    other = sum(not s.delivery.answered for s in sent) - refused.total()
    figures = {
        "requests": float(len(sent)),
        "refused": ratio(refused.total(), len(sent)),
        "refused_worst": max(ratio(refused[n], total[n]) for n in total),
        "failed_otherwise": ratio(other, len(sent)),
    }
    return Measured(NAME, example.name, router, figures, counts)
