"""Compares forwarding with the full policy to a bare forwarder, on one core each.

Both forward to the same backend server. Closed loop: throughput at a number of
connections. Open loop: added latency at half of the full policy's throughput.
"""

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from fleet import ROOT, fetch

from wagtailrill.load_tool.report import compute_percentile
from wagtailrill.stand_ins.store import FAULTS_PATH

BACKEND, BARE, CALLER, PEER, ADMIN, STORE = range(23900, 23906)
TENANT_KEY = "wr_bench_0123456789abcdef0123456789abcdef"
SALT = "00" * 16
FORWARDER_CORE = 0
BACKEND_CORE = 1
LOAD_CORES = (2, 3)
HOST = "127.0.0.1"


def declaration() -> dict[str, Any]:
    """Return a declaration with one service of one large backend server."""
    import hashlib

    secret = TENANT_KEY.rpartition("_")[2]
    digest = hashlib.sha256(bytes.fromhex(SALT) + secret.encode()).hexdigest()
    key = {"key_id": "bench", "salt": SALT, "sha256": digest}
    server = {"name": "b-1", "address": f"{HOST}:{BACKEND}", "data_centre": "dc"}
    route = {"method": "GET", "path": "/bench/{key}", "idempotent": True}
    service = {
        "name": "bench",
        "slots": 64,
        "connections": 64,
        "slow_start": {"slots": 64, "step_s": 0.01},
        "routes": [route],
        "backend_servers": [server],
    }
    organisation = {
        "name": "bench",
        "rate_per_s": 1_000_000,
        "burst": 1_000_000,
        "tenant_keys": [key],
    }
    return {
        "deployment": "bench",
        "data_centres": [{"name": "dc"}],
        "services": [service],
        "organisations": [organisation],
    }


def settings() -> dict[str, Any]:
    """Return the settings of the only instance."""
    return {
        "instance": "bench-1",
        "deployment": "bench",
        "data_centre": "dc",
        "caller_address": f"{HOST}:{CALLER}",
        "peer_address": f"{HOST}:{PEER}",
        "admin_address": f"{HOST}:{ADMIN}",
        "store_addresses": [f"{HOST}:{STORE}"],
        "peer_secrets": ["bench-only-secret-that-is-long-enough"],
    }


def start(core: int, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a process on one core."""
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )


def request_bytes(port: int) -> bytes:
    """Return one request."""
    return (
        f"GET /bench/k1 HTTP/1.1\r\nhost: {HOST}:{port}\r\n"
        f"x-tenant-key: {TENANT_KEY}\r\n\r\n"
    ).encode()


def exchange(sock: socket.socket, request: bytes) -> None:
    """Send a request and read its whole answer."""
    sock.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            raise ConnectionError("closed")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n", 1)[0]:
        raise ValueError(data[:200])
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    missing = int(fields[b"content-length"]) - len(body)
    while missing > 0:
        missing -= len(sock.recv(missing))


def closed_loop(port: int, connections: int, seconds: float) -> dict[str, float]:
    """Return throughput and latency at a number of connections."""
    latencies: list[float] = []
    end_s = time.monotonic() + seconds

    def work() -> None:
        request = request_bytes(port)
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while time.monotonic() < end_s:
                started_s = time.monotonic()
                exchange(sock, request)
                latencies.append(time.monotonic() - started_s)

    threads = [threading.Thread(target=work) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _figures(latencies, seconds)


def open_loop(port: int, rate_per_s: float, seconds: float) -> dict[str, float]:
    """Return latency, counted from the planned time, at a rate."""
    latencies: list[float] = []
    lanes = 16
    start_s = time.monotonic() + 0.1

    def work(lane: int) -> None:
        request = request_bytes(port)
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for number in range(lane, int(rate_per_s * seconds), lanes):
                planned_s = start_s + number / rate_per_s
                time.sleep(max(planned_s - time.monotonic(), 0.0))
                exchange(sock, request)
                latencies.append(time.monotonic() - planned_s)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(lanes)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _figures(latencies, seconds)


def _figures(latencies: list[float], seconds: float) -> dict[str, float]:
    values = sorted(1000 * value for value in latencies)
    return {
        "per_s": len(values) / seconds,
        "p50_ms": compute_percentile(values, 0.5),
        "p99_ms": compute_percentile(values, 0.99),
    }


def load(kind: str, *arguments: str) -> dict[str, float]:
    """Run a load in a process of its own, off the forwarders' core."""
    output = subprocess.run(
        [sys.executable, __file__, "--load", kind, *arguments],
        check=True,
        capture_output=True,
        text=True,
        preexec_fn=lambda: os.sched_setaffinity(0, LOAD_CORES),
    ).stdout
    result: dict[str, float] = json.loads(output)
    return result


def wait_for(port: int, path: str) -> None:
    """Wait until a server answers 200."""
    deadline_s = time.monotonic() + 30.0
    while fetch(f"{HOST}:{port}", path)[0] != 200:
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"port {port} does not answer")
        time.sleep(0.05)


