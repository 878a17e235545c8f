"""Cells of whole engines on the virtual clock whose control work is measured."""

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from ..core.commands import CallBackend, Command, SendPeer
from ..core.context import Identity
from ..core.events import AttemptEnded, Event, InstancesListed, RequestArrived
from ..core.invariants import Invariants
from ..declaration.models import (
    BackendServerEntry,
    DataCentre,
    Declaration,
    Organisation,
    Route,
    Service,
    SlowStart,
)
from ..declaration.text import to_json
from ..engine.engine import Engine, EngineSettings
from ..engine.registry import make_registry
from ..load_tool.plan import uuid7
from ..organisations.keys import issue_key
from ..peer.const import FRAME_LENGTH_BYTES
from ..peer.frame import FrameCodec
from ..platform.models import InstanceEntry, Write
from .backend_model import BackendModelSettings
from .virtual_backends import VirtualBackends
from .virtual_callers import VirtualCallers
from .virtual_fleet import WALL_EPOCH_S, VirtualFleet

DEPLOYMENT: Final = "capacity"
DATA_CENTRES: Final = ("dc-1", "dc-2", "dc-3")
KEYS: Final = 10_000
SETTLE_S: Final = 12.0
FIRST_PORTS: Final = {"ledger": 20_000, "lookup": 21_000, "release": 22_000}
UNKEYED_SERVERS: Final = {"lookup": 12, "release": 8}
# Rate and burst per organisation leave room for an uneven spread of the load.
RATE_HEADROOM: Final = 2.0
BURST_MIN: Final = 20.0
REQUEST_EVENTS: Final = (RequestArrived, AttemptEnded)


@attrs.frozen
class CellSize:
    """Sizes of a measured fleet; the rate is in requests/s and instance.

    `backend_servers` counts those of the keyed service, which is left out at 0.
    """

    members: int = 12
    cells: int = 1
    organisations: int = 8
    backend_servers: int = 13
    rate_per_s: float = 0.0


@attrs.define
class Meter:
    """Frames and processor time by instance, counted while `running`."""

    codec: FrameCodec
    running: bool = False
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    received_bytes: Counter[str] = attrs.field(factory=Counter)
    messages: Counter[str] = attrs.field(factory=Counter)
    type_bytes: Counter[str] = attrs.field(factory=Counter)
    backend_calls: Counter[str] = attrs.field(factory=Counter)
    steps: Counter[str] = attrs.field(factory=Counter)
    control_cpu_s: Counter[str] = attrs.field(factory=Counter)
    request_cpu_s: Counter[str] = attrs.field(factory=Counter)

    def frame(self, command: Command) -> int:
        """Encode and decode a frame as both ends do; return its length in bytes."""
        assert isinstance(command, SendPeer)
        if not self.running:
            return 0
        envelope = command.envelope
        start_s = time.perf_counter()
        frame = self.codec.encode(envelope)
        encoded_s = time.perf_counter()
        self.codec.decode(frame)
        decoded_s = time.perf_counter()
        size = len(frame) + FRAME_LENGTH_BYTES
        self.sent_bytes[envelope.sender] += size
        self.received_bytes[envelope.receiver] += size
        self.messages[envelope.sender] += 1
        self.type_bytes[type(envelope.message).__name__] += size
        # The counters hold seconds, which Counter[str] declares as int.
        _add(self.control_cpu_s, envelope.sender, encoded_s - start_s)
        _add(self.control_cpu_s, envelope.receiver, decoded_s - encoded_s)
        return size

    def step(self, name: str, event: Event | None, spent_s: float) -> None:
        """Count the processor time of a step in seconds."""
        if self.running:
            self.steps[name] += 1
            is_request = isinstance(event, REQUEST_EVENTS)
            counter = self.request_cpu_s if is_request else self.control_cpu_s
            _add(counter, name, spent_s)


def _add(counter: Counter[str], name: str, value: float) -> None:
    counter[name] += value  # type: ignore[assignment]


