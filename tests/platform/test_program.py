"""Runs the program with the platform's settings against the stand-ins.

Guards what only a whole process shows: its start, readiness, listeners for requests
and administration, and planned stop.
"""

import base64
import json
import random
import signal
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import attrs
import httpcore
import pytest

from wagtailrill.stand_ins.backend_server import (
    PLATFORM,
    BackendApplication,
    async_announce_server,
    make_backend_server,
)
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.server_model import ServerModel, ServerModelSettings
from wagtailrill.stand_ins.store import WRITE_PATH, StoreStandIn

from ..ports import find_free_port
from .test_decoders import CONFIGURATION

ROOT = Path(__file__).parents[2]
KEYED_BY_SERVICE = {"desk": False, "box": False, "roll": True}
CREDENTIAL = b"Bearer k1"
HOST_BY_PREFIX = {"/x/": b"a.example", "/y/": b"b.example", "/z/": b"b.example"}
# The start alone took 9 s with twelve other busy processes on six cores.
WAIT_MAX_S = 60.0


def make_settings(store: str, ports: dict[str, int], grace: str) -> str:
    return f"""
node = "n-1"
zone = "north"
region = "sea"
ip = "127.0.0.1"
internal_ports = [{ports["peer"]},{ports["peer"]}]
heartbeat = "500ms"
bounds = [
  "drain=2s","grace={grace}","quota_over=0.1","quota_slack=20","budget_slack=20"
]
[zones]
north = "sea"
[listen]
front = "127.0.0.1:{ports["front"]}"
ready = "127.0.0.1:{ports["ready"]}"
[limits]
cpu_share = 1.0
memory_mb = 300
max_fds = 4100
[platform]
address = "{store}"
"""


def make_configuration() -> bytes:
    """Return the operator's configuration with a route to each service."""
    fields = json.loads(json.dumps(CONFIGURATION))
    rows = fields["routes"]["rows"]
    rows[1][7], rows[1][10] = "box", None
    rows.append(
        [
            *("r-3", "b.example", "/z/", "safe", "800ms", "400ms"),
            *(2, "roll", 2, False, None),
        ]
    )
    return json.dumps(fields).encode()


@attrs.define
class RunningProgram:
    """The program under test and the stand-ins that it uses."""

    store: str
    ports: dict[str, int]
    process: subprocess.Popen
    apps: dict[str, BackendApplication]
    pool: httpcore.AsyncConnectionPool

    async def async_send_request(
        self, method, path, headers=(), content=b"", port="front"
    ):
        url = f"http://127.0.0.1:{self.ports[port]}{path}"
        host = HOST_BY_PREFIX.get(path[:3], b"127.0.0.1")
        all_headers = [(b"host", host), (b"request-id", b"q-1"), *headers]
        return await self.pool.request(
            method, url, headers=all_headers, content=content
        )

    async def async_write_key(self, key: str, value: bytes) -> None:
        fields = {"key": key, "value": base64.b64encode(value).decode()}
        url = f"http://{self.store}{WRITE_PATH}"
        await self.pool.request("PUT", url, content=json.dumps(fields).encode())

    async def async_wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + WAIT_MAX_S
        while time.monotonic() < deadline_s:
            try:
                if (
                    await self.async_send_request("GET", "/ready", port="ready")
                ).status == 200:
                    return
            except (httpcore.ConnectError, httpcore.RemoteProtocolError):
                pass
            await anyio.sleep(0.05)
        pytest.fail("the program is not ready")

    async def async_wait_until_served(self, path: str, headers) -> None:
        deadline_s = time.monotonic() + WAIT_MAX_S
        while time.monotonic() < deadline_s:
            if (await self.async_send_request("GET", path, headers)).status == 200:
                return
            await anyio.sleep(0.1)
        pytest.fail(f"{path} is not served")


async def async_run_scenario(tmp_path, scenario, grace="10s"):
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(async_serve(StoreStandIn()))
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        tasks = await stack.enter_async_context(anyio.create_task_group())
        apps = {}
        for service, keyed in KEYED_BY_SERVICE.items():
            cfg = ServerModelSettings(f"{service}-1", service, keyed=keyed)
            model = ServerModel(cfg, random.Random(1), time.monotonic())
            app = BackendApplication(model, PLATFORM)
            server = async_serve(app, make_backend_server(app))
            address = await stack.enter_async_context(server)
            tasks.start_soon(async_announce_server, app, address, "north", store)
            apps[service] = app
        ports = {name: find_free_port() for name in ("front", "ready", "peer")}
        file = tmp_path / "node.toml"
        file.write_text(make_settings(store, ports, grace))
        process = subprocess.Popen(
            [sys.executable, "-m", "wagtailrill.platform"],
            cwd=ROOT,
            env={"WAGTAILRILL_CONFIG": str(file), "PATH": ""},
            stdout=(tmp_path / "out.log").open("wb"),
        )
        program = RunningProgram(store, ports, process, apps, pool)
        try:
            await scenario(program)
        finally:
            process.kill()
            process.wait()
            tasks.cancel_scope.cancel()


