"""Control work of whole engines on the virtual clock, over sizes and events."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from wagtailrill.core.events import DrainRequested
from wagtailrill.engine.draining import DrainState
from wagtailrill.stand_ins.capacity_cell import DEPLOYMENT, CapacityFleet, CellSize
from wagtailrill.stand_ins.capacity_fit import Point, Series, TargetSize

TARGET: Final = TargetSize()
READ_KINDS: Final = ("Read", "Watch")
LOAD_WARM_UP_S: Final = 3.0
LOADED_RATE_PER_S: Final = 20.0
# Spans a planned stop: 5 s for the load balancer's lag, the drain and the return.
EVENT_WINDOW_S: Final = 25.0
RESTART_DELAY_S: Final = 2.0
DRAIN_POLL_S: Final = 0.25
IN_FORCE_POLL_S: Final = 0.005
CHANGES: Final = 10
EVENT_MEMBERS: Final = (TARGET.cell_members_max,)
# The cost per further request is the slope of the cost over these rates.
RATES_PER_S: Final = (5.0, 20.0, 50.0, 100.0)


@attrs.frozen
class Sample:
    """Control work of one run; bytes are frames between instances."""

    member_sent_bytes_per_s: float
    member_both_ways_bytes_per_s: float
    coordinator_sent_bytes_per_s: float
    coordinator_both_ways_bytes_per_s: float
    member_messages_per_s: float
    member_steps_per_s: float
    member_core: float
    coordinator_core: float
    grant_calls_per_s: float
    store_reads_per_s: float
    store_writes_per_s: float
    request_us: float
    control_us_per_request: float
    bytes_per_request: float
    messages_per_request: float
    answered_share: float


UNITS: Final = {
    "member_sent_bytes_per_s": "B/s",
    "member_both_ways_bytes_per_s": "B/s",
    "coordinator_sent_bytes_per_s": "B/s",
    "coordinator_both_ways_bytes_per_s": "B/s",
    "member_messages_per_s": "1/s",
    "member_steps_per_s": "1/s",
    "member_core": "core",
    "coordinator_core": "core",
    "grant_calls_per_s": "1/s per cell",
    "store_reads_per_s": "1/s",
    "store_writes_per_s": "1/s",
    "request_us": "us",
    "control_us_per_request": "us",
    "bytes_per_request": "B",
    "messages_per_request": "1",
    "answered_share": "1",
}
TRAFFIC: Final = tuple(UNITS)[:8]
STORE: Final = ("store_reads_per_s", "store_writes_per_s")
PER_REQUEST: Final = tuple(UNITS)[11:]


@attrs.frozen
class Sweep:
    """Sizes of one series of runs and the figures that it is about."""

    name: str
    size_name: str
    sizes: dict[float, CellSize]
    target_size: float
    fields: tuple[str, ...]


SWEEPS: Final = (
    Sweep(
        "idle",
        "members",
        {n: CellSize(n) for n in (3, 6, 12, 24)},
        TARGET.cell_members_max,
        (*TRAFFIC, *STORE),
    ),
    Sweep(
        "loaded",
        "members",
        {n: CellSize(n, rate_per_s=LOADED_RATE_PER_S) for n in (3, 6, 12, 24)},
        TARGET.cell_members_max,
        (*TRAFFIC, *STORE, *PER_REQUEST),
    ),
    Sweep(
        "idle",
        "backend_servers",
        {n: CellSize(backend_servers=n) for n in (13, 50, 200)},
        200,
        (*TRAFFIC, "grant_calls_per_s"),
    ),
    Sweep(
        "idle",
        "organisations",
        {n: CellSize(organisations=n) for n in (8, 100, 1000)},
        1000,
        TRAFFIC,
    ),
    Sweep(
        "loaded",
        "organisations",
        {
            n: CellSize(organisations=n, rate_per_s=LOADED_RATE_PER_S)
            for n in (8, 100, 1000)
        },
        1000,
        (*TRAFFIC, *PER_REQUEST),
    ),
    Sweep(
        "loaded",
        "requests_per_s",
        {rate: CellSize(rate_per_s=rate) for rate in RATES_PER_S},
        RATES_PER_S[-1],
        (*TRAFFIC, *PER_REQUEST),
    ),
    Sweep(
        "idle",
        "cells",
        {n: CellSize(3, cells=n, backend_servers=0) for n in (1, 4, 16, 64)},
        TARGET.cells,
        STORE,
    ),
)


def sample(seed: int, size: CellSize, seconds: float) -> Sample:
    """Run a fleet of a size for some seconds of virtual time."""
    capacity = CapacityFleet(seed, size)
    capacity.settle()
    if size.rate_per_s:
        capacity.start_load()
        capacity.run_for(LOAD_WARM_UP_S)
    capacity.meter.running = True
    capacity.fleet.store.calls.clear()
    requests = len(capacity.callers.deliveries)
    capacity.run_for(seconds)
    requests = len(capacity.callers.deliveries) - requests
    return _sample(capacity, seconds, requests)


def _sample(capacity: CapacityFleet, seconds: float, requests: int) -> Sample:
    meter, names = capacity.meter, list(capacity.fleet.nodes)
    leading = capacity.coordinators()
    others = [name for name in names if name not in leading]
    reads, writes = store_calls(capacity)

    def rate(counter: Counter[str], of: Iterable[str]) -> float:
        of = list(of)
        return sum(counter[name] for name in of) / seconds / max(len(of), 1)

    def per_request(counter: Counter[str]) -> float:
        return sum(counter.values()) / requests if requests else 0.0

    both = meter.sent_bytes + meter.received_bytes
    return Sample(
        member_sent_bytes_per_s=rate(meter.sent_bytes, others),
        member_both_ways_bytes_per_s=rate(both, others),
        coordinator_sent_bytes_per_s=rate(meter.sent_bytes, leading),
        coordinator_both_ways_bytes_per_s=rate(both, leading),
        member_messages_per_s=rate(meter.messages, others),
        member_steps_per_s=rate(meter.steps, others),
        member_core=rate(meter.control_cpu_s, others),
        coordinator_core=rate(meter.control_cpu_s, leading),
        grant_calls_per_s=sum(meter.backend_calls.values()) / seconds,
        store_reads_per_s=reads / seconds,
        store_writes_per_s=writes / seconds,
        request_us=1e6 * per_request(meter.request_cpu_s),
        control_us_per_request=1e6 * per_request(meter.control_cpu_s),
        bytes_per_request=per_request(meter.sent_bytes),
        messages_per_request=per_request(meter.messages),
        answered_share=_answered_share(capacity),
    )


def _answered_share(capacity: CapacityFleet) -> float:
    ended = [d for d in capacity.callers.deliveries if d.code]
    return sum(d.answered for d in ended) / len(ended) if ended else 0.0


def store_calls(capacity: CapacityFleet) -> tuple[int, int]:
    """Return reads and watches, and writes and lease calls."""
    calls = capacity.fleet.store.calls
    reads = sum(calls.get(kind, 0) for kind in READ_KINDS)
    return reads, sum(calls.values()) - reads


def cell_series(seed: int, seconds: float) -> list[Series]:
    """Measure every sweep with one seed."""
    series = []
    for sweep in SWEEPS:
        samples = {n: sample(seed, size, seconds) for n, size in sweep.sizes.items()}
        series += [
            Series(
                f"{sweep.name}: {field}",
                UNITS[field],
                sweep.size_name,
                tuple(Point(n, getattr(s, field)) for n, s in samples.items()),
                sweep.target_size,
            )
            for field in sweep.fields
        ]
    return series


@attrs.frozen
class EventCost:
    """What one event in a cell adds to an idle run of the same seed."""

    event: str
    members: int
    store_reads: float
    store_writes: float
    cell_bytes: float
    busiest_bytes: float


def _replace(capacity: CapacityFleet, name: str) -> None:
    capacity.kill(name)
    capacity.fleet.call_later(RESTART_DELAY_S, lambda: capacity.start_instance(name))


def _other(capacity: CapacityFleet) -> str:
    leading = capacity.coordinators()
    return next(name for name in capacity.fleet.nodes if name not in leading)


def _drain(capacity: CapacityFleet) -> None:
    name = _other(capacity)
    capacity.fleet.deliver(name, DrainRequested(), 0.0)

    def check() -> None:
        if capacity.engine(name).drain.state is DrainState.STOPPED:
            _replace(capacity, name)
        else:
            capacity.fleet.call_later(DRAIN_POLL_S, check)

    capacity.fleet.call_later(DRAIN_POLL_S, check)


def _lose_third(capacity: CapacityFleet) -> None:
    leading = capacity.coordinators()
    names = [name for name in capacity.fleet.nodes if name not in leading]
    for name in names[: len(capacity.fleet.nodes) // 3]:
        capacity.kill(name)


EVENTS: Final[dict[str, Callable[[CapacityFleet], None]]] = {
    "backend server lost": lambda c: c.backends.crash("ledger-0", 60.0),
    "configuration change": lambda c: c.change_rates(),
    "member lost, replaced": lambda c: _replace(c, _other(c)),
    "member drained, replaced": _drain,
    "coordinator lost, replaced": lambda c: _replace(c, c.coordinators()[0]),
    "a third of the members lost": _lose_third,
}


def _event_run(
    seed: int, members: int, event: Callable[[CapacityFleet], None] | None
) -> CapacityFleet:
    capacity = CapacityFleet(seed, CellSize(members))
    capacity.settle()
    capacity.meter.running = True
    capacity.fleet.store.calls.clear()
    if event is not None:
        event(capacity)
    capacity.run_for(EVENT_WINDOW_S)
    return capacity


def event_costs(seed: int, members: int) -> list[EventCost]:
    """Measure what each event adds to an idle cell."""
    idle = _event_run(seed, members, None)
    costs = []
    for name, event in EVENTS.items():
        run = _event_run(seed, members, event)
        reads, writes = store_calls(run)
        idle_reads, idle_writes = store_calls(idle)
        sent, idle_sent = run.meter.sent_bytes, idle.meter.sent_bytes
        costs.append(
            EventCost(
                name,
                members,
                reads - idle_reads,
                writes - idle_writes,
                sum(sent.values()) - sum(idle_sent.values()),
                max(sent[n] - idle_sent[n] for n in idle_sent),
            )
        )
    return costs


def configuration_in_force_s(seed: int) -> float:
    """Return the longest time until a change is in force at 12 members, of ten."""
    capacity = CapacityFleet(seed, CellSize())
    capacity.settle()
    return max(_change_in_force_s(capacity) for _ in range(CHANGES))


def _change_in_force_s(capacity: CapacityFleet) -> float:
    capacity.run_for(capacity.fleet.rng.uniform(1.0, 3.0))
    capacity.change_rates()
    started_s = capacity.fleet.now_s
    wanted = capacity.fleet.store.model.revision_of(f"{DEPLOYMENT}/config")
    names = list(capacity.fleet.nodes)
    while any(capacity.engine(n).configuration.version < wanted for n in names):
        capacity.run_for(IN_FORCE_POLL_S)
    return capacity.fleet.now_s - started_s
