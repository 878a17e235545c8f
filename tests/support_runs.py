"""Command line of the seeded random runs, and the command that repeats a failure."""

import argparse
import traceback

import attrs


@attrs.frozen
class SeededRuns:
    """Schedules of a module; `run` takes a seed and raises when a check fails."""

    module: str
    run: object

    def check(self, seed, *options):
        """Run one schedule; a failure names the command that repeats it."""
        try:
            return self.run(seed)
        except Exception as exc:
            command = f"PYTHONHASHSEED=0 python -m {self.module} --seed {seed}"
            repeat = " ".join((command, "--schedules 1", *options))
            raise AssertionError(f"{exc!r}\nrepeat with: {repeat}") from exc

    def check_all(self, first, count):
        """Run schedules until one fails; return their results."""
        return [self.check(seed) for seed in range(first, first + count)]

    def check_each(self, args, *options):
        """Run all schedules, print the failures, and return the other results."""
        results = []
        for seed in range(args.seed, args.seed + args.schedules):
            try:
                results.append(self.check(seed, *options))
            except AssertionError as exc:
                if args.schedules == 1:
                    traceback.print_exception(exc)
                print(exc, flush=True)
        print(f"{args.schedules} schedules, {args.schedules - len(results)} failed")
        return results


def parser_of(description, schedules):
    """Return a parser with the options that all runs have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=schedules)
    return parser
