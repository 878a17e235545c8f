"""Progress messages on standard error while a command waits."""

import contextlib
import sys
from collections.abc import AsyncIterator

import anyio

from .const import PROGRESS_INTERVAL_S


@contextlib.asynccontextmanager
async def async_show_progress(target: str) -> AsyncIterator[None]:
    """Print what the command waits for, after each `PROGRESS_INTERVAL_S` of waiting."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_async_print_progress, target)
        yield
        tasks.cancel_scope.cancel()


async def _async_print_progress(target: str) -> None:
    waited_s = 0.0
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        waited_s += PROGRESS_INTERVAL_S
        print(f"waiting for {target}, {waited_s:.0f} s so far", file=sys.stderr)
