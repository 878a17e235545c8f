"""A small deployment of whole engines on the virtual clock."""

import secrets

from wagtailrill.core.context import Identity
from wagtailrill.core.events import InstancesListed
from wagtailrill.core.invariants import Invariants
from wagtailrill.declaration.models import (
    BackendServerEntry,
    DataCentre,
    Declaration,
    Organisation,
    Route,
    Service,
    SlowStart,
)
from wagtailrill.declaration.text import to_json
from wagtailrill.engine.engine import Engine, EngineSettings
from wagtailrill.load_tool.plan import uuid7
from wagtailrill.organisations.keys import issue_key
from wagtailrill.platform.models import InstanceEntry, Write
from wagtailrill.stand_ins.backend_model import BackendModelSettings
from wagtailrill.stand_ins.virtual_backends import VirtualBackends
from wagtailrill.stand_ins.virtual_callers import VirtualCallers
from wagtailrill.stand_ins.virtual_fleet import WALL_EPOCH_S, VirtualFleet

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ORGANISATIONS = ("large", "small")
TENANT_KEYS = {name: issue_key(secrets.token_bytes) for name in ORGANISATIONS}
FIRST_PORTS = {"ledger": 20000, "card": 20100, "release": 20200, "lookup": 20300}
SIZES = {"ledger": 3, "card": 2, "release": 3, "lookup": 3}


def route(method, path, idempotent=True, timeout_s=2.0):
    """Return a route."""
    return Route(method, path, idempotent, timeout_s=timeout_s)


def servers(name, slots=6):
    """Return the backend servers of a service."""
    return tuple(
        BackendServerEntry(
            name=f"{name}-{n}",
            address=f"127.0.0.1:{FIRST_PORTS[name] + n}",
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            slots=slots,
            connections=60,
        )
        for n in range(SIZES[name])
    )


def make_declaration(rate_per_s=200.0, burst=200.0):
    """Return the declaration of the deployment."""
    slow_start = SlowStart(1, 2.0)
    services = (
        Service(
            "ledger",
            (route("GET", "/ledger/{key}"),),
            servers("ledger"),
            keyed=True,
            checks_grants=True,
            slow_start=slow_start,
        ),
        Service(
            "card",
            (route("GET", "/card/{key}"),),
            servers("card"),
            keyed=True,
            slow_start=slow_start,
        ),
        Service(
            "release",
            (route("POST", "/release", idempotent=False),),
            servers("release"),
            slow_start=slow_start,
        ),
        Service(
            "lookup",
            (
                route("POST", "/lookup"),
                Route("GET", "/summary", True, deferrable=True, timeout_s=60.0),
            ),
            servers("lookup"),
            slow_start=slow_start,
        ),
    )
    return Declaration(
        "test",
        tuple(DataCentre(name) for name in DATA_CENTRES),
        services,
        tuple(
            Organisation(name, rate_per_s, burst, tenant_keys=(TENANT_KEYS[name][1],))
            for name in ORGANISATIONS
        ),
    )


class Deployment:
    """Instances, backend servers and callers."""

    def __init__(self, seed, instance_count=5, declaration=None):
        self.names = [f"i-{n}" for n in range(instance_count)]
        self.declaration = declaration or make_declaration()
        self.fleet = VirtualFleet(self.make_engine, seed)
        self.rng = self.fleet.rng
        settings = [
            BackendModelSettings(b.name, b.slots, service.checks_grants)
            for service in self.declaration.services
            for b in service.backend_servers
        ]
        self.backends = VirtualBackends(self.fleet, settings, seed + 2)
        keys = {name: key for name, (key, _) in TENANT_KEYS.items()}
        self.callers = VirtualCallers(self.fleet, self.backends, keys)
        self.write_configuration(self.declaration)
        for name in self.names:
            self.start_instance(name)

    def make_engine(self, name, incarnation, rng):
        """Return an engine for a new process."""
        index = self.names.index(name)
        identity = Identity(name, incarnation, DATA_CENTRES[index % 3])
        return Engine(EngineSettings(identity, "test"), rng, Invariants())

    def start_instance(self, name):
        """Start a process and show it the platform's instance list."""
        self.fleet.start(name, rate=1.0 + self.rng.uniform(-0.004, 0.004))
        entries = tuple(InstanceEntry(n, f"{n}:1", "dc-1") for n in self.names)
        self.fleet.deliver(name, InstancesListed(entries), 0.0)

    def write_configuration(self, declaration):
        """Accept a declaration in the store."""
        model = self.fleet.store.model
        revision = model.revision_of("test/config")
        write = Write("test/config", to_json(declaration).encode(), revision)
        assert model.apply(write, self.fleet.now_s).is_ok()

    def engine(self, name):
        """Return the engine of a running instance."""
        return self.fleet.nodes[name].node

    def start(self, settle_s=6.0):
        """Let the fleet come up."""
        self.fleet.run_until(settle_s)
        assert all(self.engine(name).ready() for name in self.names)

    def idempotency_key(self):
        """Return a fresh idempotency key."""
        return uuid7(WALL_EPOCH_S + self.fleet.now_s, self.rng)

    def kill(self, name):
        """Lose an instance."""
        row = self.fleet.nodes.get(name)
        if row is not None:
            self.fleet.kill(name)
            self.backends.lose_process(row)

    def run_for(self, duration_s):
        """Advance the virtual clock."""
        self.fleet.run_until(self.fleet.now_s + duration_s)
