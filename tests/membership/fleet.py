"""Virtual fleet of members with a check that no partition has two homes."""

from wagtailrill.core.const import PARTITION_COUNT
from wagtailrill.core.invariants import InvariantError
from wagtailrill.membership.membership import Membership
from wagtailrill.membership.models import MembershipSettings
from wagtailrill.stand_ins.virtual_cell import VirtualCell, instance_names

CFG = MembershipSettings(cell="cell-1", deployment="test")


class MemberFleet(VirtualCell):
    """Runs members and checks the global invariants while time passes."""

    def __init__(self, count=12, seed=1, rates=None):
        super().__init__(instance_names(count), seed)
        self.members = {}
        for name in self.names:
            self.start(name, (rates or {}).get(name, 1.0))

    def attach(self, name, host):
        self.members[name] = Membership(host.ctx, CFG)
        self.members[name].attach(host)

    def kill(self, name):
        self.fleet.kill(name)
        self.members.pop(name, None)

    def awake(self):
        """Return the live, unpaused members with their clocks set to now."""
        return {name: self.members[name] for name in self.running()}

    def check(self):
        """Raise if a partition has two homes, or the store lease two holders."""
        holders = {}
        leads = []
        for name, membership in self.awake().items():
            lead = membership._lead
            if lead is not None and lead.in_store_mode():
                leads.append(name)
            if not membership.has_lease():
                continue
            for partition in membership._view.held:
                assert membership.is_home(partition)
                other = holders.setdefault(partition, name)
                if other != name:
                    raise InvariantError(
                        f"two homes of {partition} at {self.fleet.now_s:.3f}: "
                        f"{other} and {name}"
                    )
        self.holders = holders
        if len(leads) > 1:
            raise InvariantError(f"two holders of the store lease: {leads}")

    def coordinators(self):
        return [n for n, m in self.awake().items() if m.coordinates()]

    def homed(self, names=None):
        """Return whether every partition has a home that acts, among the names."""
        self.check()
        mine = [p for p, n in self.holders.items() if names is None or n in names]
        return len(mine) == PARTITION_COUNT

    def settled(self):
        """Return whether one coordinator leads and all members serve all homes."""
        awake = self.awake()
        return (
            len(self.coordinators()) == 1
            and all(m.has_lease() for m in awake.values())
            and self.homed()
        )
