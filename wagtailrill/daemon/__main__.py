"""Command `wagtailrilld`."""

import argparse
import sys
from pathlib import Path

import anyio

from ..settings.parse import parse
from .process import async_run_instance

EXIT_FINDINGS = 1
EXIT_USAGE = 2


def main() -> int:
    """Run one instance until it is stopped; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="wagtailrilld",
        description="Run one wagtailrill instance.",
        epilog="example: wagtailrilld --settings instance-01.json",
    )
    parser.add_argument("--settings", type=Path, required=True, help="settings file")
    args = parser.parse_args()
    try:
        text = args.settings.read_bytes()
    except OSError as exc:
        print(f"cannot read {args.settings}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    result = parse(text)
    if result.is_error():
        for finding in result.error:
            print(f"{args.settings}: {finding}", file=sys.stderr)
        return EXIT_FINDINGS
    anyio.run(async_run_instance, result.ok)
    return 0


if __name__ == "__main__":
    sys.exit(main())
