"""Measure 4: the worst-served organisation beside one at ten times its rate."""

import collections
import math

import attrs

from . import const
from .arithmetic import MS_PER_S, quantile, ratio
from .fleet import MeasuredFleet, scale_rates
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
from .traffic import (
    Traffic,
    answered_latencies_s,
    capacity_per_s,
    even_spread,
    flows_at_load,
    organisation_shares,
    safety_counts,
    success_share,
)

NAME = "noisy"
# The organisations' rates add up to this share of the capacity.
RATE_LOAD = 0.85
# Each organisation normally sends this share of its rate.
USUAL = 0.8
NOISE_FACTOR = 10.0
WARM_UP_S = 2.0
COUNTED_S = 6.0


def measure(example: Example, router: RouterKind, seeds: list[int]) -> Measured:
    """Return the worst success and the worst p99 of the other organisations."""
    noisy = max(example.declaration.organisations, key=lambda o: o.rate_per_s).name
    alone, counts_alone = _run(example, router, seeds, "")
    beside, counts = _run(example, router, seeds, noisy)
    names = [o.name for o in example.declaration.organisations if o.name != noisy]
    p99 = {n: _p99_ms(beside[n]) for n in names}
    ratios = {n: ratio(p99[n], _p99_ms(alone[n])) for n in names}
    worst = max(names, key=lambda n: ratios[n])
    others = [s for n in names for s in beside[n]]
    figures = {
        "worst_success": min(success_share(beside[n]) for n in names),
        "worst_success_alone": min(success_share(alone[n]) for n in names),
        "worst_p99_ms": p99[worst],
        "worst_p99_ratio": ratios[worst],
        "worst_requests": float(len(beside[worst])),
        "others_p99_ratio": ratio(
            _p99_ms(others), _p99_ms([s for n in names for s in alone[n]])
        ),
        "noisy_answered": success_share(beside[noisy]),
    }
    return Measured(NAME, example.name, router, figures, counts + counts_alone)


def _p99_ms(sent: list[Sent]) -> float:
    return MS_PER_S * quantile(answered_latencies_s(sent), 0.99)


def _run(
    example: Example, router: RouterKind, seeds: list[int], noisy: str
) -> tuple[dict[str, list[Sent]], SafetyCounts]:
    by_organisation: dict[str, list[Sent]] = collections.defaultdict(list)
    counts = SafetyCounts()
    services = example.declaration.services
    servers = {s.name: len(s.backend_servers) for s in services}
    rate_per_s = RATE_LOAD * math.fsum(
        capacity_per_s(s, servers[s.name], const.SERVICE_TIME_S) for s in services
    )
    load = RATE_LOAD * USUAL
    flows = flows_at_load(example.declaration, servers, load, const.SERVICE_TIME_S)
    declaration = scale_rates(example.declaration, rate_per_s)
    for seed in seeds:
        fleet = MeasuredFleet(FleetSettings(example, router, declaration, seed))
        start_s = fleet.fleet.now_s
        cfg = TrafficSettings(
            flows=flows,
            organisations=organisation_shares(declaration),
            start_s=start_s,
            end_s=start_s + WARM_UP_S + COUNTED_S,
            spread=even_spread,
        )
        traffics = [Traffic(fleet, cfg, seed)]
        if noisy:
            traffics.append(Traffic(fleet, _noise(cfg, noisy), seed + 1))
        fleet.run_for(WARM_UP_S + COUNTED_S + const.SETTLE_S)
        for sent in (s for t in traffics for s in t.sent):
            if sent.at_s >= start_s + WARM_UP_S:
                by_organisation[sent.delivery.organisation].append(sent)
        counts += safety_counts(fleet)
    return by_organisation, counts


def _noise(cfg: TrafficSettings, noisy: str) -> TrafficSettings:
    """Return the requests that bring an organisation to ten times its rate."""
    share = cfg.organisations[noisy] / sum(cfg.organisations.values())
    factor = share * (NOISE_FACTOR - USUAL) / USUAL
    flows = tuple(Flow(f.service, f.route, f.rate_per_s * factor) for f in cfg.flows)
    return attrs.evolve(
        cfg,
        flows=flows,
        organisations={noisy: 1.0},
        start_s=cfg.start_s + WARM_UP_S,
    )
