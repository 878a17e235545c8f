"""Measures both example deployments beside a plain router and prints tables."""

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from wagtailrill.measure import (
    data_centre,
    noisy,
    ownership_loss,
    stragglers,
    wrongful,
)
from wagtailrill.measure.fleet import load_example
from wagtailrill.measure.models import Example, Measured, RouterKind
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
    parser.add_argument("--json", type=Path, default=ROOT / "results/measure.json")
    return parser.parse_args()


def main() -> int:
    """Run the measures; missed targets are printed and do not fail the run."""
    args = parse_arguments()
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
