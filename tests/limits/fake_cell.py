"""A cell with an ideal coordinator: leases, members and homes for 12 nodes."""

import random

import attrs

from wagtailrill.core.const import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_LEASE_S,
    PARTITION_COUNT,
    granter_duration_s,
    holder_duration_s,
)
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.invariants import Invariants
from wagtailrill.declaration.models import Configuration, Declaration, Organisation
from wagtailrill.engine.host import ComponentHost
from wagtailrill.limits.limits import Limits
from wagtailrill.limits.models import LimitSettings
from wagtailrill.partitions.directory import Home, Member
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet


@attrs.frozen
class Beat:
    """A heartbeat with the table; the lease counts from when it was sent."""

    sent_s: float
    version: int
    members: tuple
    homes: tuple


@attrs.frozen
class Take:
    """Requests of an organisation that arrive together."""

    organisation: str
    count: int = 1


@attrs.frozen
class Configure:
    """A configuration that reaches an instance."""

    configuration: Configuration


def configuration(version, limits):
    organisations = tuple(Organisation(n, r, b) for n, (r, b) in limits.items())
    return Configuration(version, Declaration("test", (), (), organisations))


class FakeNode:
    """One instance: directory, limits and host."""

    def __init__(self, cell, name, incarnation, rng):
        self.cell, self.member = cell, Member(name, incarnation)
        self.ctx = Context(Identity(name, incarnation, "dc"), rng, Invariants())
        self.host = ComponentHost(self.ctx)
        self.lease_until_s, self.leased = -1.0, False
        self.version, self.table_members, self.homes = 0, (), ()
        self.epochs = {}
        self.configuration_version = 0
        self.limits = Limits(self.ctx, self, cell.settings)
        self.limits.attach(self.host)
        self.host.on_event(Beat, self.on_beat)
        self.host.on_event(Take, self.on_take)
        self.host.on_event(Configure, self.on_configure)

    def step(self, event, now_s, wall_s):
        self.ctx.set_time(now_s, wall_s)
        if self.leased and not self.has_lease():
            self.leased = False
            self.epochs.clear()
            self.limits.lease_lost()
        return self.host.step(event, now_s, wall_s)

    def next_due_s(self):
        return self.host.next_due_s()

    def on_beat(self, beat):
        row = self.cell.fleet.nodes[self.member.instance]
        sent_s = row.offset_s + beat.sent_s * row.rate
        until_s = sent_s + holder_duration_s(MEMBER_LEASE_S)
        if until_s <= self.ctx.now_s or beat.version < self.version:
            return
        self.lease_until_s = max(self.lease_until_s, until_s)
        self.leased = True
        if beat.version == self.version:
            return
        dropped = set(self.table_members) - set(beat.members)
        self.version = beat.version
        self.table_members, self.homes = beat.members, beat.homes
        for member in sorted(dropped, key=str):
            self.limits.member_dropped(member)
        for partition, home in enumerate(beat.homes):
            mine = home.instance == self.member.instance
            if not mine and self.epochs.pop(partition, None):
                self.limits.home_lost(partition)
            if mine and self.epochs.get(partition) != home.epoch:
                self.epochs[partition] = home.epoch
                self.limits.home_gained(partition, home.epoch)

    def on_take(self, event):
        for _ in range(event.count):
            self.cell.offered[event.organisation] += 1
            self.limits.take(
                event.organisation,
                lambda result: self.cell.record(event.organisation, result),
            )

    def on_configure(self, event):
        if event.configuration.version > self.configuration_version:
            self.configuration_version = event.configuration.version
            self.limits.configure(event.configuration)
            self.cell.version_changed()

    def has_lease(self):
        return self.ctx.now_s < self.lease_until_s

    def home_of(self, partition):
        return self.homes[partition] if self.homes else None

    def is_home(self, partition):
        return self.has_lease() and partition in self.epochs

    def members(self):
        return self.table_members

    def is_member(self, instance, incarnation):
        return Member(instance, incarnation) in self.table_members

    def suspected(self, instance):
        return False


