"""Random runs: `python -m tests.runs.random_run --seed 1 --runs 100`."""

import argparse
import sys
from typing import Final

import attrs

from . import checks
from .deployment import Deployment
from .faults import FAULTS

LOAD_PER_S: Final = 60.0
FAULTS_FROM_S: Final = 8.0
FAULTS_TO_S: Final = 20.0
# The last fault lasts up to 10 s; afterwards everything is served again.
CALM_FROM_S: Final = 38.0
END_S: Final = 44.0
SERVED_PART_MIN: Final = 0.95


@attrs.frozen
class RunResult:
    """What a run has broken, and the faults that it had."""

    seed: int
    faults: tuple[tuple[float, str], ...]
    violations: tuple[str, ...]


def random_run(seed: int, kinds: tuple[str, ...] = tuple(FAULTS)) -> RunResult:
    """Run a deployment with random faults of some kinds."""
    run = Deployment(seed)
    run.start()
    run.load(LOAD_PER_S, END_S - 2.0)
    plan = sorted(
        (run.rng.uniform(FAULTS_FROM_S, FAULTS_TO_S), run.rng.choice(kinds))
        for _ in range(run.rng.randint(1, 8))
    )
    for at_s, kind in plan:
        run.fleet.run_until(at_s)
        FAULTS[kind](run)
    run.fleet.run_until(END_S)
    found = checks.violations(run) + checks.extra_arrivals(run)
    found += checks.unanswered(run, END_S)
    served = checks.served_part(run, CALM_FROM_S)
    if served < SERVED_PART_MIN:
        found.append(f"only {served:.0%} served after the faults")
    return RunResult(seed, tuple(plan), tuple(found))


def main() -> int:
    """Run some seeds; return 0 if none has broken anything."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--fault", action="append", choices=sorted(FAULTS))
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.runs):
        result = random_run(seed, tuple(args.fault or FAULTS))
        if result.violations:
            failed += 1
            print(f"seed {seed}: {[(round(t, 1), k) for t, k in result.faults]}")
            for violation in result.violations[:8]:
                print(f"    {violation}")
    print(f"{args.runs} runs, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