def run_scenario(tmp_path, scenario):
    anyio.run(async_run_scenario, tmp_path, scenario)


def test_each_kind_of_request_is_served_until_a_planned_stop(tmp_path):
    """Guards against a program that starts but cannot serve some kind of request.

    It also has to keep serving during a planned stop, and never log a tenant key.
    """

    async def scenario(program):
        await program.async_write_key("op/config", make_configuration())
        await program.async_wait_until_ready()
        await program.async_wait_until_served("/y/1", ())
        keyed_headers = [(b"authorization", CREDENTIAL), (b"shard-key", b"77")]
        await program.async_wait_until_served("/z/1", keyed_headers)
        answer = await program.async_send_request(
            "POST",
            "/x/1",
            [(b"authorization", CREDENTIAL), (b"deadline-ms", b"900")],
            b"{}",
        )
        assert answer.status == 200
        headers = dict((n.lower(), v) for n, v in answer.headers)
        assert headers[b"request-id"] == b"q-1"
        assert b"upstream-signature" in headers
        fields = json.loads(answer.content)
        assert fields["organisation"] == "lines"
        assert "k1" not in answer.content.decode()
        assert (
            await program.async_send_request("POST", "/x/1", content=b"{}")
        ).status == 401
        unknown_credential = [(b"authorization", b"Bearer nobody")]
        assert (
            await program.async_send_request("POST", "/x/1", unknown_credential)
        ).status == 401
        assert (await program.async_send_request("GET", "/none/1")).status == 404
        metrics = await program.async_send_request("GET", "/metrics", port="ready")
        assert b"wagtailrill_answers_total" in metrics.content
        program.process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert (
            await program.async_send_request("GET", "/ready", port="ready")
        ).status == 503
        assert (await program.async_send_request("GET", "/y/1")).status == 200
        with anyio.fail_after(WAIT_MAX_S):
            while program.process.poll() is None:
                await anyio.sleep(0.05)
        assert program.process.returncode == 0

    run_scenario(tmp_path, scenario)
    lines = [
        json.loads(line) for line in (tmp_path / "out.log").read_text().splitlines()
    ]
    assert {"started", "stop_requested", "stopped"} <= {line["event"] for line in lines}
    assert not any(
        line["event"] in ("step_failed", "command_failed", "invariant_violated")
        for line in lines
    )
    assert "k1" not in (tmp_path / "out.log").read_text().replace('"k1', "")


def test_requests_get_503_until_a_valid_configuration_arrives(tmp_path):
    """Guards against 404 or 401 from a program that has no configuration yet."""

    async def scenario(program):
        deadline_s = time.monotonic() + WAIT_MAX_S
        answer = None
        while answer is None and time.monotonic() < deadline_s:
            try:
                answer = await program.async_send_request("GET", "/y/1")
            except httpcore.ConnectError:
                await anyio.sleep(0.05)
        assert answer is not None
        assert answer.status == 503
        # The configuration may allow more than the limits of the start.
        large_header = [(b"x-a", b"a" * 20_000)]
        answer = await program.async_send_request("GET", "/y/1", large_header)
        assert answer.status == 503
        assert (
            await program.async_send_request("GET", "/ready", port="ready")
        ).status == 503
        await program.async_write_key("op/config", b'{"version": "r1", "routes": 5}')
        await anyio.sleep(0.3)
        assert (await program.async_send_request("GET", "/y/1")).status == 503
        await program.async_write_key("op/config", make_configuration())
        await program.async_wait_until_ready()
        await program.async_wait_until_served("/y/1", ())

    run_scenario(tmp_path, scenario)


def test_program_exits_with_an_error_on_malformed_settings(tmp_path):
    """Guards against a program that runs with settings which it misunderstands."""
    file = tmp_path / "node.toml"
    file.write_text("node = 5")
    completed = subprocess.run(
        [sys.executable, "-m", "wagtailrill.platform"],
        cwd=ROOT,
        env={"WAGTAILRILL_CONFIG": str(file), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2
    assert "node.toml" in completed.stderr
