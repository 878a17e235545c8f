"""Seeded random schedules of faults: python -m tests.configuration.random_run."""

import functools

from tests.configuration.fleet import KeeperFleet
from tests.support_runs import SeededRuns, parser_of

SETTLE_LIMIT_S = 15.0


def lose_messages(run):
    run.fleet.lost_message_probability = run.rng.uniform(0.05, 0.3)


def lose_answers(run):
    run.store.lost_answer_probability = run.rng.uniform(0.1, 0.5)


def slow_store(run):
    # Calls take up to 1.5 times the latency; the client gives up after 0.5 s.
    run.store.latency_s = run.rng.uniform(0.05, 0.3)


def store_outage(run):
    run.store.down = True


def cut_coordinator_from_store(run):
    run.store.unreachable = {run.coordinator()}


def cut_some_from_store(run):
    run.store.unreachable = set(run.rng.sample(run.names, 3))


def partition(run):
    run.fleet.partition(set(run.rng.sample(run.names, run.rng.randint(1, 3))))


def kill_coordinator(run):
    name = run.coordinator()
    if name is not None:
        run.fleet.kill(name)
        run.fleet.call_later(run.rng.uniform(0.1, 3.0), lambda: run.start(name))


def restart_some(run):
    for name in run.rng.sample(run.names, run.rng.randint(1, 2)):
        run.start(name)


def pause_some(run):
    for name in run.rng.sample(run.names, run.rng.randint(1, 2)):
        if name in run.fleet.nodes:
            run.fleet.pause(name)


def write_invalid(run):
    run.write(run.rng.choice(["", "{", "{}", '{"deployment": "other"}', "[1]"]))


def write_again(run):
    run.write()
    run.write()


FAULTS = (
    lose_messages,
    lose_answers,
    slow_store,
    store_outage,
    cut_coordinator_from_store,
    cut_some_from_store,
    partition,
    kill_coordinator,
    restart_some,
    pause_some,
    write_invalid,
    write_again,
)


def heal(run):
    """End all faults."""
    run.fleet.heal()
    run.fleet.lost_message_probability = 0.0
    run.store.lost_answer_probability = 0.0
    run.store.latency_s = 0.002
    run.store.down = False
    run.store.unreachable = set()
    for name in run.names:
        run.fleet.resume(name)


def run_schedule(seed, phases=3, real_membership=False):
    """Run one schedule; raise when an invariant fails."""
    run = KeeperFleet(seed, real_membership=real_membership)
    run.run(run.rng.uniform(3.0, 6.0))
    for _ in range(phases):
        for fault in run.rng.sample(FAULTS, run.rng.randint(1, 2)):
            fault(run)
            run.run(run.rng.uniform(0.0, 1.0))
        if not run.store.down:
            run.write()
        run.run(run.rng.uniform(0.5, 5.0))
        heal(run)
        run.run(run.rng.uniform(0.0, 1.0))
        # Without a further change, only repair brings a lost push.
        if run.rng.random() < 0.5:
            run.write()
    run.run(0.2)
    run.run_until_settled(SETTLE_LIMIT_S)


RUNS = SeededRuns("tests.configuration.random_run", run_schedule)


def main():
    """Run schedules and print the failing seeds."""
    parser = parser_of(__doc__, 1000)
    parser.add_argument("--real-membership", action="store_true")
    args = parser.parse_args()
    if not args.real_membership:
        return len(RUNS.check_each(args)) < args.schedules
    run = functools.partial(run_schedule, real_membership=True)
    runs = SeededRuns(RUNS.module, run)
    return len(runs.check_each(args, "--real-membership")) < args.schedules


if __name__ == "__main__":
    raise SystemExit(main())
