"""Progress messages on standard error."""

import contextlib
import sys
from collections.abc import AsyncIterator

import anyio

from .const import PROGRESS_AFTER_S


@contextlib.asynccontextmanager
async def async_progress(what: str) -> AsyncIterator[None]:
    """Say on standard error what is waited for, after each second of waiting."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_async_report, what)
        yield
        tasks.cancel_scope.cancel()


async def _async_report(what: str) -> None:
    waited_s = 0.0
    while True:
        await anyio.sleep(PROGRESS_AFTER_S)
        waited_s += PROGRESS_AFTER_S
        print(f"waiting for {what}, {waited_s:.0f} s so far", file=sys.stderr)