class MeteredEngine(Engine):
    """An engine whose steps are timed."""

    def __init__(self, cfg: EngineSettings, rng: random.Random, meter: Meter) -> None:
        super().__init__(cfg, rng, Invariants())
        self._meter = meter

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event, time it and count its control calls."""
        start_s = time.perf_counter()
        commands = super().step(event, now_s, wall_s)
        self._meter.step(
            self.cfg.identity.instance, event, time.perf_counter() - start_s
        )
        if self._meter.running:
            for command in commands:
                if isinstance(command, CallBackend):
                    self._meter.backend_calls[type(command.operation).__name__] += 1
        return commands


class CapacityFleet:
    """Cells that share one store, with backend servers and callers."""

    def __init__(self, seed: int, size: CellSize) -> None:
        self.size = size
        self.meter = Meter(FrameCodec(make_registry(), (b"measurement",)))
        rng = random.Random(seed + 3)
        issued = {f"o-{n}": issue_key(rng.randbytes) for n in range(size.organisations)}
        self.tenant_keys = {name: key for name, (key, _) in issued.items()}
        hashes = {name: stored for name, (_, stored) in issued.items()}
        total_per_s = max(size.rate_per_s * size.members * size.cells, 100.0)
        rate_per_s = RATE_HEADROOM * total_per_s / size.organisations
        self.declaration = Declaration(
            DEPLOYMENT,
            tuple(DataCentre(name) for name in DATA_CENTRES),
            _services(size.backend_servers),
            tuple(
                Organisation(
                    name,
                    rate_per_s,
                    max(2.0 * rate_per_s, BURST_MIN),
                    tenant_keys=(hashes[name],),
                )
                for name in hashes
            ),
        )
        self.cell_of = {
            f"i-{cell}-{n}": f"cell-{cell}"
            for cell in range(size.cells)
            for n in range(size.members)
        }
        self.fleet = VirtualFleet(self._make_engine, seed)
        self.fleet.bytes_of = self.meter.frame
        self.backends = VirtualBackends(self.fleet, self._backend_models(), seed + 2)
        self.callers = VirtualCallers(self.fleet, self.backends, self.tenant_keys)
        self.write_configuration()
        for name in self.cell_of:
            self.start_instance(name)

    def _backend_models(self) -> list[BackendModelSettings]:
        return [
            BackendModelSettings(b.name, b.slots, service.checks_grants)
            for service in self.declaration.services
            for b in service.backend_servers
        ]

    def _make_engine(self, name: str, incarnation: int, rng: random.Random) -> Engine:
        data_centre = DATA_CENTRES[sum(name.encode()) % len(DATA_CENTRES)]
        identity = Identity(name, incarnation, data_centre, self.cell_of[name])
        return MeteredEngine(EngineSettings(identity, DEPLOYMENT), rng, self.meter)

    def start_instance(self, name: str) -> None:
        """Start a process and show it the instances of its cell."""
        self.fleet.start(name)
        entries = tuple(
            InstanceEntry(other, f"{other}:1", DATA_CENTRES[0])
            for other, cell in self.cell_of.items()
            if cell == self.cell_of[name]
        )
        self.fleet.deliver(name, InstancesListed(entries), 0.0)

    def kill(self, name: str) -> None:
        """Lose a process."""
        row = self.fleet.nodes[name]
        self.fleet.kill(name)
        self.backends.lose_process(row)

    def write_configuration(self) -> None:
        """Accept the declaration in the store."""
        model = self.fleet.store.model
        key = f"{DEPLOYMENT}/config"
        text = to_json(self.declaration).encode()
        write = Write(key, text, model.revision_of(key))
        assert model.apply(write, self.fleet.now_s).is_ok()

    def change_rates(self) -> None:
        """Change the rate of one organisation by an operator's write."""
        first, *others = self.declaration.organisations
        first = attrs.evolve(first, rate_per_s=first.rate_per_s * 1.01)
        self.declaration = attrs.evolve(
            self.declaration, organisations=(first, *others)
        )
        self.write_configuration()

    def engine(self, name: str) -> Engine:
        """Return the engine of a running instance."""
        node = self.fleet.nodes[name].node
        assert isinstance(node, Engine)
        return node

    def coordinators(self) -> list[str]:
        """Return the coordinator of each cell."""
        return [n for n in self.fleet.nodes if self.engine(n).membership.coordinates()]

    def run_for(self, duration_s: float) -> None:
        """Advance the virtual clock."""
        self.fleet.run_until(self.fleet.now_s + duration_s)

    def settle(self) -> None:
        """Let the fleet come up; raise `RuntimeError` if an instance is not ready."""
        self.run_for(SETTLE_S)
        waiting = [n for n in self.fleet.nodes if not self.engine(n).ready()]
        if waiting:
            raise RuntimeError(f"not ready: {waiting}")

    def start_load(self) -> None:
        """Send requests to every instance as a Poisson process."""
        for name in self.cell_of:
            self._arrive(name, lambda: None)

    def _arrive(self, name: str, send: Callable[[], None]) -> None:
        send()
        rng = self.fleet.rng
        delay_s = rng.expovariate(self.size.rate_per_s)
        self.fleet.call_later(
            delay_s, lambda: self._arrive(name, lambda: self._send(name))
        )

    def _send(self, name: str) -> None:
        rng = self.fleet.rng
        organisation = f"o-{rng.randrange(self.size.organisations)}"
        choice = rng.random()
        if choice < 0.1:
            key = uuid7(WALL_EPOCH_S + self.fleet.now_s, rng)
            self.callers.send(name, "POST", "/release", organisation, key)
        elif choice < 0.4 or not self.size.backend_servers:
            self.callers.send(name, "POST", "/lookup", organisation)
        else:
            path = f"/ledger/k{rng.randrange(KEYS)}"
            self.callers.send(name, "GET", path, organisation)


def _services(keyed_servers: int) -> tuple[Service, ...]:
    unkeyed = (
        _service("release", Route("POST", "/release", False), False),
        _service("lookup", Route("POST", "/lookup", True), False),
    )
    if not keyed_servers:
        return unkeyed
    route = Route("GET", "/ledger/{key}", True)
    return (_service("ledger", route, True, keyed_servers), *unkeyed)


def _service(name: str, route: Route, keyed: bool, servers: int = 0) -> Service:
    count = servers or UNKEYED_SERVERS[name]
    entries = tuple(
        BackendServerEntry(
            name=f"{name}-{n}",
            address=f"127.0.0.1:{FIRST_PORTS[name] + n}",
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            slots=6,
            connections=120,
        )
        for n in range(count)
    )
    slow_start = SlowStart(6, 0.1)
    return Service(
        name, (route,), entries, keyed=keyed, checks_grants=keyed, slow_start=slow_start
    )
