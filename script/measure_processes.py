"""A small form of the data centre measure with real processes on loopback."""

import functools
import json
import time
from typing import Final

import anyio
import anyio.to_thread
from fleet import Fleet, fetch

from wagtailrill.load_tool.models import LoadResult, LoadSettings
from wagtailrill.load_tool.runner import LoadRunner
from wagtailrill.measure.arithmetic import latency_figures, ratio
from wagtailrill.measure.models import Figures

# A new home refuses idempotency keys that were issued before it could know them.
SETTLE_S: Final = 3.0
RATE_PER_S: Final = 100.0
INSTANCE_COUNT: Final = 4
DURATION_S: Final = 12.0
OUT_S: Final = 2.0
IN_S: Final = 8.0


def measure_processes(deployment: str, seed: int) -> Figures:
    """Take a data centre out and back under load; compare with a run without it."""
    fleet = Fleet(deployment, INSTANCE_COUNT)
    try:
        fleet.start()
        time.sleep(SETTLE_S)
        usual = anyio.run(_async_run, fleet, seed, False)
        changed = anyio.run(_async_run, fleet, seed + 1, True)
        counts = [
            fetch(server.address, "/-/counts")[1]
            for service in fleet.declaration.services
            for server in service.backend_servers
        ]
    finally:
        fleet.stop()
    figures = {**_figures(usual, "usual_"), **_figures(changed, "changed_")}
    figures["p99_ratio"] = ratio(figures["changed_p99_ms"], figures["usual_p99_ms"])
    for name in ("duplicates", "overloads"):
        figures[name] = float(sum(c[name] for c in counts))
    figures["crossed"] = float(sum(r.crossed for r in usual + changed))
    return figures


async def _async_run(fleet: Fleet, seed: int, change: bool) -> list[LoadResult]:
    keys = json.loads(fleet.keys_file.read_bytes())["tenant_keys"]
    organisations = fleet.declaration.organisations
    cfg = LoadSettings(
        targets=tuple(fleet.callers),
        rate_per_s=RATE_PER_S,
        duration_s=DURATION_S,
        seed=seed,
        tenant_keys=keys,
        organisation_shares={o.name: o.rate_per_s for o in organisations},
    )
    runner = LoadRunner(cfg, fleet.declaration)
    async with anyio.create_task_group() as tasks:
        if change:
            tasks.start_soon(_async_change, fleet)
        tasks.start_soon(runner.async_run)
    return runner.results


async def _async_change(fleet: Fleet) -> None:
    name = fleet.declaration.data_centres[-1].name
    common = ("--store", fleet.store, "--deployment", fleet.declaration.deployment)
    await anyio.sleep(OUT_S)
    for state, wait_s in (("out", IN_S - OUT_S), ("in", 0.0)):
        command = functools.partial(fleet.control, *common, "data-centre", state, name)
        await anyio.to_thread.run_sync(command)
        await anyio.sleep(wait_s)


def _figures(results: list[LoadResult], prefix: str) -> Figures:
    answered = [r.latency_s for r in results if r.code == "answered"]
    return {
        f"{prefix}requests": float(len(results)),
        f"{prefix}success": ratio(len(answered), len(results)),
        **latency_figures(answered, prefix),
    }
