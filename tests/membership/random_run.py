"""Seeded random runs of a cell under overlapping faults, and recovery times.

Repeat a seed with `python -m tests.membership.random_run --seed N --schedules 1`.
"""

import itertools
import random

import attrs

from tests.membership.fleet import MemberFleet
from tests.support_runs import SeededRuns, parser_of
from wagtailrill.membership.table import HotKey, SlotOwner

FAULTS_S = 16.0
SETTLE_LIMIT_S = 12.0
MEMBERS = 12
# Part, attribute, range of values while it is disturbed, and healthy value.
DISTURBANCES = [
    ("store", "lost_answer_probability", 0.1, 0.6, 0.0),
    ("store", "latency_s", 0.05, 1.0, 0.002),
    ("fleet", "lost_message_probability", 0.05, 0.5, 0.0),
    ("fleet", "latency_s", 0.02, 0.8, 0.001),
]
# Instances that are lost, or in the last case cut off, by kind of loss.
LOSSES = {
    "member": lambda lead, others: {others[0]},
    "coordinator": lambda lead, others: {lead},
    "both": lambda lead, others: {lead, others[0]},
    "data centre": lambda lead, others: {lead, *others},
}


class Schedule:
    """Faults of one run, chosen by its seed; they overlap and repeat."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        names = [f"i-{n:02}" for n in range(MEMBERS)]
        self.rates = {n: self.rng.uniform(0.99, 1.01) for n in names}
        self.cell = MemberFleet(MEMBERS, seed, self.rates)
        self.fleet = self.cell.fleet
        self.store = self.cell.store
        self.outages = 0
        self.updates = itertools.count(1)
        self.written = set()

    def some(self):
        """Return random instances, often with the coordinator, in a fixed order."""
        count = self.rng.choice([1, 1, 2, 4, 6])
        names = self.rng.sample(self.cell.names, count)
        leads = self.cell.coordinators()
        if leads and self.rng.random() < 0.5:
            names = [*names[1:], *leads]
        return sorted(set(names))

    def later(self, callback, low_s, high_s):
        self.fleet.call_later(self.rng.uniform(low_s, high_s), callback)

    def partition(self):
        side = self.some()
        self.fleet.partition(set(side))
        if self.rng.random() < 0.5:
            self.cut_store(side)
        self.later(self.fleet.heal, 0.5, 6.0)

    def pause(self):
        for name in self.some():
            if name in self.fleet.nodes:
                self.fleet.pause(name)
                self.later(lambda n=name: self.fleet.resume(n), 0.1, 5.0)

    def lose(self):
        for name in self.some():
            self.cell.kill(name)
            self.later(lambda n=name: self.restart(n), 0.05, 6.0)

    def restart(self, name):
        if name not in self.fleet.nodes:
            self.cell.start(name, self.rates[name])

    def store_outage(self):
        self.outages += 1
        self.store.down = True
        self.later(self.end_outage, 0.2, 7.0)

    def end_outage(self):
        self.outages -= 1
        self.store.down = self.outages > 0

    def cut_store(self, names=None):
        cut = self.some() if names is None else names
        self.store.unreachable.update(cut)
        self.later(lambda: self.store.unreachable.difference_update(cut), 0.3, 6.0)

    def disturb(self):
        """Let the store or the network lose or delay what it carries for a while."""
        part, name, low, high, normal = self.rng.choice(DISTURBANCES)
        setattr(getattr(self, part), name, self.rng.uniform(low, high))
        self.later(lambda: setattr(getattr(self, part), name, normal), 0.5, 5.0)

    def leave(self):
        name = self.rng.choice(self.cell.names)
        if name in self.fleet.nodes and not self.fleet.nodes[name].paused:
            member = self.cell.members[name]

            def stop():
                if self.cell.members.get(name) is member:
                    self.cell.kill(name)
                    self.later(lambda: self.restart(name), 0.05, 2.0)

            self.fleet.call_later(
                0.0, lambda: member.leave(lambda: self.fleet.call_later(0.0, stop))
            )

    def update(self):
        """Let the coordinator add a numbered hot key to the table."""
        number = next(self.updates)
        hot_key = HotKey("s", number, SlotOwner("b", 1))

        def change(table):
            return attrs.evolve(table, hot_keys=(*table.hot_keys, hot_key))

        def done(written):
            if written:
                self.written.add(number)

        for name in self.cell.coordinators()[:1]:
            self.cell.members[name].update_table(change, done)
            self.fleet.deliver(name, None, 0.0)

    def check_updates(self):
        """Raise if a confirmed update is lost, or any update was applied twice."""
        (lead,) = self.cell.coordinators()
        stored = [k.key_hash for k in self.cell.members[lead].table.hot_keys]
        assert len(stored) == len(set(stored)), f"applied twice: {stored}"
        assert self.written <= set(stored), f"lost: {self.written - set(stored)}"

    def run(self):
        """Run the faults, heal everything and wait until the cell has settled."""
        kinds = [self.partition, self.pause, self.lose, self.leave]
        kinds += [self.store_outage, self.cut_store]
        kinds += [self.disturb] * len(DISTURBANCES)
        self.cell.run(2.5)
        end_s = self.fleet.now_s + FAULTS_S
        while self.fleet.now_s < end_s:
            for fault in self.rng.choices(kinds, k=self.rng.choice([1, 1, 2, 3])):
                fault()
            self.update()
            self.cell.run(self.rng.expovariate(1.0) + 0.02)
        self.heal()
        settled_s = self.cell.run_until(self.cell.settled, SETTLE_LIMIT_S, 0.1)
        self.check_updates()
        return settled_s

    def heal(self):
        self.fleet.heal()
        self.outages = 0
        self.store.down = False
        self.store.unreachable.clear()
        for part, name, _, _, normal in DISTURBANCES:
            setattr(getattr(self, part), name, normal)
        for name in self.cell.names:
            self.restart(name)
            self.fleet.resume(name)


def run_schedule(seed):
    """Run one schedule; return the time in seconds that the cell took to settle."""
    return Schedule(seed).run()


RUNS = SeededRuns("tests.membership.random_run", run_schedule)


def recovery_s(seed, kind):
    """Return the seconds until all homes act again after a loss in a healthy cell."""
    rng = random.Random(seed)
    names = [f"i-{n:02}" for n in range(MEMBERS)]
    cell = MemberFleet(MEMBERS, seed, {n: rng.uniform(0.99, 1.01) for n in names})
    cell.run_until(cell.settled, 10.0)
    cell.run(rng.uniform(1.0, 3.0))
    lead = cell.coordinators()[0]
    others = rng.sample([n for n in names if n != lead], 3)
    lost = LOSSES[kind](lead, others)
    if kind == "data centre":
        cell.fleet.partition(lost)
    else:
        for name in sorted(lost):
            cell.kill(name)
    return cell.run_until(lambda: cell.homed(set(names) - lost), 20.0, 0.02)


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def main():
    """Run schedules and print the failing seeds and the recovery times."""
    args = parser_of(__doc__, 1000).parse_args()
    passed = len(RUNS.check_each(args))
    if args.schedules >= 100:
        seeds = range(args.seed, args.seed + args.schedules)
        for kind in LOSSES:
            times = [recovery_s(seed, kind) for seed in seeds]
            p50, p99 = percentile(times, 0.5), percentile(times, 0.99)
            print(f"{kind} lost: p50 {p50:.2f} p99 {p99:.2f} max {max(times):.2f} s")
    return passed < args.schedules


if __name__ == "__main__":
    raise SystemExit(main())
