"""Fake coordinator and directory: leases, homes and members without a store."""

import attrs

from wagtailrill.core.const import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_LEASE_S,
    PARTITION_COUNT,
    granter_duration_s,
    holder_duration_s,
)
from wagtailrill.partitions.directory import Home, Member


@attrs.frozen
class Table:
    """Members and homes of the cell."""

    version: int
    members: tuple[Member, ...] = ()
    homes: tuple[Home, ...] = (Home("", 0),) * PARTITION_COUNT


class FakeDirectory:
    """One instance's view of the table; calls the listener in table order."""

    def __init__(self, member, ctx):
        self.member, self.ctx = member, ctx
        self.table = Table(0)
        self.lease_until_s = float("-inf")
        self.joined = False
        self.listener = None

    def has_lease(self):
        return self.joined and self.ctx.now_s < self.lease_until_s

    def home_of(self, partition):
        home = self.table.homes[partition]
        return home if home.instance else None

    def is_home(self, partition):
        mine = self.table.homes[partition].instance == self.member.instance
        return mine and self.has_lease()

    def members(self):
        return self.table.members

    def is_member(self, instance, incarnation):
        return Member(instance, incarnation) in self.table.members

    def suspected(self, instance):
        return False

    def check_lease(self):
        """Void everything once the lease has lapsed."""
        if self.joined and self.ctx.now_s >= self.lease_until_s:
            self.joined = False
            self.listener.lease_lost()

    def heartbeat(self, push):
        """Extend the lease, or join, and apply the table."""
        if push.joins:
            self.joined = True
        if push.lease_until_s is not None and self.joined:
            self.lease_until_s = max(self.lease_until_s, push.lease_until_s)
        if push.table.version > self.table.version:
            self._apply(push.table)
        self.check_lease()

    def _apply(self, table):
        old, self.table = self.table, table
        name = self.member.instance
        for member in set(old.members) - set(table.members):
            self.listener.member_dropped(member)
        for partition, (was, now) in enumerate(
            zip(old.homes, table.homes, strict=True)
        ):
            if was != now and was.instance == name:
                self.listener.home_lost(partition)
            if was != now and now.instance == name:
                self.listener.home_gained(partition, now.epoch)


class FakeCoordinator:
    """Grants leases, drops members whose lease has run out, and moves homes."""

    def __init__(self, fleet, rng, rate):
        self.fleet, self.rng, self.rate = fleet, rng, rate
        self.table = Table(0)
        self.extended_s = {}
        self.unreachable = set()
        fleet.call_later(0.01, self._beat)

    def move_home(self, partition, instance):
        """Make an instance the home of a partition, with the next epoch."""
        homes = list(self.table.homes)
        homes[partition] = Home(instance, homes[partition].epoch + 1)
        self._write(homes=tuple(homes))

    def _write(self, **changes):
        changes["version"] = self.table.version + 1
        self.table = attrs.evolve(self.table, **changes)

    def _beat(self):
        now_s = self.fleet.now_s
        joining = [r for r in self._reachable() if r.name not in self._names()]
        members = tuple(Member(r.name, r.incarnation) for r in joining)
        if members:
            self._write(members=self.table.members + members)
        for row in self._reachable():
            member = Member(row.name, row.incarnation)
            if row in joining or (
                member in self.table.members and row.node.directory.joined
            ):
                self.extended_s[member] = now_s
        self._drop_silent()
        self._place_homes()
        for row in self._reachable():
            self._push(row, row in joining)
        self.fleet.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _names(self):
        return {m.instance for m in self.table.members}

    def _reachable(self):
        rows = self.fleet.nodes.values()
        return [r for r in rows if not r.paused and r.name not in self.unreachable]

    def _drop_silent(self):
        limit_s = granter_duration_s(MEMBER_LEASE_S) / self.rate
        silent = {
            m
            for m in self.table.members
            if self.fleet.now_s - self.extended_s[m] > limit_s
        }
        if silent:
            self._write(members=tuple(m for m in self.table.members if m not in silent))

    def _place_homes(self):
        names = sorted(self._names())
        for partition, home in enumerate(self.table.homes):
            if names and home.instance not in names:
                self.move_home(partition, self.rng.choice(names))

    def _push(self, row, joins):
        lease_until_s = None
        member = Member(row.name, row.incarnation)
        if self.extended_s.get(member) == self.fleet.now_s:
            local_s = row.offset_s + self.fleet.now_s * row.rate
            lease_until_s = local_s + holder_duration_s(MEMBER_LEASE_S)
        push = TablePushed(self.table, lease_until_s, joins)
        if self.rng.random() >= self.fleet.lost_message_probability:
            self.fleet.deliver(row.name, push, self.rng.uniform(0.001, 0.05))


@attrs.frozen
class TablePushed:
    """A heartbeat as the fake coordinator sends it."""

    table: Table
    lease_until_s: float | None
    joins: bool
