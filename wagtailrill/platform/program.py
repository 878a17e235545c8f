"""Command that runs one instance on the platform."""

import gc
import os
import sys
from pathlib import Path
from typing import Final

import anyio

from ..observability.logs import configure_logs
from ..runtime.allocator import map_large_blocks
from ..runtime.process import Process
from ..settings.models import LogLevel
from .assembly import make_process_settings
from .settings import PlatformSettings, parse_settings

SETTINGS_VARIABLE: Final = "WAGTAILRILL_CONFIG"
EXIT_USAGE: Final = 2


async def async_run_instance(path: Path, cfg: PlatformSettings) -> None:
    """Run one instance until a planned stop has ended."""
    writer = configure_logs(LogLevel.INFO, cfg.instance)
    await Process(make_process_settings(path, cfg), writer).async_run()


def main() -> int:
    """Read the settings file and run one instance; return the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        result = parse_settings(path.read_bytes())
    except OSError as exc:
        print(f"cannot read {path}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    if result.is_error():
        print(f"{path}: {result.error}", file=sys.stderr)
        return EXIT_USAGE
    map_large_blocks()
    gc.freeze()
    gc.enable()
    anyio.run(async_run_instance, path, result.ok)
    return 0
