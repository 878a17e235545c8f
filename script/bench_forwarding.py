"""Compares the router's forwarding with that of a bare forwarder, on one core each.

Both forward to the same backend server. The closed loop measures throughput at a
number of connections, the open loop the latency that the router adds at half of its
throughput.
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

from fleet import ROOT, fetch_json

from wagtailrill.load_tool.report import compute_percentile
from wagtailrill.stand_ins.store import FAULTS_PATH

BACKEND_PORT, BARE_PORT, CALLER_PORT, PEER_PORT, ADMIN_PORT, STORE_PORT = range(
    23900, 23906
)
TENANT_KEY = "wr_bench_0123456789abcdef0123456789abcdef"
SALT = "00" * 16
FORWARDER_CORE = 0
BACKEND_CORE = 1
LOAD_GENERATOR_CORES = (2, 3)
HOST = "127.0.0.1"


def build_declaration() -> dict[str, Any]:
    """Return a declaration with one service on one large backend server."""
    import hashlib

    secret = TENANT_KEY.rpartition("_")[2]
    digest = hashlib.sha256(bytes.fromhex(SALT) + secret.encode()).hexdigest()
    key = {"key_id": "bench", "salt": SALT, "sha256": digest}
    server = {"name": "b-1", "address": f"{HOST}:{BACKEND_PORT}", "data_centre": "dc"}
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


def build_settings() -> dict[str, Any]:
    """Return the settings of the only router instance."""
    return {
        "instance": "bench-1",
        "deployment": "bench",
        "data_centre": "dc",
        "caller_address": f"{HOST}:{CALLER_PORT}",
        "peer_address": f"{HOST}:{PEER_PORT}",
        "admin_address": f"{HOST}:{ADMIN_PORT}",
        "store_addresses": [f"{HOST}:{STORE_PORT}"],
        "peer_secrets": ["bench-only-secret-that-is-long-enough"],
    }


def start_process(core: int, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a Python process that is pinned to one core."""
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )


def build_request(port: int) -> bytes:
    """Return the bytes of one request."""
    return (
        f"GET /bench/k1 HTTP/1.1\r\nhost: {HOST}:{port}\r\n"
        f"x-tenant-key: {TENANT_KEY}\r\n\r\n"
    ).encode()


def send_request(sock: socket.socket, request: bytes) -> None:
    """Send a request and read its whole answer; raise an error unless it is 200."""
    sock.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            raise ConnectionError("closed")
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n", 1)[0]:
        raise ValueError(data[:200])
    headers = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    missing_bytes = int(headers[b"content-length"]) - len(body)
    while missing_bytes > 0:
        missing_bytes -= len(sock.recv(missing_bytes))