class FakeCell:
    """Coordinator that knows the truth, except that it waits for leases to lapse."""

    def __init__(self, seed, limits, nodes=12, clocks=True, settings=None):
        self.rng = random.Random(seed)
        self.settings = settings or LimitSettings()
        self.fleet = VirtualFleet(
            lambda name, inc, rng: FakeNode(self, name, inc, rng), seed
        )
        self.last_beat_s, self.homes, self.version = {}, [], 1
        self.isolated = set()
        self.configurations = {1: limits}
        self.version_log = []
        self.admitted = {name: [] for name in limits}
        self.offered = dict.fromkeys(limits, 0)
        self.refused = dict.fromkeys(limits, 0)
        self.clocks = clocks
        for index in range(nodes):
            self.start(f"n{index:02d}")
        members = [row.node.member for row in self.fleet.nodes.values()]
        self.last_beat_s = dict.fromkeys(members, 0.0)
        self.homes = [
            Home(members[p % nodes].instance, 1) for p in range(PARTITION_COUNT)
        ]
        self.tick()

    def start(self, name):
        rate = self.rng.uniform(0.99, 1.01) if self.clocks else 1.0
        self.fleet.start(name, rate)
        self.configure(name, max(self.configurations))

    def configure(self, name, version, delay_s=0.0):
        event = Configure(configuration(version, self.configurations[version]))
        self.fleet.deliver(name, event, delay_s)

    def version_changed(self):
        versions = {r.node.configuration_version for r in self.fleet.nodes.values()}
        self.version_log.append((self.fleet.now_s, versions - {0}))

    def record(self, organisation, result):
        if result.admitted:
            self.admitted[organisation].append(self.fleet.now_s)
        else:
            self.refused[organisation] += 1

    def reachable(self, name):
        row = self.fleet.nodes.get(name)
        return row is not None and not row.paused and name not in self.isolated

    def tick(self):
        now_s = self.fleet.now_s
        for member, last_s in tuple(self.last_beat_s.items()):
            if now_s - last_s > granter_duration_s(MEMBER_LEASE_S):
                self.drop(member)
        joined = {member.instance for member in self.last_beat_s}
        for name, row in self.fleet.nodes.items():
            if self.reachable(name) and name not in joined:
                self.join(row.node.member)
        self.push()
        self.fleet.call_later(HEARTBEAT_INTERVAL_S, self.tick)

    def push(self):
        now_s = self.fleet.now_s
        members = tuple(self.last_beat_s)
        beat = Beat(now_s, self.version, members, tuple(self.homes))
        for member, last_s in tuple(self.last_beat_s.items()):
            row = self.fleet.nodes.get(member.instance)
            same = row is not None and row.incarnation == member.incarnation
            # A member whose own lease may have lapsed must be dropped first.
            lapsing = now_s - last_s > 0.95 * MEMBER_LEASE_S
            if same and self.reachable(member.instance) and not lapsing:
                self.last_beat_s[member] = now_s
                self.fleet.deliver(member.instance, beat, self.rng.uniform(0, 0.002))

    def drop(self, member):
        del self.last_beat_s[member]
        names = [m.instance for m in self.last_beat_s]
        for partition, home in enumerate(self.homes):
            if home.instance == member.instance and names:
                self.move_home(partition, self.rng.choice(names))
        self.version += 1

    def join(self, member):
        self.last_beat_s[member] = self.fleet.now_s
        self.version += 1
        for partition in self.rng.sample(range(PARTITION_COUNT), 5):
            self.move_home(partition, member.instance)

    def move_home(self, partition, instance):
        epoch = self.homes[partition].epoch + 1
        self.homes[partition] = Home(instance, epoch)
        self.version += 1

    def isolate(self, side):
        self.isolated = set(side)
        self.fleet.heal()
        self.fleet.partition(set(side))

    def heal(self):
        self.isolated = set()
        self.fleet.heal()
