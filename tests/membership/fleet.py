"""Virtual fleet of members with a check that no partition has two homes."""

from wagtailrill.core.const import PARTITION_COUNT
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.events import InstancesListed
from wagtailrill.core.invariants import InvariantError, Invariants
from wagtailrill.engine.host import ComponentHost
from wagtailrill.membership.membership import Membership
from wagtailrill.membership.models import MembershipSettings
from wagtailrill.platform.models import InstanceEntry
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet

CFG = MembershipSettings(cell="cell-1", deployment="test")


class MemberFleet:
    """Runs members and checks the global invariants while time passes."""

    def __init__(self, count=12, seed=1, rates=None):
        self.names = [f"i-{n:02}" for n in range(count)]
        self.members = {}
        self.fleet = VirtualFleet(self._make, seed)
        self.store = self.fleet.store
        for name in self.names:
            self.start(name, (rates or {}).get(name, 1.0))

    def _make(self, name, incarnation, rng):
        ctx = Context(Identity(name, incarnation, "dc"), rng, Invariants())
        host = ComponentHost(ctx)
        membership = Membership(ctx, CFG)
        membership.attach(host)
        self.members[name] = membership
        return host

    def start(self, name, rate=1.0):
        self.fleet.start(name, rate)
        entries = tuple(InstanceEntry(n, "", "dc") for n in self.names)
        self.fleet.deliver(name, InstancesListed(entries), 0.0)

    def kill(self, name):
        self.fleet.kill(name)
        self.members.pop(name, None)

    def run(self, duration_s, step_s=0.05):
        """Advance time, with a check after each step."""
        end_s = self.fleet.now_s + duration_s
        while self.fleet.now_s < end_s:
            self.fleet.run_until(min(end_s, self.fleet.now_s + step_s))
            self.check()

    def run_until(self, condition, limit_s, step_s=0.02):
        """Advance time until a condition holds; return the time it took."""
        start_s = self.fleet.now_s
        while not condition():
            assert self.fleet.now_s - start_s < limit_s, f"not within {limit_s} s"
            self.run(step_s, step_s)
        return self.fleet.now_s - start_s

    def awake(self):
        """Return the live, unpaused members with their clocks set to now."""
        result = {}
        for name, row in self.fleet.nodes.items():
            if not row.paused:
                ctx = self.members[name].ctx
                ctx.set_time(row.offset_s + self.fleet.now_s * row.rate, ctx.wall_s)
                result[name] = self.members[name]
        return result

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
