"""Entry point of `wagtailrill-load`: sends load to instances, prints a summary."""

import argparse
import json
import sys
from pathlib import Path

import anyio

from ..declaration.parse import parse_declaration
from .models import LoadSettings
from .report import format_table, summarise_results
from .runner import LoadRunner

EXIT_FINDINGS = 1


def main() -> int:
    """Run a load test and print its summary; return the exit status."""
    args = _make_parser().parse_args()
    declaration = parse_declaration(args.declaration.read_bytes())
    if declaration.is_error():
        for finding in declaration.error:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    tenant_keys = json.loads(args.tenant_keys.read_bytes())["tenant_keys"]
    cfg = LoadSettings(
        targets=tuple(args.target),
        rate_per_s=args.rate,
        duration_s=args.seconds,
        seed=args.seed,
        tenant_keys=tenant_keys,
        services=frozenset(args.service),
    )
    runner = LoadRunner(cfg, declaration.ok)
    summary = summarise_results(anyio.run(runner.async_run))
    print(json.dumps(summary) if args.json else format_table(summary))
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="wagtailrill-load",
        description="Send requests to instances with an open-loop arrival process.",
    )
    add = parser.add_argument
    add("--declaration", type=Path, required=True, help="services declaration")
    add("--tenant-keys", type=Path, required=True, help="clear tenant keys (JSON)")
    add(
        "--target",
        action="append",
        required=True,
        help="caller address of an instance, repeatable",
    )
    add("--service", action="append", default=[], help="only this service, repeatable")
    add("--rate", type=float, default=100.0, help="requests per second")
    add("--seconds", type=float, default=10.0, help="duration in seconds")
    add("--seed", type=int, default=1, help="seed of the random plan")
    add("--json", action="store_true", help="print the summary as JSON")
    return parser


if __name__ == "__main__":
    sys.exit(main())
