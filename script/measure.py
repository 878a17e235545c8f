"""Measures both example deployments beside a plain router and prints tables."""

import argparse
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from measure_processes import measure_processes

from wagtailrill.measure import (
    data_centre,
    noisy,
    ownership_loss,
    stragglers,
    wrongful,
)
from wagtailrill.measure.fleet import load_example
from wagtailrill.measure.models import Example, Figures, Measured, RouterKind
from wagtailrill.measure.report import table, write_json

ROOT: Final = Path(__file__).resolve().parent.parent
DEPLOYMENTS: Final = ("piraeus", "railcard")
Measure = Callable[[Example, RouterKind, list[int]], Measured]
MEASURES: Final[dict[str, Measure]] = {
    module.NAME: module.measure
    for module in (ownership_loss, data_centre, stragglers, noisy, wrongful)
}


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int, default=[1])
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--measure", choices=list(MEASURES), action="append")
    parser.add_argument(
        "--processes", action="store_true", help="a small run with real processes"
    )
    parser.add_argument("--json", type=Path, default=ROOT / "results/measure.json")
    return parser.parse_args()


def run_processes(args: argparse.Namespace) -> int:
    """Print the figures of real processes."""
    figures_by_deployment: dict[str, Figures] = {}
    for deployment in args.deployment or DEPLOYMENTS:
        figures = measure_processes(deployment, args.seeds[0])
        figures_by_deployment[deployment] = figures
        print(f"{deployment}: data_centre, real processes")
        for name, value in figures.items():
            print(f"  {name:26}{value:>14.5g}")
    args.json.parent.mkdir(parents=True, exist_ok=True)
    args.json.write_text(json.dumps(figures_by_deployment, indent=2) + "\n")
    return 0


def main() -> int:
    """Run the measures; missed targets are printed and do not fail the run."""
    args = parse_arguments()
    if args.processes:
        return run_processes(args)
    rows: list[Measured] = []
    for deployment in args.deployment or DEPLOYMENTS:
        example = load_example(ROOT, deployment)
        for name in args.measure or MEASURES:
            started_s = time.monotonic()
            pair = [MEASURES[name](example, kind, args.seeds) for kind in RouterKind]
            rows += pair
            print(table(pair))
            print(f"  took {time.monotonic() - started_s:.1f} s\n", flush=True)
    write_json(args.json, args.seeds, rows)
    print(f"figures are in {args.json.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