def run_closed_loop(port: int, connections: int, duration_s: float) -> dict[str, float]:
    """Measure with requests sent back to back on each connection."""
    latencies_s: list[float] = []
    end_s = time.monotonic() + duration_s

    def send_requests() -> None:
        request = build_request(port)
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while time.monotonic() < end_s:
                started_s = time.monotonic()
                send_request(sock, request)
                latencies_s.append(time.monotonic() - started_s)

    threads = [threading.Thread(target=send_requests) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _summarise_latencies(latencies_s, duration_s)


def run_open_loop(port: int, rate_per_s: float, duration_s: float) -> dict[str, float]:
    """Measure at a fixed rate; latency counts from the planned time of sending."""
    latencies_s: list[float] = []
    thread_count = 16
    start_s = time.monotonic() + 0.1

    def send_requests(thread_number: int) -> None:
        request = build_request(port)
        with socket.create_connection((HOST, port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for request_number in range(
                thread_number, int(rate_per_s * duration_s), thread_count
            ):
                planned_s = start_s + request_number / rate_per_s
                time.sleep(max(planned_s - time.monotonic(), 0.0))
                send_request(sock, request)
                latencies_s.append(time.monotonic() - planned_s)

    threads = [
        threading.Thread(target=send_requests, args=(n,)) for n in range(thread_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _summarise_latencies(latencies_s, duration_s)


def _summarise_latencies(
    latencies_s: list[float], duration_s: float
) -> dict[str, float]:
    latencies_ms = sorted(1000 * value for value in latencies_s)
    return {
        "per_s": len(latencies_ms) / duration_s,
        "p50_ms": compute_percentile(latencies_ms, 0.5),
        "p99_ms": compute_percentile(latencies_ms, 0.99),
    }


def run_load(loop_name: str, *arguments: str) -> dict[str, float]:
    """Run the "closed" or "open" loop in a process apart from the forwarders' core."""
    output = subprocess.run(
        [sys.executable, __file__, "--load", loop_name, *arguments],
        check=True,
        capture_output=True,
        text=True,
        preexec_fn=lambda: os.sched_setaffinity(0, LOAD_GENERATOR_CORES),
    ).stdout
    result: dict[str, float] = json.loads(output)
    return result


def wait_until_ready(port: int, path: str) -> None:
    """Wait until a server answers a path with 200, for 30 s at most."""
    deadline_s = time.monotonic() + 30.0
    while fetch_json(f"{HOST}:{port}", path)[0] != 200:
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"port {port} does not answer")
        time.sleep(0.05)


def start_processes(folder: Path, processes: list[subprocess.Popen[bytes]]) -> None:
    """Start backend server, bare forwarder, store and router instance.

    Each is appended to `processes` at once, so that the caller can end it even if a
    later one does not start.
    """
    declaration_file = folder / "services.json"
    declaration_file.write_text(json.dumps(build_declaration()))
    settings_file = folder / "instances" / "bench-1.json"
    settings_file.parent.mkdir()
    settings_file.write_text(json.dumps(build_settings()))
    servers_script = str(Path(__file__).with_name("bench_servers.py"))
    store_arguments = ["-m", "wagtailrill.stand_ins.store", "--port", str(STORE_PORT)]
    instances_option = ("--instances", str(folder / "instances"))
    for core, *arguments in (
        (BACKEND_CORE, servers_script, "backend", str(BACKEND_PORT)),
        (FORWARDER_CORE, servers_script, "bare", str(BARE_PORT), str(BACKEND_PORT)),
        (BACKEND_CORE, *store_arguments),
    ):
        processes.append(start_process(core, *arguments))
    wait_until_ready(STORE_PORT, FAULTS_PATH)
    apply_arguments = ["-m", "wagtailrill.cli", "apply", str(declaration_file)]
    subprocess.run(
        [
            sys.executable,
            *apply_arguments,
            *instances_option,
            "--store",
            f"{HOST}:{STORE_PORT}",
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    daemon_arguments = ["-m", "wagtailrill.daemon", "--settings", str(settings_file)]
    processes.append(start_process(FORWARDER_CORE, *daemon_arguments))
    wait_until_ready(ADMIN_PORT, "/health")
    wait_until_ready(BARE_PORT, "/bench/k1")


def measure_forwarders(connections: int, duration_s: float) -> dict[str, Any]:
    """Measure both forwarders alternately; take the median of three rounds."""
    arguments = (str(connections), str(duration_s))
    results_by_name: dict[str, list[dict[str, float]]] = {"bare": [], "full": []}
    for _ in range(3):
        for name, port in (("bare", BARE_PORT), ("full", CALLER_PORT)):
            results_by_name[name].append(run_load("closed", str(port), *arguments))
    closed_loop = {
        n: sorted(r, key=lambda f: f["per_s"])[1] for n, r in results_by_name.items()
    }
    half_rate = str(closed_loop["full"]["per_s"] / 2)
    open_loop = {
        name: run_load("open", str(port), half_rate, str(duration_s))
        for name, port in (("bare", BARE_PORT), ("full", CALLER_PORT))
    }
    return {
        "closed_loop": closed_loop,
        "open_loop_at_half": open_loop,
        "throughput_ratio": closed_loop["full"]["per_s"] / closed_loop["bare"]["per_s"],
        "added_p99_ms": open_loop["full"]["p99_ms"] - open_loop["bare"]["p99_ms"],
    }


def main() -> int:
    """Run the comparison and print its results as JSON."""
    if sys.argv[1:2] == ["--load"]:
        loop_name, port, *values = sys.argv[2:]
        run_loop = {"closed": run_closed_loop, "open": run_open_loop}[loop_name]
        connections_or_rate = (
            int(values[0]) if loop_name == "closed" else float(values[0])
        )
        print(json.dumps(run_loop(int(port), connections_or_rate, float(values[1]))))
        return 0
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        processes: list[subprocess.Popen[bytes]] = []
        try:
            start_processes(Path(folder), processes)
            result = measure_forwarders(args.connections, args.seconds)
        finally:
            for process in processes:
                process.kill()
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
