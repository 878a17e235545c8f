"""Command `wagtailrilld`: reads a settings file and runs one instance."""

import argparse
import sys
from pathlib import Path

import anyio

from ..native.assembly import make_process_settings
from ..observability.logs import configure_logs
from ..runtime.allocator import map_large_blocks
from ..runtime.process import Process
from ..settings.models import InstanceSettings
from ..settings.parse import parse_settings

EXIT_FINDINGS = 1
EXIT_USAGE = 2


async def async_run_instance(cfg: InstanceSettings) -> None:
    """Run one instance until a planned stop has ended."""
    writer = configure_logs(cfg.log_level, cfg.instance)
    await Process(make_process_settings(cfg), writer).async_run()


def main() -> int:
    """Parse the arguments and run one instance; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="wagtailrilld",
        description="Run one wagtailrill instance.",
        epilog="example: wagtailrilld --settings instance-01.json",
    )
    parser.add_argument("--settings", type=Path, required=True, help="settings file")
    args = parser.parse_args()
    try:
        content = args.settings.read_bytes()
    except OSError as exc:
        print(f"cannot read {args.settings}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    result = parse_settings(content)
    if result.is_error():
        for finding in result.error:
            print(f"{args.settings}: {finding}", file=sys.stderr)
        return EXIT_FINDINGS
    map_large_blocks()
    anyio.run(async_run_instance, result.ok)
    return 0


if __name__ == "__main__":
    sys.exit(main())
