"""Starts and stops the processes of an example deployment on loopback.

The other scripts use it.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.settings.models import InstanceSettings
from wagtailrill.settings.parse import parse_settings
from wagtailrill.stand_ins.store import FAULTS_PATH

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


def fetch_json(
    address: str,
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Return status and parsed JSON body of an answer, or (0, None) without one."""
    req = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as res:
            return res.status, json.loads(res.read() or b"null")
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"null")
    except (OSError, ValueError):
        return 0, None


class Fleet:
    """Store stand-in, backend servers and instances of one deployment."""

    def __init__(
        self,
        deployment: str,
        instance_count: int = 12,
        environment: dict[str, str] | None = None,
    ) -> None:
        folder = ROOT / "examples" / deployment
        self.declaration_file = folder / "services.json"
        self.keys_file = folder / "tenant-keys.json"
        self.declaration = parse_declaration(self.declaration_file.read_bytes()).ok
        settings_files = sorted((folder / "instances").glob("*.json"))[:instance_count]
        self.settings_files = settings_files
        self.settings = [parse_settings(f.read_bytes()).ok for f in settings_files]
        self.store_address = self.settings[0].store_addresses[0]
        self.processes = {}
        self.logs_folder = Path(tempfile.mkdtemp(prefix="wagtailrill-"))
        self._environment = {**os.environ, **(environment or {})}

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses at which the instances accept callers' requests."""
        return [cfg.caller_address for cfg in self.settings]

    def start_store(self) -> None:
        """Start the store stand-in and apply the declaration to it."""
        port = self.store_address.rpartition(":")[2]
        arguments = ["wagtailrill.stand_ins.store", "--port", port]
        self._start_process("store", arguments)
        self._wait_until(
            lambda: fetch_json(self.store_address, FAULTS_PATH)[0] == 200, "store"
        )
        self.run_control_command("apply", str(self.declaration_file))

    def start_backend_servers(self) -> None:
        """Start the backend servers, one process per service."""
        for service in self.declaration.services:
            arguments = ["wagtailrill.stand_ins.backend_server"]
            arguments += ["--declaration", str(self.declaration_file)]
            arguments += ["--service", service.name]
            self._start_process(service.name, arguments)
        for service in self.declaration.services:
            for server in service.backend_servers:
                self._wait_until(
                    lambda a=server.address: fetch_json(a, "/-/health")[0] == 200,
                    server.name,
                )

    def start_instance(self, number: int) -> None:
        """Start one instance."""
        settings_file = str(self.settings_files[number])
        name = self.settings[number].instance
        self._start_process(name, ["wagtailrill.daemon", "--settings", settings_file])

    def start_all_processes(self) -> None:
        """Start everything and wait until all instances are ready."""
        self.start_store()
        self.start_backend_servers()
        for number in range(len(self.settings)):
            self.start_instance(number)
        self.wait_until_ready()

    def is_ready(self, cfg: InstanceSettings) -> bool:
        """Return whether an instance reports that it is ready."""
        return fetch_json(cfg.admin_address, "/health")[0] == 200

    def wait_until_ready(self) -> None:
        """Wait until all instances are ready and all keys have owners."""
        for cfg in self.settings:
            self._wait_until(lambda cfg=cfg: self.is_ready(cfg), cfg.instance)
        self._wait_until(self._are_keys_served, "owners of key slots")

    def _are_keys_served(self) -> bool:
        for service in self.declaration.services:
            if not service.keyed:
                continue
            path = f"/explain-key?service={service.name}&key=k1"
            for cfg in self.settings:
                status, answer = fetch_json(cfg.admin_address, path)
                if status != 200 or not answer["owner"]:
                    return False
        return True

    def run_control_command(self, *arguments: str) -> str:
        """Run wagtailrillctl on this deployment and return its output.

        Raise `RuntimeError` if it fails.
        """
        instances = str(self.settings_files[0].parent)
        options = ["--instances", instances, *arguments]
        command = [sys.executable, "-m", "wagtailrill.cli", *options]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        if completed.returncode != 0:
            raise RuntimeError(
                f"{' '.join(arguments)}: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def kill_process(self, name: str) -> None:
        """Kill a process."""
        self.processes.pop(name).kill()

    def stop_processes(self) -> None:
        """Stop all processes of this fleet."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self.processes.clear()

    def _start_process(self, name: str, arguments: list[str]) -> None:
        log_file = (self.logs_folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env=self._environment,
            stdout=log_file,
            stderr=log_file,
        )

    def _wait_until(self, condition: Callable[[], bool], description: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{description}: not ready in time; logs are in {self.logs_folder}"
                )
            time.sleep(0.05)
