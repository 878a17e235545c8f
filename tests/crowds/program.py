"""Runs one process with lowered limits against stand-ins, and observes its size."""

import json
import random
import resource
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import attrs
import httpcore

from tests.platform.test_program import (
    ROOT,
    RunningProgram,
    make_configuration,
    make_settings,
)
from tests.ports import find_free_port
from wagtailrill.stand_ins.backend_server import (
    PLATFORM,
    BackendApplication,
    async_announce_server,
    make_backend_server,
)
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.server_model import ServerModel, ServerModelSettings
from wagtailrill.stand_ins.store import StoreStandIn

BYTES_PER_KB = 1024
LARGE_PATH = "/y/large"
LARGE_BODY_BYTES = 500_000
SAMPLE_INTERVAL_S = 0.05


@attrs.frozen
class MachineLimits:
    """Memory in MB (10^6 bytes) and descriptors of the machine that the test states."""

    memory_mb: int = 120
    descriptors: int = 1_000


class LargeAnswerApplication(BackendApplication):
    """Backend server whose answers on one path are large."""

    async def _async_send_json(self, send, status, answer, headers=()):
        if answer.get("path") == LARGE_PATH:
            answer["fill"] = "x" * LARGE_BODY_BYTES
        await super()._async_send_json(send, status, answer, headers)


@attrs.define
class Peak:
    """Largest number of descriptors that a process had, and its peak memory."""

    pid: int
    descriptors: int = 0

    def sample(self) -> None:
        count = len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        self.descriptors = max(self.descriptors, count)

    def read_memory_bytes(self) -> int:
        text = Path(f"/proc/{self.pid}/status").read_text()
        (line,) = [n for n in text.splitlines() if n.startswith("VmHWM:")]
        return int(line.split()[1]) * BYTES_PER_KB

    async def async_sample_for(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_S)


def make_single_service_configuration() -> bytes:
    """Return a configuration whose route `/y/` leads to the service `box` alone."""
    fields = json.loads(make_configuration())
    fields["routes"]["rows"][1][10] = [{"service": "box", "weight": 100}]
    return json.dumps(fields).encode()


def write_settings(file: Path, store: str, ports, limits: MachineLimits) -> None:
    text = make_settings(store, ports, "10s")
    text = text.replace("memory_mb = 300", f"memory_mb = {limits.memory_mb}")
    file.write_text(text.replace("max_fds = 4100", f"max_fds = {limits.descriptors}"))


def serve_stand_in(app):
    """Return a context manager that serves a backend server; it yields the address."""
    return async_serve(app, make_backend_server(app))


async def async_run(
    tmp_path, limits: MachineLimits, scenario, serve=serve_stand_in
) -> None:
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(async_serve(StoreStandIn()))
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        tasks = await stack.enter_async_context(anyio.create_task_group())
        cfg = ServerModelSettings("box-1", "box")
        app = LargeAnswerApplication(
            ServerModel(cfg, random.Random(1), time.monotonic()), PLATFORM
        )
        address = await stack.enter_async_context(serve(app))
        tasks.start_soon(async_announce_server, app, address, "north", store)
        ports = {name: find_free_port() for name in ("front", "ready", "peer")}
        file = tmp_path / "node.toml"
        write_settings(file, store, ports, limits)
        process = subprocess.Popen(
            [sys.executable, "-m", "wagtailrill.platform"],
            cwd=ROOT,
            env={"WAGTAILRILL_CONFIG": str(file), "PATH": ""},
            stdout=(tmp_path / "out.log").open("wb"),
        )
        count = limits.descriptors
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (count, count))
        program = RunningProgram(store, ports, process, {"box": app}, pool)
        try:
            await program.async_write_key(
                "op/config", make_single_service_configuration()
            )
            await program.async_wait_until_ready()
            await program.async_wait_until_served("/y/1", ())
            await scenario(program, Peak(process.pid))
        finally:
            process.kill()
            process.wait()
            tasks.cancel_scope.cancel()


def run_scenario(tmp_path, scenario, limits: MachineLimits | None = None) -> None:
    anyio.run(async_run, tmp_path, limits or MachineLimits(), scenario)
