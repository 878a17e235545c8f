"""Partition directory of a test: every node of a fleet shares one table."""

from wagtailrill.core.const import PARTITION_COUNT
from wagtailrill.partitions.directory import SUCCESSOR_EPOCH_STEP, Home, Member
from wagtailrill.stand_ins.virtual_cell import VirtualCell


class SharedTable:
    """Table that a test changes; homes move by `move`."""

    def __init__(self, members):
        self.members = {m.instance: m for m in members}
        names = sorted(self.members)
        self.homes = {p: Home(names[p % len(names)], 1) for p in range(PARTITION_COUNT)}
        self.listeners = {}

    def join(self, member):
        self.members[member.instance] = member

    def drop(self, instance):
        member = self.members.pop(instance)
        for listener in list(self.listeners.values()):
            listener.member_dropped(member)
        names = sorted(self.members)
        for partition, home in self.homes.items():
            if home.instance == instance:
                self.move(partition, names[partition % len(names)], step=1)

    def move(self, partition, instance, step=SUCCESSOR_EPOCH_STEP):
        old = self.homes[partition]
        home = Home(instance, old.epoch + step)
        self.homes[partition] = home
        if old.instance in self.listeners:
            self.listeners[old.instance].home_lost(partition)
        if instance in self.listeners:
            self.listeners[instance].home_gained(partition, home.epoch)


class SharedDirectory:
    """One node's view of the shared table."""

    def __init__(self, table, identity):
        self.table = table
        self.identity = identity
        self.leased = True

    def has_lease(self):
        return self.leased

    def home_of(self, partition):
        return self.table.homes.get(partition)

    def is_home(self, partition):
        home = self.table.homes.get(partition)
        own = self.identity.instance
        return self.leased and home is not None and home.instance == own

    def members(self):
        return tuple(self.table.members.values())

    def is_member(self, instance, incarnation):
        return self.table.members.get(instance) == Member(instance, incarnation)

    def suspected(self, instance):
        return False


class SharedCell(VirtualCell):
    """Three instances over one shared table; a subclass attaches the component."""

    def __init__(self, seed=1):
        super().__init__(("a", "b", "c"), seed)
        members = [Member(n, i) for i, n in enumerate(self.names, 1)]
        self.table = SharedTable(members)
        for name in self.names:
            self.start(name)

    def directory(self, host):
        return SharedDirectory(self.table, host.ctx.identity)
