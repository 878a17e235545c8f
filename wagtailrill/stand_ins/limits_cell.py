"""A cell with an ideal coordinator: leases, members and homes for its nodes."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ..core.commands import Command
from ..core.const import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_LEASE_S,
    PARTITION_COUNT,
    granter_duration_s,
    holder_duration_s,
)
from ..core.context import Context, Identity
from ..core.events import Event
from ..core.host import ComponentHost
from ..core.invariants import Invariants
from ..declaration.models import Configuration, Declaration, Organisation
from ..limits.limits import Limits
from ..limits.models import LimitSettings, TakeResult
from ..partitions.directory import Home, Member
from .virtual_fleet import VirtualFleet


@attrs.frozen
class Beat:
    """A heartbeat with the table; the lease counts from when it was sent."""

    sent_s: float
    version: int
    members: tuple[Member, ...]
    homes: tuple[Home, ...]


@attrs.frozen
class Take:
    """Requests of an organisation that arrive together."""

    organisation: str
    count: int = 1


@attrs.frozen
class Configure:
    """A configuration that reaches an instance."""

    configuration: Configuration


Rates = dict[str, tuple[float, float]]  # rate and burst by organisation
NodeClass = Callable[["LimitsCell", str, int, random.Random], "LimitsNode"]


def configuration(version: int, limits: Rates) -> Configuration:
    """Return a configuration with the limits of some organisations."""
    organisations = tuple(Organisation(n, r, b) for n, (r, b) in limits.items())
    return Configuration(version, Declaration("test", (), (), organisations))


class LimitsNode:
    """One instance: directory, limits and host."""

    def __init__(
        self, cell: "LimitsCell", name: str, incarnation: int, rng: random.Random
    ) -> None:
        self.cell, self.member = cell, Member(name, incarnation)
        self.ctx = Context(Identity(name, incarnation, "dc"), rng, Invariants())
        self.host = ComponentHost(self.ctx)
        self.lease_until_s, self.leased = -1.0, False
        self.version = 0
        self.table_members: tuple[Member, ...] = ()
        self.homes: tuple[Home, ...] = ()
        self.epochs: dict[int, int] = {}
        self.configuration_version = 0
        self.limits = Limits(self.ctx, self, cell.settings)
        self.limits.attach(self.host)
        self.host.on_event(Beat, self.on_beat)
        self.host.on_event(Take, self.on_take)
        self.host.on_event(Configure, self.on_configure)

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Drop everything if the lease has lapsed, then handle the event."""
        self.ctx.set_time(now_s, wall_s)
        if self.leased and not self.has_lease():
            self.leased = False
            self.epochs.clear()
            self.limits.lease_lost()
        return self.host.step(event, now_s, wall_s)

    def next_due_s(self) -> float | None:
        """Return the time of the next timer."""
        return self.host.next_due_s()

    def on_beat(self, beat: Beat) -> None:
        """Extend the lease and report changes of the table."""
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
            if not mine and partition in self.epochs:
                del self.epochs[partition]
                self.limits.home_lost(partition)
            if mine and self.epochs.get(partition) != home.epoch:
                self.epochs[partition] = home.epoch
                self.limits.home_gained(partition, home.epoch)

    def on_take(self, event: Take) -> None:
        """Take tokens for requests."""
        for _ in range(event.count):
            self.cell.offered[event.organisation] += 1
            self.limits.take(
                event.organisation,
                lambda result: self.cell.record(event.organisation, result),
            )

    def on_configure(self, event: Configure) -> None:
        """Apply a later configuration."""
        if event.configuration.version > self.configuration_version:
            self.configuration_version = event.configuration.version
            self.limits.configure(event.configuration)
            self.cell.version_changed()

    def has_lease(self) -> bool:
        """Return whether the member lease is valid now."""
        return self.ctx.now_s < self.lease_until_s

    def home_of(self, partition: int) -> Home | None:
        """Return the home of a partition by the table."""
        return self.homes[partition] if self.homes else None

    def is_home(self, partition: int) -> bool:
        """Return whether this node is the home."""
        return self.has_lease() and partition in self.epochs

    def members(self) -> tuple[Member, ...]:
        """Return the members of the table."""
        return self.table_members

    def is_member(self, instance: str, incarnation: int) -> bool:
        """Return whether a process is in the table."""
        return Member(instance, incarnation) in self.table_members

    def suspected(self, instance: str) -> bool:
        """Return false: the limits do not use suspicion."""
        return False


