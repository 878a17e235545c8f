"""Virtual fleet of keepers over fake or real membership, with checks."""

import attrs

from tests.configuration.fake_membership import FakeMembership, Oracle
from tests.declaration.test_parse import EXAMPLES
from wagtailrill.configuration.keeper import ConfigurationKeeper
from wagtailrill.configuration.models import ConfigurationSettings
from wagtailrill.declaration.parse import parse
from wagtailrill.declaration.text import to_json
from wagtailrill.membership.membership import Membership
from wagtailrill.membership.models import MembershipSettings
from wagtailrill.platform.models import Write
from wagtailrill.stand_ins.virtual_cell import VirtualCell, instance_names

IN_FORCE_S = 3.0
# After an outage the watchers come back within a call's timeout and a retry.
WATCHERS_BACK_S = 1.0
DECLARATION = parse((EXAMPLES / "piraeus" / "services.json").read_text()).ok
CFG = ConfigurationSettings("piraeus")


class KeeperFleet(VirtualCell):
    """Runs keepers and checks each sample of what is in force."""

    def __init__(self, seed, count=6, real_membership=False):
        super().__init__(instance_names(count), seed)
        self.keepers, self.members = {}, {}
        self.accepted = {}
        self.written = []
        self.disturbed_s = 0.0
        self.real_membership = real_membership
        self.oracle = Oracle(self)
        self.rng = self.fleet.rng
        self.write()
        for name in self.names:
            self.start(name)
        self.oracle.check()

    def attach(self, name, host):
        membership = FakeMembership(host.ctx, self.oracle)
        if self.real_membership:
            membership = Membership(host.ctx, MembershipSettings("cell-1", "piraeus"))
        keeper = ConfigurationKeeper(host.ctx, membership, CFG)
        membership.attach(host)
        keeper.attach(host)
        keeper.add_listener(self._on_configuration)
        self.keepers[name], self.members[name] = keeper, membership

    def _on_configuration(self, configuration):
        burst = configuration.declaration.organisations[0].burst
        assert self.accepted[configuration.version] == burst, "not the text written"

    def write(self, text=None):
        """Write a new declaration, or a text that must not come into force."""
        burst = 100.0 + len(self.written)
        first, *rest = DECLARATION.organisations
        organisations = (attrs.evolve(first, burst=burst), *rest)
        valid = to_json(attrs.evolve(DECLARATION, organisations=organisations))
        document = (valid if text is None else text).encode()
        revision = self.store.model.revision_of(CFG.key)
        now_s = self.fleet.now_s
        result = self.store.model.apply(Write(CFG.key, document, revision), now_s)
        if text is None:
            self.accepted[result.ok.revision] = burst
            self.written.append((now_s, result.ok.revision))
            return
        # A version that an invalid text replaces before it is read is nowhere kept.
        known = max(keeper.version for keeper in self.keepers.values())
        self.written = [(at_s, v) for at_s, v in self.written if v <= known]

    def disturb(self):
        """Note that the store was down until now, at least for the coordinator."""
        self.disturbed_s = self.fleet.now_s

    def serving(self):
        """Return the names of the instances that may serve requests."""
        return [
            name
            for name in self.running()
            if self.members[name].has_lease() and self.keepers[name].ready()
        ]

    def due_version(self):
        """Return the version that has to be in force on serving instances."""
        now_s = self.fleet.now_s
        due = [
            version
            for at_s, version in self.written
            if max(at_s, self.disturbed_s + WATCHERS_BACK_S) <= now_s - IN_FORCE_S
        ]
        return max(due, default=0)

    def check(self):
        """Raise if an instance serves by a configuration that is too old."""
        if self.store.down or self.in_outage_mode():
            self.disturb()
        due = self.due_version()
        for name in self.serving():
            version = self.keepers[name].version
            assert version >= due, f"{name}: {version} < {due} at {self.fleet.now_s}"

    def in_outage_mode(self):
        """Return whether the coordinator counts the store as down."""
        name = self.coordinator()
        return name is not None and self.members[name].in_outage_mode()

    def coordinator(self):
        """Return the coordinator's name, if there is one."""
        for name in self.running():
            if self.members[name].coordinates():
                return name
        return None

    def settled(self):
        """Return whether every instance serves by the latest version."""
        latest = self.written[-1][1]
        return sorted(self.serving()) == self.names and all(
            k.version == latest for k in self.keepers.values()
        )

    def run_until_settled(self, limit_s):
        """Advance time until all serve by the latest version; return the time."""
        return self.run_until(self.settled, limit_s)
