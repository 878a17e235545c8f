"""Seeded random runs of ownership over the real membership, with faults.

`python -m tests.ownership.random_run --seed N --schedules M` runs M schedules.
"""

import collections
import itertools
import random
import sys

from tests.ownership.fakes import configuration
from tests.ownership.fleet import OwnershipFleet
from tests.support_runs import SeededRuns, parser_of
from wagtailrill.ownership import changes
from wagtailrill.ownership.keys import hot_slot, key_hash, slot_of

SETTLE_LIMIT_S = 25.0
SIZES = [(3, 3, 2), (4, 0, 4), (5, 6, 0), (4, 3, 0), (12, 13, 2)]
KINDS = ("checking", "other")
ALSO = (None, "member", "coordinator")
SIZE_WEIGHTS = [30, 20, 20, 29, 1]


class Schedule:
    """One fleet with the random faults of a seed."""

    def __init__(self, seed, large=False):
        self.rng = random.Random(seed)
        self.counts = collections.Counter()
        size = self.rng.choices(SIZES, SIZE_WEIGHTS)[0]
        self.size = SIZES[-1] if large else size
        instances, checking, other = self.size
        self.base = configuration(checking, other)
        self.fleet = OwnershipFleet(instances, self.base, seed)
        # Late orders and grants are what fences and grant expiry are for.
        self.fleet.delayed_share = self.rng.choice([0.02, 0.02, 0.3])
        self.versions = 1

    def run(self):
        """Start, inject faults, heal, and require that all keys are served again."""
        fleet = self.fleet
        fleet.run(2.5)
        for _ in range(self.rng.randint(3, 8)):
            name = self.rng.choice(sorted(FAULTS))
            self.counts[name] += 1
            FAULTS[name](self)
            fleet.run(self.rng.choice([0.0, 0.05, 0.3, 1.0, 2.0]))
        fleet.run(self.rng.uniform(0.5, 4.0))
        self.heal()
        fleet.time_until_served(fleet.keys, SETTLE_LIMIT_S, 0.1)
        return self

    def heal(self):
        """End all faults."""
        fleet = self.fleet
        fleet.fleet.heal()
        fleet.cut_backends.clear()
        fleet.lost_reply_share, fleet.delayed_share = 0.0, 0.0
        store = fleet.fleet.store
        store.down, store.lost_answer_probability = False, 0.0
        store.unreachable.clear()
        self._configure(())
        for backend in fleet.backends.values():
            backend.reachable, backend.refuses = True, False
            fleet.thaw(backend)
        for name in fleet.names:
            row = fleet.fleet.nodes.get(name)
            if row is None or row.incarnation in fleet.draining:
                fleet.fleet.kill(name)
                fleet.start(name)
            else:
                fleet.fleet.resume(name)

    def later(self, low_s, high_s, action):
        """End a fault after a random time."""
        self.fleet.fleet.call_later(self.rng.uniform(low_s, high_s), action)

    def instance(self):
        """Pick an instance, often the coordinator."""
        leaders = self.fleet.coordinators()
        pick = leaders if leaders and self.rng.random() < 0.4 else self.fleet.names
        return self.rng.choice(pick)

    def backend(self):
        """Pick a backend server."""
        return self.rng.choice(list(self.fleet.backends.values()))

    def partition(self):
        """Cut some instances off, sometimes with the store."""
        names = self.fleet.names
        side = set(self.rng.sample(names, self.rng.randint(1, len(names) // 2)))
        self.fleet.fleet.partition(side)
        if self.rng.random() < 0.5:
            self.fleet.fleet.store.unreachable |= side
        self.later(0.5, 5.0, self.fleet.fleet.heal)
        self.later(0.5, 5.0, self.fleet.fleet.store.unreachable.clear)

    def pause(self):
        """Pause an instance."""
        name = self.instance()
        if name in self.fleet.fleet.nodes:
            self.fleet.fleet.pause(name)
            self.later(0.2, 6.0, lambda: self.fleet.fleet.resume(name))

    def lose_instance(self):
        """Lose an instance; another process replaces it."""
        name = self.instance()
        self.fleet.fleet.kill(name)
        self.later(0.2, 5.0, lambda: self._replace(name))

    def _replace(self, name):
        if name not in self.fleet.fleet.nodes:
            self.fleet.start(name)

    def leave_instance(self):
        """Stop an instance as planned; another process replaces it."""
        name = self.instance()
        if name in self.fleet.fleet.nodes:
            self.fleet.leave(name, self.fleet.fleet.nodes[name])
            self.later(2.0, 6.0, lambda: self._replace(name))

    def lose_backend(self):
        """Lose a backend server without a sign; a new process replaces it."""
        backend = self.backend()
        backend.reachable = False
        backend.restart()
        self.later(1.0, 6.0, lambda: setattr(backend, "reachable", True))

    def freeze_backend(self):
        """Freeze a backend server, which returns as if nothing had happened."""
        backend = self.backend()
        backend.frozen = True
        self.later(0.3, 6.0, lambda: self.fleet.thaw(backend))

    def restart_backend(self):
        """Restart a backend server, which forgets its grants and fence."""
        backend = self.backend()
        backend.restart()
        backend.refuses = True
        self.later(0.05, 1.5, lambda: setattr(backend, "refuses", False))

    def cut_backend(self):
        """Cut a backend server off from some instances."""
        backend = self.backend()
        names = self.rng.sample(self.fleet.names, self.rng.randint(1, 3))
        pairs = {(name, backend.name) for name in names}
        self.fleet.cut_backends |= pairs
        self.later(0.5, 5.0, lambda: self.fleet.cut_backends.difference_update(pairs))

    def store_outage(self):
        """Take the store down."""
        store = self.fleet.fleet.store
        store.down = True
        self.later(0.3, 5.0, lambda: setattr(store, "down", False))

    def lost_answers(self):
        """Lose answers of the store and of backend servers."""
        store = self.fleet.fleet.store
        store.lost_answer_probability = 0.3
        self.fleet.lost_reply_share = 0.2
        self.later(1.0, 3.0, lambda: setattr(store, "lost_answer_probability", 0.0))
        self.later(1.0, 3.0, lambda: setattr(self.fleet, "lost_reply_share", 0.0))

    def leaving(self):
        """Mark backend servers as leaving, at different times at the instances."""
        names = list(self.fleet.backends)
        self._configure(self.rng.sample(names, self.rng.randint(0, 2)))

    def _configure(self, leaving):
        self.versions += 1
        _, checking, other = self.size
        self.fleet.configure(
            configuration(checking, other, frozenset(leaving), self.versions)
        )

    def racing_changes(self):
        """Have every coordinator move, promote and demote keys at once."""
        for name in self.fleet.coordinators():
            for _ in range(self.rng.randint(1, 4)):
                service, key = self.rng.choice(self.fleet.keys)
                target = self.rng.choice(
                    [b.name for b in self.base.services[service].backend_servers]
                )
                change = self._change(service, key_hash(key), target)
                membership = self.fleet.memberships[name]
                membership.update_table(change, lambda done: None)

    def _change(self, service, hashed, target):
        kind = self.rng.choice(["slot", "hot", "promote", "demote"])
        number = slot_of(hashed) if kind == "slot" else hot_slot(hashed)

        def change(table):
            if kind == "promote":
                return changes.promote(table, service, {hashed: target}, 8)
            if kind == "demote":
                return changes.demote(table, service, [hashed])
            return changes.begin_moves(table, service, {number: target})

        return change


FAULTS = {
    name: getattr(Schedule, name)
    for name in (
        "partition",
        "pause",
        "lose_instance",
        "leave_instance",
        "lose_backend",
        "freeze_backend",
        "restart_backend",
        "cut_backend",
        "store_outage",
        "lost_answers",
        "leaving",
        "racing_changes",
    )
}


def measure_loss(seed, kind, also=None, instances=12, servers=13):
    """Lose a server, and an instance with it; return the times until served again.

    `also` is None, "member" or "coordinator".
    """
    counts = (servers, 0) if kind == "checking" else (0, servers)
    fleet = OwnershipFleet(instances, configuration(*counts), seed, keys=26)
    fleet.run(fleet.rng.uniform(3.0, 4.0))
    leader = fleet.coordinators()[0]
    others = [n for n in fleet.names if n != leader]
    service, key = fleet.rng.choice(fleet.keys)
    lost = fleet.ownerships[leader].route(service, key).backend_server
    fleet.backends[lost].reachable = False
    instance = {"member": fleet.rng.choice(others), "coordinator": leader}.get(also)
    if instance:
        fleet.fleet.kill(instance)
    view = fleet.awake(others[0] if also != "member" else leader)
    keys = [k for k in fleet.keys if view.explain(*k).owner == lost]
    return fleet.time_until_served(keys, 8.0)


def summary(times_s):
    """Return p50, p99 and max of some times."""
    ranked = sorted(times_s)
    p99 = ranked[min(int(len(ranked) * 0.99), len(ranked) - 1)]
    return f"p50 {ranked[len(ranked) // 2]:.2f} p99 {p99:.2f} max {ranked[-1]:.2f} s"


def run_schedules(seed, count, large=False):
    """Run schedules one after the other; a failure names the command to repeat it."""
    runs = SeededRuns(
        "tests.ownership.random_run", lambda number: Schedule(number, large).run()
    )
    counts = collections.Counter()
    for number in range(seed, seed + count):
        schedule = runs.check(number, *(["--large"] if large else []))
        counts.update(schedule.counts)
        counts["effects"] += schedule.fleet.ledger.effects
    return counts


def main():
    """Run the long mode."""
    parser = parser_of(__doc__, 1000)
    parser.add_argument("--large", action="store_true", help="12 instances, 13 servers")
    parser.add_argument("--losses", type=int, default=0, help="only measure losses")
    options = parser.parse_args()
    for kind, also in itertools.product(KINDS, ALSO if options.losses else ()):
        seeds = range(options.seed, options.seed + options.losses)
        times_s = [t for s in seeds for t in measure_loss(s, kind, also)]
        line = f"{kind}, lost with {also}: {summary(times_s)} ({len(times_s)} keys)"
        sys.stdout.write(line + "\n")
    if options.losses:
        return
    counts = run_schedules(options.seed, options.schedules, options.large)
    sys.stdout.write(f"{options.schedules} schedules passed: {dict(counts)}\n")


if __name__ == "__main__":
    main()
