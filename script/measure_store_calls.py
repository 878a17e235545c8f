"""Measures what instances ask of the store, quiet and in trouble, on the virtual clock.

Prints for each scenario the weighted calls an instance and second, and their kinds. A
renewal of a lease and a list that may be stale count a tenth.
"""

import argparse
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.runs.store_load import SCENARIOS, WINDOW_S, StoreLoad


def main() -> None:
    """Print a JSON line for each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=24)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS))
    args = parser.parse_args()
    for name in args.scenarios:
        load = StoreLoad(args.seed, args.instances, args.servers)
        cost = load.measure(SCENARIOS[name])
        divisor = len(load.run.fleet.nodes) * WINDOW_S
        kinds = {
            kind: round(value / divisor, 3)
            for kind, value in load.counts.cost_by_kind.most_common()
        }
        line = {"scenario": name, "instances": args.instances, "cost": round(cost, 3)}
        print(json.dumps(line | {"kinds": kinds}), flush=True)


if __name__ == "__main__":
    main()