class LimitsCell:
    """Coordinator that knows the truth, except that it waits for leases to lapse."""

    def __init__(
        self,
        seed: int,
        limits: Rates,
        nodes: int = 12,
        settings: LimitSettings | None = None,
        node_class: NodeClass = LimitsNode,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings or LimitSettings()
        self.fleet = VirtualFleet(
            lambda name, inc, rng: node_class(self, name, inc, rng), seed
        )
        self.version = 1
        self.isolated: set[str] = set()
        self.configurations = {1: limits}
        self.version_log: list[tuple[float, set[int]]] = []
        self.admitted: dict[str, list[float]] = {name: [] for name in limits}
        self.offered = dict.fromkeys(limits, 0)
        self.refused = dict.fromkeys(limits, 0)
        for index in range(nodes):
            self.start(f"n{index:02d}")
        members = [self.node(name).member for name in self.fleet.nodes]
        self.last_beat_s: dict[Member, float] = dict.fromkeys(members, 0.0)
        self.homes = [
            Home(members[p % nodes].instance, 1) for p in range(PARTITION_COUNT)
        ]
        self.tick()

    def node(self, name: str) -> Any:
        """Return the node of a running instance."""
        return self.fleet.nodes[name].node

    def start(self, name: str) -> None:
        """Start an instance, or replace it, with a clock within 1%."""
        rate = self.rng.uniform(0.99, 1.01)
        self.fleet.start(name, rate)
        self.configure(name, max(self.configurations))

    def configure(self, name: str, version: int, delay_s: float = 0.0) -> None:
        """Deliver a configuration to an instance after a delay."""
        event: Any = Configure(configuration(version, self.configurations[version]))
        self.fleet.deliver(name, event, delay_s)

    def version_changed(self) -> None:
        """Record which configuration versions are in force anywhere."""
        versions = {self.node(name).configuration_version for name in self.fleet.nodes}
        self.version_log.append((self.fleet.now_s, versions - {0}))

    def record(self, organisation: str, result: TakeResult) -> None:
        """Record the answer to a request."""
        if result.admitted:
            self.admitted[organisation].append(self.fleet.now_s)
        else:
            self.refused[organisation] += 1

    def reachable(self, name: str) -> bool:
        """Return whether the coordinator hears from an instance."""
        row = self.fleet.nodes.get(name)
        return row is not None and not row.paused and name not in self.isolated

    def tick(self) -> None:
        """Drop lapsed members, admit new ones and send heartbeats."""
        now_s = self.fleet.now_s
        for member, last_s in tuple(self.last_beat_s.items()):
            if now_s - last_s > granter_duration_s(MEMBER_LEASE_S):
                self.drop(member)
        joined = {member.instance for member in self.last_beat_s}
        for name in self.fleet.nodes:
            if self.reachable(name) and name not in joined:
                self.join(self.node(name).member)
        self.push()
        self.fleet.call_later(HEARTBEAT_INTERVAL_S, self.tick)

    def push(self) -> None:
        """Send the table and extend the leases of members heard from."""
        now_s = self.fleet.now_s
        members = tuple(self.last_beat_s)
        beat: Any = Beat(now_s, self.version, members, tuple(self.homes))
        for member, last_s in tuple(self.last_beat_s.items()):
            row = self.fleet.nodes.get(member.instance)
            same = row is not None and row.incarnation == member.incarnation
            # A member whose own lease may have lapsed must be dropped first.
            lapsing = now_s - last_s > 0.95 * MEMBER_LEASE_S
            if same and self.reachable(member.instance) and not lapsing:
                self.last_beat_s[member] = now_s
                self.fleet.deliver(member.instance, beat, self.rng.uniform(0, 0.002))

    def drop(self, member: Member) -> None:
        """Remove a member and move its homes."""
        del self.last_beat_s[member]
        names = [m.instance for m in self.last_beat_s]
        for partition, home in enumerate(self.homes):
            if home.instance == member.instance and names:
                self.move_home(partition, self.rng.choice(names))
        self.version += 1

    def join(self, member: Member) -> None:
        """Add a member and give it some homes."""
        self.last_beat_s[member] = self.fleet.now_s
        self.version += 1
        for partition in self.rng.sample(range(PARTITION_COUNT), 5):
            self.move_home(partition, member.instance)

    def move_home(self, partition: int, instance: str) -> None:
        """Give a partition another home under a new epoch."""
        epoch = self.homes[partition].epoch + 1
        self.homes[partition] = Home(instance, epoch)
        self.version += 1

    def isolate(self, side: Iterable[str]) -> None:
        """Cut instances off from all others and from the coordinator."""
        self.isolated = set(side)
        self.fleet.heal()
        self.fleet.partition(set(side))

    def heal(self) -> None:
        """End all cuts."""
        self.isolated = set()
        self.fleet.heal()
