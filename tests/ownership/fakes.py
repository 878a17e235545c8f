"""A membership of one process whose lease, authority and table a test sets."""

import random

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants
from wagtailrill.declaration.models import (
    BackendServerEntry,
    BackendServerState,
    Configuration,
    DataCentre,
    Declaration,
    Service,
)
from wagtailrill.membership.table import CellTable
from wagtailrill.ownership.component import Ownership
from wagtailrill.ownership.models import OwnershipSettings
from wagtailrill.partitions.directory import Home, Member


def configuration(checking=4, other=0, leaving=(), version=1):
    """Return keyed services: `roll` checks grants, `desk` does not."""

    def service(name, count, checks_grants):
        entries = tuple(
            BackendServerEntry(
                f"{name}-{n}",
                "127.0.0.1:1",
                "dc",
                slots=6,
                connections=8,
                state=BackendServerState(
                    "leaving" if f"{name}-{n}" in leaving else "in"
                ),
            )
            for n in range(count)
        )
        return Service(name, (), entries, keyed=True, checks_grants=checks_grants)

    services = [service("roll", checking, True), service("desk", other, False)]
    services = tuple(s for s in services if s.backend_servers)
    return Configuration(version, Declaration("d", (DataCentre("dc"),), services, ()))


class FakeMembership:
    """Applies each change at once; the test decides who has acknowledged it."""

    def __init__(self, ctx, names=("a",)):
        self.ctx = ctx
        self.table = CellTable(
            1, Member(names[0], 1), "w", tuple(Member(n, 1) for n in names)
        )
        self.table_version = 1
        self.lease_end_s = 1e9
        self.leads = ctx.identity.instance == names[0]
        self.outage = False
        self.acknowledges = True
        self.suspects = set()
        self.listeners = []
        self.gate = lambda version: True
        self.reports = {}

    def has_lease(self):
        return self.ctx.now_s < self.lease_end_s

    def lease_remaining_s(self):
        return max(self.lease_end_s - self.ctx.now_s, 0.0)

    def home_of(self, partition):
        return Home(self.table.members[0].instance, 1)

    def is_home(self, partition):
        return self.leads

    def members(self):
        return self.table.members

    def is_member(self, instance, incarnation):
        return Member(instance, incarnation) in self.table.members

    def suspected(self, instance):
        return instance in self.suspects

    def coordinates(self):
        return self.leads

    def in_outage_mode(self):
        return self.outage

    def acknowledged_by_all(self, version):
        return self.acknowledges and self.gate(version)

    def add_table_listener(self, listener):
        self.listeners.append(listener)

    def set_acknowledge_gate(self, gate):
        self.gate = gate

    def add_report(self, name, provider):
        self.reports[name] = provider

    def on_report(self, name, handler):
        self.handler = handler

    def update_table(self, change, on_done):
        table = change(self.table)
        if table is not None:
            self.table, self.table_version = table, self.table_version + 1
            for listener in self.listeners:
                listener(self.table, self.table_version)
        on_done(table is not None)


class Single:
    """One instance with its ownership; `run` advances its clock in small steps."""

    def __init__(self, conf, names=("a",), me="a"):
        self.ctx = Context(Identity(me, 1, "dc"), random.Random(1), Invariants())
        self.host = ComponentHost(self.ctx)
        self.membership = FakeMembership(self.ctx, names)
        self.ownership = Ownership(self.ctx, self.membership, OwnershipSettings())
        self.ownership.attach(self.host)
        self.ownership.configure(conf)
        self.commands = []

    def step(self, event=None, delay_s=0.0):
        now_s = self.ctx.now_s + delay_s
        commands = self.host.step(event, now_s, 1000.0 + now_s)
        self.commands.extend(commands)
        return commands

    def run(self, duration_s, answer=lambda command: None):
        """Advance; `answer` may return the event that answers a command."""
        end_s = self.ctx.now_s + duration_s
        while self.ctx.now_s < end_s - 1e-9:
            pending = self.step(delay_s=0.01)
            for command in pending:
                event = answer(command)
                if event is not None:
                    pending += self.step(event)
