"""Seeded random runs of the limits with faults on a virtual clock."""

import random

from tests.support_runs import SeededRuns, parser_of
from wagtailrill.limits.models import LimitSettings
from wagtailrill.partitions.directory import partition_of
from wagtailrill.stand_ins.limits_bound import assert_bound
from wagtailrill.stand_ins.limits_cell import LimitsCell, Take

DURATION_S = 8.0
# Bursts are small against the rates, so that little can hide in them.
LIMITS = {"large": (120.0, 24.0), "small": (15.0, 4.0), "tiny": (2.0, 1.0)}

FAULTS = (
    "isolate", "pause", "restart", "kill_home", "move_homes", "change_limits",
    "flip", "storm",
)  # fmt: skip


class Schedule:
    """One run: traffic above the rate from uneven callers, and random faults."""

    def __init__(self, seed, only=()):
        self.rng = random.Random(seed)
        settings = LimitSettings(shared_tokens_min=self.rng.choice((1.0, 1.0, 8.0)))
        self.cell = LimitsCell(seed, dict(LIMITS), settings=settings)
        self.fleet = self.cell.fleet
        self.names = list(self.fleet.nodes)
        self.busy = self.rng.sample(self.names, 3)
        self.fleet.lost_message_probability = self.rng.choice((0.0, 0.02, 0.2))
        names = only or FAULTS
        self.faults = [getattr(self, name) for name in names]

    def run(self):
        self.traffic()
        for _ in range(self.rng.randint(3, 8)):
            fault = self.rng.choice(self.faults)
            self.fleet.call_later(self.rng.uniform(0.3, DURATION_S - 1.0), fault)
        self.fleet.run_until(DURATION_S)
        assert_bound(self.cell)
        return self.cell

    def traffic(self):
        name = self.rng.choice([*self.busy, self.rng.choice(self.names)])
        organisation = self.rng.choice(("large", "large", "small", "tiny"))
        count = self.rng.randint(1, 14) if organisation == "large" else 2
        self.fleet.deliver(name, Take(organisation, count), 0.0)
        self.fleet.call_later(self.rng.expovariate(50.0), self.traffic)

    def flip(self):
        self.busy = self.rng.sample(self.names, 3)

    def isolate(self):
        side = self.rng.sample(self.names, self.rng.randint(1, 3))
        self.cell.isolate([*side, self.rng.choice(self.busy)])
        delay_s = self.rng.choice((0.2, 2.0, 3.5, 5.0))
        self.fleet.call_later(delay_s, self.cell.heal)

    def storm(self):
        """Move the homes of the organisations again and again."""
        for step in range(10):
            self.fleet.call_later(step * 0.25, self.move_organisations)

    def move_organisations(self):
        members = sorted(self.cell.last_beat_s, key=str)
        for name in LIMITS if members else ():
            partition = partition_of("organisation", name)
            self.cell.move_home(partition, self.rng.choice(members).instance)
        self.cell.push()

    def pause(self):
        name = self.rng.choice(self.names)
        if name in self.fleet.nodes:
            self.fleet.pause(name)
            delay_s = self.rng.choice((0.05, 1.0, 2.7, 3.5))
            self.fleet.call_later(delay_s, lambda: self.fleet.resume(name))

    def restart(self, name=None):
        name = name or self.rng.choice(self.names)
        self.fleet.kill(name)
        self.cell.version_changed()
        self.fleet.call_later(self.rng.uniform(0.0, 2.0), lambda: self.cell.start(name))

    def kill_home(self):
        self.restart(self.rng.choice(self.cell.homes).instance)

    def move_homes(self):
        for partition in range(len(self.cell.homes)):
            members = tuple(self.cell.last_beat_s)
            if members and self.rng.random() < 0.5:
                self.cell.move_home(partition, self.rng.choice(members).instance)
        self.cell.push()

    def change_limits(self):
        factor = self.rng.choice((0.25, 0.5, 1.5, 3.0))
        version = max(self.cell.configurations) + 1
        self.cell.configurations[version] = {
            name: (rate * factor, burst * factor)
            for name, (rate, burst) in LIMITS.items()
        }
        for name in self.names:
            self.cell.configure(name, version, self.rng.uniform(0.0, 1.5))


RUNS = SeededRuns("tests.limits.random_run", lambda seed: Schedule(seed).run())


def main():
    """Run schedules and print the failing seeds."""
    args = parser_of(__doc__, 300).parse_args()
    return len(RUNS.check_each(args)) < args.schedules


if __name__ == "__main__":
    raise SystemExit(main())
