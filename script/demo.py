"""Runs an example deployment on loopback under load and prints a table."""

import argparse
import collections
import json
import sys
import time

import anyio
from fleet import Fleet, fetch_json

from wagtailrill.load_tool.models import LoadResult, LoadSettings
from wagtailrill.load_tool.report import format_table, summarise_results
from wagtailrill.load_tool.runner import LoadRunner


def run_load(
    fleet: Fleet, rate_per_s: float, duration_s: float, seed: int
) -> list[LoadResult]:
    """Send requests to all instances and return the results."""
    keys = json.loads(fleet.keys_file.read_bytes())["tenant_keys"]
    cfg = LoadSettings(
        targets=tuple(fleet.caller_addresses),
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        seed=seed,
        tenant_keys=keys,
        organisation_shares={
            o.name: o.rate_per_s for o in fleet.declaration.organisations
        },
    )
    return anyio.run(LoadRunner(cfg, fleet.declaration).async_run)


def sum_backend_counts(fleet: Fleet) -> collections.Counter[str]:
    """Return the counts of all backend servers, summed by name."""
    totals = collections.Counter()
    for service in fleet.declaration.services:
        for server in service.backend_servers:
            _, counts = fetch_json(server.address, "/-/counts")
            totals.update(counts or {})
    return totals


def describe_key_owners(fleet: Fleet) -> list[str]:
    """Return a line for each keyed service: how many of 200 keys each owner holds."""
    lines = []
    admin_address = fleet.settings[0].admin_address
    for service in fleet.declaration.services:
        if not service.keyed:
            continue
        keys_by_owner = collections.Counter()
        for number in range(200):
            path = f"/explain-key?service={service.name}&key=k{number}"
            keys_by_owner[fetch_json(admin_address, path)[1]["owner"]] += 1
        distribution = ", ".join(
            f"{name} {key_count}" for name, key_count in sorted(keys_by_owner.items())
        )
        lines.append(f"owners of 200 keys of {service.name}: {distribution}")
    return lines


def main() -> int:
    """Run the demo; return 0 if its result passes all checks, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", nargs="?", default="piraeus")
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    fleet = Fleet(args.deployment, args.instances)
    started_s = time.monotonic()
    try:
        fleet.start_all_processes()
        print(f"{args.deployment}: {args.instances} instances ready after ", end="")
        print(f"{time.monotonic() - started_s:.1f} s")
        results = run_load(fleet, args.rate, args.seconds, args.seed)
        counts = sum_backend_counts(fleet)
        print(format_table(summarise_results(results)))
        print("\n".join(describe_key_owners(fleet)))
    finally:
        fleet.stop_processes()
    refused = [r for r in results if r.code != "answered"]
    crossed_answers = sum(r.crossed for r in results)
    answered_ratio = 1.0 - len(refused) / max(len(results), 1)
    print(f"answered {answered_ratio:.2%}, crossed answers {crossed_answers}")
    print(f"requests run twice {counts['duplicates']}, ", end="")
    print(f"requests beyond what a cold server bears {counts['cold_overloads']}")
    passed = (
        crossed_answers == 0 and counts["duplicates"] == 0 and answered_ratio >= 0.95
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
