"""Memory, processor time and wire sizes of real processes on loopback."""

import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Final

import anyio
import attrs
import bench_forwarding as bench
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketStream
from fleet import ROOT, Fleet

from wagtailrill.core.backend import Grant, Probe
from wagtailrill.gateway.control import BackendControl
from wagtailrill.platform.http_store import HttpStore
from wagtailrill.platform.models import (
    Leased,
    LeaseGrant,
    LeaseRenew,
    Read,
    Stored,
    StoreReply,
    StoreResult,
    Watch,
)
from wagtailrill.stand_ins.capacity_fit import Point, Series, TargetSize

HOST: Final = "127.0.0.1"
EXAMPLE: Final = "piraeus"
FLEET_SIZES: Final = (3, 6, 12)
CONNECTIONS: Final = (0, 100, 400)
FORWARD_CONNECTIONS: Final = (4, 16, 64)
IDLE_S: Final = 5.0
SETTLE_S: Final = 2.0
WIRE_CALLS: Final = 5
PORT_SHIFTS: Final = range(3_000, 40_000, 700)
BENCH_PORTS: Final = ("BACKEND", "BARE", "CALLER", "PEER", "ADMIN", "STORE")
IMPORTS: Final = "import wagtailrill.daemon.process"
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
TARGET: Final = TargetSize()
_PORT: Final = re.compile(r"127\.0\.0\.1:(\d+)")


@attrs.frozen
class WireSize:
    """Bytes of one call over TCP, both ways, without connection set-up."""

    call: str
    request_bytes: float
    response_bytes: float


@attrs.frozen
class Forwarding:
    """Forwarders at a number of connections; processor time is per request."""

    connections: int
    bare_per_s: float
    full_per_s: float
    bare_us: float
    full_us: float


@attrs.frozen
class Processes:
    """What was measured on real processes."""

    library_bytes: float
    series: tuple[Series, ...]
    wire: tuple[WireSize, ...]


def resident_bytes(pid: int) -> int:
    """Return the resident size of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert match is not None
    return 1024 * int(match[1])


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def library_bytes() -> int:
    """Return the resident size of an interpreter that has imported the daemon."""
    code = f"{IMPORTS}; print(open('/proc/self/status').read())"
    command = [sys.executable, "-c", code]
    output = subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout
    match = re.search(r"VmRSS:\s+(\d+) kB", output)
    assert match is not None
    return 1024 * int(match[1])


def _free(ports: Iterable[int]) -> bool:
    for port in ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


def _copy_example(folder: Path, instance_count: int) -> None:
    """Copy the example with ports that no other run uses."""
    shutil.copytree(ROOT / "examples" / EXAMPLE, folder)
    for extra in sorted((folder / "instances").glob("*.json"))[instance_count:]:
        extra.unlink()
    files = list(folder.rglob("*.json"))
    ports = {int(p) for f in files for p in _PORT.findall(f.read_text())}
    shift = next(s for s in PORT_SHIFTS if _free(port + s for port in ports))
    for file in files:
        text = _PORT.sub(lambda m: f"{HOST}:{int(m[1]) + shift}", file.read_text())
        file.write_text(text)


def process_figures() -> Processes:
    """Measure idle fleets of several sizes, connections and wire sizes."""
    base = library_bytes()
    series: list[Series] = []
    wire: list[WireSize] = []
    points: list[tuple[int, float, float]] = []
    for count in FLEET_SIZES:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name) / EXAMPLE
            _copy_example(folder, count)
            fleet = Fleet(str(folder), count)
            try:
                fleet.start()
                points.append((count, *_idle(fleet)))
                if count == FLEET_SIZES[0]:
                    series.append(_connections(fleet))
                if count == FLEET_SIZES[-1]:
                    wire = anyio.run(_async_wire_sizes, fleet)
            finally:
                fleet.stop()
                shutil.rmtree(fleet.logs, ignore_errors=True)
    target = TARGET.cell_members_max
    for index, (name, unit) in enumerate(
        (("daemon resident", "B"), ("daemon idle", "core")), start=1
    ):
        values = tuple(Point(p[0], p[index]) for p in points)
        series.append(Series(name, unit, "members", values, target))
    above = tuple(Point(p[0], p[1] - base) for p in points)
    series.append(Series("daemon above libraries", "B", "members", above, target))
    return Processes(base, tuple(series), tuple(wire))


def _idle(fleet: Fleet) -> tuple[float, float]:
    """Return mean resident bytes and mean cores of the idle instances."""
    pids = [fleet.processes[cfg.instance].pid for cfg in fleet.settings]
    time.sleep(SETTLE_S)
    before_s = sum(map(processor_s, pids))
    start_s = time.monotonic()
    time.sleep(IDLE_S)
    cores = (sum(map(processor_s, pids)) - before_s) / (time.monotonic() - start_s)
    return sum(map(resident_bytes, pids)) / len(pids), cores / len(pids)


def _connections(fleet: Fleet) -> Series:
    """Return the resident size over open connections that sent a request each."""
    cfg = fleet.settings[0]
    pid = fleet.processes[cfg.instance].pid
    host, _, port = cfg.caller_address.rpartition(":")
    opened: list[socket.socket] = []
    points = []
    for count in CONNECTIONS:
        while len(opened) < count:
            sock = socket.create_connection((host, int(port)))
            sock.sendall(b"GET /none HTTP/1.1\r\nhost: capacity\r\n\r\n")
            sock.recv(65536)
            opened.append(sock)
        points.append(Point(count, resident_bytes(pid)))
    for sock in opened:
        sock.close()
    name = "daemon resident"
    return Series(name, "B", "caller_connections", tuple(points), CONNECTIONS[-1])


class CountingProxy:
    """Forwards TCP connections and counts the bytes in both directions."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.counts: Counter[str] = Counter()

    async def async_handle(self, client: SocketStream) -> None:
        """Forward one connection until either side closes it."""
        async with (
            client,
            await anyio.connect_tcp(*self.target) as server,
            anyio.create_task_group() as tg,
        ):
            tg.start_soon(self._async_copy, client, server, "request")
            await self._async_copy(server, client, "response")
            tg.cancel_scope.cancel()

    async def _async_copy(
        self, source: ByteReceiveStream, sink: ByteSendStream, name: str
    ) -> None:
        try:
            async for data in source:
                self.counts[name] += len(data)
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def async_measure(
        self, call: str, function: Callable[[], Awaitable[object]]
    ) -> WireSize:
        """Return the mean sizes of some calls."""
        self.counts.clear()
        for _ in range(WIRE_CALLS):
            await function()
        sizes = (self.counts[name] / WIRE_CALLS for name in ("request", "response"))
        return WireSize(call, *sizes)


