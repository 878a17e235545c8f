"""Measure 2: service while operators take a data centre out and bring it back."""

from ..declaration.models import DataCentreState
from . import const
from .arithmetic import latency_figures
from .fleet import MeasuredFleet, scale_rates, with_data_centre
from .models import (
    Example,
    FleetSettings,
    Measured,
    RouterKind,
    SafetyCounts,
    Sent,
    TrafficSettings,
)
from .traffic import (
    Traffic,
    even_spread,
    flows_at_load,
    latencies_s,
    organisation_shares,
    safety_counts,
    success_share,
)

NAME = "data_centre"
# Load of the servers that remain. Of all servers it would be 105% of what remains of
# the railcard deployment, which no router can serve.
LOAD = 0.7
RATE_HEADROOM = 1.5
# Times after the warm-up: out by the operators, servers stopped, started, in again.
OUT_S = 2.0
STOP_S = 6.0
START_S = 8.0
IN_S = 9.0
END_S = 15.0


def measure(example: Example, router: RouterKind, seeds: list[int]) -> Measured:
    """Return success and latency over the whole change."""
    sent: list[Sent] = []
    counts, late = SafetyCounts(), 0
    for seed in seeds:
        fleet, traffic = _run(example, router, seed)
        warm_s = traffic.cfg.start_s + const.WARM_UP_S
        sent += [s for s in traffic.sent if s.at_s >= warm_s]
        counts += safety_counts(fleet)
        late += _late_orders(fleet, warm_s)
    figures = {
        "requests": float(len(sent)),
        "success": success_share(sent),
        **latency_figures(latencies_s(sent)),
        "orders_3s_after_out": float(late),
    }
    return Measured(NAME, example.name, router, figures, counts)


def _run(
    example: Example, router: RouterKind, seed: int
) -> tuple[MeasuredFleet, Traffic]:
    name = example.declaration.data_centres[-1].name
    remaining = {
        s.name: sum(b.data_centre != name for b in s.backend_servers)
        for s in example.declaration.services
    }
    flows = flows_at_load(example.declaration, remaining, LOAD, const.SERVICE_TIME_S)
    total_per_s = RATE_HEADROOM * sum(f.rate_per_s for f in flows)
    declaration = scale_rates(example.declaration, total_per_s)
    fleet = MeasuredFleet(FleetSettings(example, router, declaration, seed))
    start_s = fleet.fleet.now_s
    cfg = TrafficSettings(
        flows=flows,
        organisations=organisation_shares(declaration),
        start_s=start_s,
        end_s=start_s + const.WARM_UP_S + END_S,
        spread=even_spread,
        ramp_s=const.RAMP_S,
    )
    traffic = Traffic(fleet, cfg, seed)
    fleet.run_for(const.WARM_UP_S)
    out = with_data_centre(declaration, name, DataCentreState.OUT)

    def stop_servers() -> None:
        for server in _servers_in(fleet, name):
            fleet.backends.crash(server, START_S - STOP_S)

    fleet.fleet.call_later(OUT_S, lambda: fleet.configure(out))
    fleet.fleet.call_later(STOP_S, stop_servers)
    fleet.fleet.call_later(IN_S, lambda: fleet.configure(declaration))
    fleet.run_for(END_S + 2 * const.SETTLE_S)
    return fleet, traffic


def _servers_in(fleet: MeasuredFleet, data_centre: str) -> set[str]:
    return {
        b.name
        for s in fleet.declaration.services
        for b in s.backend_servers
        if b.data_centre == data_centre
    }


def _late_orders(fleet: MeasuredFleet, start_s: float) -> int:
    """Return how many orders ran in the data centre too long after it was out."""
    servers = _servers_in(fleet, fleet.declaration.data_centres[-1].name)
    since_s, until_s = start_s + OUT_S + const.OUT_LIMIT_S, start_s + IN_S
    return sum(
        since_s < x.at_s < until_s and x.backend_server in servers
        for x in fleet.backends.executions
    )
