"""Seeded random runs of permits under faults.

Long mode: `python -m tests.permits.random_run --seed N --schedules M`.
"""

import random

from tests.support_runs import SeededRuns, parser_of

from .fleet import ORGANISATIONS, SLOTS, PermitFleet

INSTANCES = 12
SERVERS = ("s-1", "s-2", "s-3")
FAULTS_END_S = 5.0
# Leases lapse and members rejoin (3.3 s), reserved permits come back (1 s) and the
# ramp ends (2 s).
SETTLED_S = FAULTS_END_S + 7.0
LOAD_END_S = SETTLED_S + 1.0
BURST_END_S = LOAD_END_S + 0.5
END_S = BURST_END_S + 2.5
# Above what the ramp allows at first and within what three servers can run.
REQUEST_RATE_PER_S = 70.0


class Schedule:
    """One schedule of load and faults."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = PermitFleet(seed, INSTANCES, SERVERS)
        self.faults = 0
        self.table = (
            self._lose,
            self._pause,
            self._partition,
            self._cut_coordinator,
            self._move_home,
            self._restart_server,
            self._restart_server,
            self._lose_messages,
        )

    def run(self):
        """Return the problems found."""
        fleet = self.fleet
        self._load()
        self._probes()
        fleet.call_later(1.0, self._fault)
        fleet.call_later(FAULTS_END_S, self._heal)
        fleet.call_later(LOAD_END_S, self._burst)
        fleet.run_until(SETTLED_S)
        for server in fleet.servers.values():
            server.peak = 0
        served = dict(fleet.served_to)
        fleet.run_until(END_S)
        return self._problems(served)

    def _problems(self, served):
        fleet = self.fleet
        problems = []
        if fleet.overload or fleet.overconnected:
            problems.append(f"over: {fleet.overload} {fleet.overconnected}")
        late = [d for d in fleet.deadline_denials(SETTLED_S) if d[0] < LOAD_END_S]
        if late:
            problems.append(f"starved {late[:3]}")
        gained = {o: 0 for o in ORGANISATIONS}
        for (_, organisation), count in fleet.served_to.items():
            gained[organisation] += count
        for (_, organisation), count in served.items():
            gained[organisation] -= count
        problems += [f"{o} got nothing" for o, count in gained.items() if not count]
        problems += [
            f"{s.name} reached {s.peak}"
            for s in fleet.servers.values()
            if s.peak < SLOTS
        ]
        return problems + self._leaks()

    def _leaks(self):
        leaks = []
        for name, row in self.fleet.nodes.items():
            permits = row.node.permits
            for held in permits.holder.rows.values():
                pool = self.fleet.pools.get((row, held.backend_server), [])
                if held.held or held.spare != len(pool):
                    leaks.append(f"{name} {held} pool {len(pool)}")
            for home in permits.home.partitions.values():
                leaks += [
                    f"home {name} {server.name} lends {server.outstanding}"
                    for server in home.rows.values()
                    if server.outstanding or server.unsettled
                ]
        return leaks

    def _load(self):
        fleet, rng = self.fleet, self.rng
        if fleet.now_s >= LOAD_END_S:
            return
        name = f"i-{min(rng.randrange(INSTANCES), rng.randrange(INSTANCES))}"
        organisation = rng.choice((*ORGANISATIONS, "large", "large"))
        slow = rng.random() < 0.03
        service_s = rng.uniform(0.4, 0.9) if slow else rng.uniform(0.005, 0.06)
        fleet.request(name, rng.choice(SERVERS), organisation, service_s)
        fleet.call_later(rng.expovariate(REQUEST_RATE_PER_S), self._load)

    def _probes(self):
        name, server = f"i-{self.rng.randrange(INSTANCES)}", self.rng.choice(SERVERS)
        if name in self.fleet.nodes:
            self.fleet.probe(name, server)
        self.fleet.call_later(0.3, self._probes)

    def _burst(self):
        for server in SERVERS:
            for n in range(4 * INSTANCES):
                self.fleet.request(f"i-{n % INSTANCES}", server, "mid", 0.03, 0.5)

    def _fault(self):
        if self.fleet.now_s >= FAULTS_END_S:
            return
        self.faults += 1
        self.rng.choice(self.table)()
        self.fleet.call_later(self.rng.uniform(0.1, 1.0), self._fault)

    def _name(self):
        return f"i-{self.rng.randrange(INSTANCES)}"

    def _later(self, low_s, high_s, callback):
        self.fleet.call_later(self.rng.uniform(low_s, high_s), callback)

    def _lose(self):
        name = self._name()
        if name in self.fleet.nodes:
            self.fleet.kill(name)
            self._later(0.1, 4.0, lambda: self._launch(name))

    def _launch(self, name):
        if name not in self.fleet.nodes:
            self.fleet.launch(name, self.rng.uniform(0.99, 1.01))

    def _pause(self):
        name = self._name()
        if name in self.fleet.nodes:
            self.fleet.pause(name)
            self._later(0.1, 4.0, lambda: self.fleet.resume(name))

    def _partition(self):
        count = self.rng.randrange(1, INSTANCES // 2)
        side = set(self.rng.sample(sorted(self.fleet.nodes), count))
        self.fleet.partition(side)
        if self.rng.random() < 0.5:
            self.fleet.coordinator.unreachable |= side
        self._later(0.2, 4.0, self._heal_cuts)

    def _cut_coordinator(self):
        self.fleet.coordinator.unreachable.add(self._name())
        self._later(0.2, 4.0, self._heal_cuts)

    def _heal_cuts(self):
        self.fleet.heal()
        self.fleet.coordinator.unreachable.clear()

    def _move_home(self):
        members = self.fleet.coordinator.table.members
        for partition in range(64):
            if members:
                target = self.rng.choice(members).instance
                self.fleet.coordinator.move_home(partition, target)

    def _restart_server(self):
        self.fleet.silent_closes = self.rng.choice((0.0, 0.5, 1.0))
        self.fleet.restart(self.rng.choice(SERVERS))

    def _lose_messages(self):
        self.fleet.lost_message_probability = self.rng.choice((0.0, 0.05, 0.3))

    def _heal(self):
        self._heal_cuts()
        self.fleet.lost_message_probability = 0.0
        for name in [f"i-{n}" for n in range(INSTANCES)]:
            self._launch(name)
            self.fleet.resume(name)


def run_schedule(seed):
    """Run one schedule; raise if it finds a problem."""
    schedule = Schedule(seed)
    problems = schedule.run()
    assert not problems, problems
    return schedule


RUNS = SeededRuns("tests.permits.random_run", run_schedule)


def main():
    """Run schedules and print their totals."""
    args = parser_of(__doc__, 200).parse_args()
    fleets = [schedule.fleet for schedule in RUNS.check_each(args)]
    for name in ("served", "excused", "messages"):
        print(name, sum(getattr(fleet, name) for fleet in fleets))
    return len(fleets) < args.schedules


if __name__ == "__main__":
    raise SystemExit(main())