async def _async_wire_sizes(fleet: Fleet) -> list[WireSize]:
    service = next(s for s in fleet.declaration.services if s.keyed)
    server = service.backend_servers[0].address
    to_store, to_server = CountingProxy(fleet.store), CountingProxy(server)
    results: list[WireSize] = []
    async with anyio.create_task_group() as tg:
        addresses = []
        for proxy in (to_store, to_server):
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            addresses.append(f"{HOST}:{port}")
            tg.start_soon(listener.serve, proxy.async_handle)
        results += await _async_store_sizes(fleet, to_store, addresses[0])
        control = BackendControl()
        renewal = Grant(service.name, 1, (), 1.5, True, time.time() + 1.5)
        for name, operation in (("grant renewal", renewal), ("probe", Probe())):
            results.append(
                await to_server.async_measure(
                    name,
                    lambda operation=operation: control.async_call(
                        addresses[1], operation
                    ),
                )
            )
        tg.cancel_scope.cancel()
    return results


async def _async_store_sizes(
    fleet: Fleet, proxy: CountingProxy, address: str
) -> list[WireSize]:
    deployment, cell = fleet.declaration.deployment, fleet.settings[0].cell
    async with HttpStore((address,)) as store:
        config = _ok(await store.async_call(Read(f"{deployment}/config")))
        leased = _ok(await store.async_call(LeaseGrant(5.0)))
        assert isinstance(config, Stored)
        assert isinstance(leased, Leased)
        operations = {
            "lease renewal": LeaseRenew(leased.lease_id),
            "watch without news": Watch(config.key, config.revision, 0.1),
            "read of the configuration": Read(config.key),
            "read of the cell table": Read(f"{deployment}/{cell}/table"),
        }
        results = [
            await proxy.async_measure(
                name, lambda operation=operation: store.async_call(operation)
            )
            for name, operation in operations.items()
        ]
        results.append(
            await proxy.async_measure("instance list of 12", store.async_list)
        )
    return results


def _ok(result: StoreResult) -> StoreReply:
    if result.is_error():
        raise RuntimeError(f"the store stand-in refused a call: {result.error}")
    return result.ok


def forwarding(seconds: float) -> list[Forwarding]:
    """Measure the bare and the full forwarder, alternately, on one core."""
    first = next(p for p in range(26_000, 60_000, 100) if _free(range(p, p + 6)))
    for offset, name in enumerate(BENCH_PORTS):
        setattr(bench, name, first + offset)
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            bench.start_all(Path(folder), processes)
            bare, full = processes[1].pid, processes[3].pid
            return [
                _forwarding(connections, seconds, bare, full)
                for connections in FORWARD_CONNECTIONS
            ]
        finally:
            for process in processes:
                process.kill()
                process.wait()


def _forwarding(connections: int, seconds: float, bare: int, full: int) -> Forwarding:
    bare_per_s, bare_us = _loop(bench.BARE, bare, connections, seconds)
    full_per_s, full_us = _loop(bench.CALLER, full, connections, seconds)
    return Forwarding(connections, bare_per_s, full_per_s, bare_us, full_us)


def _loop(port: int, pid: int, connections: int, seconds: float) -> tuple[float, float]:
    """Return requests/s and processor time per request in us."""
    before_s = processor_s(pid)
    figures = bench.load("closed", str(port), str(connections), str(seconds))
    spent_s = processor_s(pid) - before_s
    return figures["per_s"], 1e6 * spent_s / (figures["per_s"] * seconds)