def start_all(folder: Path, processes: list[subprocess.Popen[bytes]]) -> None:
    """Start backend server, bare forwarder, store and instance.

    Each is appended to `processes` at once, so that the caller can end those that
    run when a later one does not start.
    """
    declaration_file = folder / "services.json"
    declaration_file.write_text(json.dumps(declaration()))
    settings_file = folder / "instances" / "bench-1.json"
    settings_file.parent.mkdir()
    settings_file.write_text(json.dumps(settings()))
    simple = str(Path(__file__).with_name("bench_servers.py"))
    store = ["-m", "wagtailrill.stand_ins.store", "--port", str(STORE)]
    instances = ("--instances", str(folder / "instances"))
    for core, *arguments in (
        (BACKEND_CORE, simple, "backend", str(BACKEND)),
        (FORWARDER_CORE, simple, "bare", str(BARE), str(BACKEND)),
        (BACKEND_CORE, *store),
    ):
        processes.append(start(core, *arguments))
    wait_for(STORE, FAULTS_PATH)
    apply = ["-m", "wagtailrill.cli", "apply", str(declaration_file)]
    subprocess.run(
        [sys.executable, *apply, *instances, "--store", f"{HOST}:{STORE}"],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    daemon = ["-m", "wagtailrill.daemon", "--settings", str(settings_file)]
    processes.append(start(FORWARDER_CORE, *daemon))
    wait_for(ADMIN, "/health")
    wait_for(BARE, "/bench/k1")


def measure(connections: int, seconds: float) -> dict[str, Any]:
    """Measure both forwarders alternately; the median of three rounds counts."""
    arguments = (str(connections), str(seconds))
    rounds: dict[str, list[dict[str, float]]] = {"bare": [], "full": []}
    for _ in range(3):
        for name, port in (("bare", BARE), ("full", CALLER)):
            rounds[name].append(load("closed", str(port), *arguments))
    closed = {n: sorted(r, key=lambda f: f["per_s"])[1] for n, r in rounds.items()}
    half = str(closed["full"]["per_s"] / 2)
    opened = {
        name: load("open", str(port), half, str(seconds))
        for name, port in (("bare", BARE), ("full", CALLER))
    }
    return {
        "closed_loop": closed,
        "open_loop_at_half": opened,
        "throughput_ratio": closed["full"]["per_s"] / closed["bare"]["per_s"],
        "added_p99_ms": opened["full"]["p99_ms"] - opened["bare"]["p99_ms"],
    }


def main() -> int:
    """Run the comparison and print it."""
    if sys.argv[1:2] == ["--load"]:
        kind, port, *numbers = sys.argv[2:]
        run = {"closed": closed_loop, "open": open_loop}[kind]
        first = int(numbers[0]) if kind == "closed" else float(numbers[0])
        print(json.dumps(run(int(port), first, float(numbers[1]))))
        return 0
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        processes: list[subprocess.Popen[bytes]] = []
        try:
            start_all(Path(folder), processes)
            result = measure(args.connections, args.seconds)
        finally:
            for process in processes:
                process.kill()
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
