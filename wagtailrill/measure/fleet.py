"""A whole deployment on the virtual clock, of engines or of plain routers."""

import json
import random
from pathlib import Path

import attrs

from ..core.context import Identity
from ..core.events import InstancesListed
from ..core.invariants import Invariants
from ..declaration.const import KEY_SLOT_COUNT
from ..declaration.models import (
    Configuration,
    DataCentre,
    DataCentreState,
    Declaration,
    Organisation,
    Service,
)
from ..declaration.parse import parse
from ..declaration.text import to_json
from ..engine.engine import Engine, EngineSettings
from ..ownership.view import TableView
from ..platform.models import InstanceEntry, Write
from ..stand_ins.backend_model import BackendModelSettings
from ..stand_ins.plain_router import PlainRouter, PlainSettings
from ..stand_ins.virtual_backends import VirtualBackends
from ..stand_ins.virtual_callers import VirtualCallers
from ..stand_ins.virtual_fleet import Node, VirtualFleet
from . import const
from .models import Example, FleetSettings, RouterKind


def load_example(root: Path, name: str) -> Example:
    """Read an example deployment."""
    folder = root / "examples" / name
    keys = json.loads((folder / "tenant-keys.json").read_bytes())["tenant_keys"]
    declaration = parse((folder / "services.json").read_bytes()).ok
    return Example(name, declaration, keys, const.LATENCY_S_BY_DEPLOYMENT[name])


def scale_rates(declaration: Declaration, total_per_s: float) -> Declaration:
    """Return a declaration whose organisations' rates add up to a total."""
    factor = total_per_s / sum(o.rate_per_s for o in declaration.organisations)

    def scaled(org: Organisation) -> Organisation:
        return attrs.evolve(
            org, rate_per_s=org.rate_per_s * factor, burst=org.burst * factor
        )

    organisations = tuple(map(scaled, declaration.organisations))
    return attrs.evolve(declaration, organisations=organisations)


def with_data_centre(
    declaration: Declaration, name: str, state: DataCentreState
) -> Declaration:
    """Return a declaration with a data centre in another state."""

    def changed(dc: DataCentre) -> DataCentre:
        return attrs.evolve(dc, state=state) if dc.name == name else dc

    data_centres = tuple(map(changed, declaration.data_centres))
    return attrs.evolve(declaration, data_centres=data_centres)


class MeasuredFleet:
    """Instances, backend servers and callers of one run."""

    def __init__(self, cfg: FleetSettings) -> None:
        self.cfg = cfg
        self.declaration = cfg.declaration
        self.names = [f"instance-{n:02}" for n in range(1, const.INSTANCE_COUNT + 1)]
        self.rng = random.Random(cfg.seed)
        latency_s = cfg.example.latency_s
        self.fleet = VirtualFleet(self._make_node, cfg.seed, latency_s)
        settings = [
            BackendModelSettings(
                b.name,
                b.slots,
                service.checks_grants,
                warm_step_s=service.slow_start.step_s,
                service_time_s=cfg.service_time_s,
                service_time_sigma=const.SERVICE_TIME_SIGMA,
            )
            for service in cfg.declaration.services
            for b in service.backend_servers
        ]
        self.backends = VirtualBackends(self.fleet, settings, cfg.seed + 2, latency_s)
        self.callers = VirtualCallers(
            self.fleet, self.backends, cfg.example.tenant_keys
        )
        self.configure(cfg.declaration)
        for name in self.names:
            self.start_instance(name)
        self.fleet.run_until(const.SETTLE_S)

    def start_instance(self, name: str) -> None:
        """Start a process and show it the platform's instance list."""
        rate = 1.0 + self.rng.uniform(-0.004, 0.004)
        self.fleet.start(name, rate)
        entries = tuple(InstanceEntry(n, f"{n}:1", self._place(n)) for n in self.names)
        self.fleet.deliver(name, InstancesListed(entries), 0.0)

    def lose_instance(self, name: str) -> None:
        """Lose a process with its connections."""
        row = self.fleet.nodes[name]
        self.fleet.kill(name)
        self.backends.lose_process(row)

    def configure(self, declaration: Declaration) -> None:
        """Accept a declaration as the operators do."""
        self.declaration = declaration
        model = self.fleet.store.model
        key = f"{declaration.deployment}/config"
        revision = model.revision_of(key)
        written = model.apply(
            Write(key, to_json(declaration).encode(), revision), self.fleet.now_s
        )
        if written.is_error():
            raise RuntimeError(f"the store refused the declaration: {written.error}")
        for row in self.fleet.nodes.values():
            if isinstance(row.node, PlainRouter):
                row.node.configure(Configuration(revision + 1, declaration))

    def run_for(self, duration_s: float) -> None:
        """Advance the virtual clock."""
        self.fleet.run_until(self.fleet.now_s + duration_s)

    def coordinator(self) -> str:
        """Return the coordinator, or the first instance where there is none."""
        for name, row in sorted(self.fleet.nodes.items()):
            if isinstance(row.node, Engine) and row.node.membership.coordinates():
                return name
        return min(self.fleet.nodes)

    def owner_of(self, service: Service, hashed: int) -> str:
        """Return the owner of a key hash in the latest table, "" while it moves."""
        node = self._latest()
        if isinstance(node, PlainRouter):
            return node.owner_of(service.name, hashed)
        assert isinstance(node, Engine)
        table = node.membership.table
        assert table is not None
        view = TableView.of(table, 0).services[service.name]
        return view.owner_of(hashed)[1].backend_server

    def owners(self, service: Service) -> list[str]:
        """Return the owners of all key slots in the latest table."""
        node = self._latest()
        if isinstance(node, PlainRouter):
            return [node.owner_of(service.name, n) for n in range(KEY_SLOT_COUNT)]
        assert isinstance(node, Engine)
        table = node.membership.table
        assert table is not None
        view = TableView.of(table, 0).services[service.name]
        return [owner.backend_server for owner in view.owners]

    def hot_owners(self, service: Service) -> dict[int, str]:
        """Return the owners of the hot keys by key hash."""
        node = self._latest()
        if not isinstance(node, Engine) or node.membership.table is None:
            return {}
        view = TableView.of(node.membership.table, 0).services[service.name]
        return {h: owner.backend_server for h, owner in view.hot.items()}

    def _latest(self) -> Node:
        nodes = [self.fleet.nodes[name].node for name in sorted(self.fleet.nodes)]
        return max(nodes, key=_table_version)

    def _place(self, name: str) -> str:
        data_centres = self.declaration.data_centres
        return data_centres[self.names.index(name) % len(data_centres)].name

    def _make_node(self, name: str, incarnation: int, rng: random.Random) -> Node:
        if self.cfg.router is RouterKind.PLAIN:
            return PlainRouter(PlainSettings(const.INSTANCE_COUNT), self.declaration)
        identity = Identity(name, incarnation, self._place(name))
        settings = EngineSettings(identity, self.declaration.deployment)
        return Engine(settings, rng, Invariants())


def _table_version(node: Node) -> int:
    return node.membership.table_version if isinstance(node, Engine) else 0
