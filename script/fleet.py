"""Starts and stops the processes of an example deployment on loopback."""

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


def fetch(
    address: str,
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Return status and parsed JSON body of a request, or (0, None)."""
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
        files = sorted((folder / "instances").glob("*.json"))[:instance_count]
        self.settings_files = files
        self.settings = [parse_settings(f.read_bytes()).ok for f in files]
        self.store = self.settings[0].store_addresses[0]
        self.processes = {}
        self.logs = Path(tempfile.mkdtemp(prefix="wagtailrill-"))
        self._environment = {**os.environ, **(environment or {})}

    @property
    def callers(self) -> list[str]:
        """Addresses that take callers' requests."""
        return [cfg.caller_address for cfg in self.settings]

    def start_store(self) -> None:
        """Start the store stand-in and put the declaration into it."""
        port = self.store.rpartition(":")[2]
        arguments = ["wagtailrill.stand_ins.store", "--port", port]
        self._start("store", arguments)
        self._wait(lambda: fetch(self.store, FAULTS_PATH)[0] == 200, "store")
        self.control("apply", str(self.declaration_file))

    def start_backend_servers(self) -> None:
        """Start the backend servers, one process per service."""
        for service in self.declaration.services:
            arguments = ["wagtailrill.stand_ins.backend_server"]
            arguments += ["--declaration", str(self.declaration_file)]
            arguments += ["--service", service.name]
            self._start(service.name, arguments)
        for service in self.declaration.services:
            for server in service.backend_servers:
                self._wait(
                    lambda a=server.address: fetch(a, "/-/health")[0] == 200,
                    server.name,
                )

    def start_instance(self, number: int) -> None:
        """Start one instance."""
        file = str(self.settings_files[number])
        name = self.settings[number].instance
        self._start(name, ["wagtailrill.daemon", "--settings", file])

    def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        self.start_store()
        self.start_backend_servers()
        for number in range(len(self.settings)):
            self.start_instance(number)
        self.wait_ready()

    def ready(self, cfg: InstanceSettings) -> bool:
        """Return whether an instance is ready."""
        return fetch(cfg.admin_address, "/health")[0] == 200

    def wait_ready(self) -> None:
        """Wait until all instances are ready and all keys have owners."""
        for cfg in self.settings:
            self._wait(lambda cfg=cfg: self.ready(cfg), cfg.instance)
        self._wait(self._keys_served, "owners of key slots")

    def _keys_served(self) -> bool:
        for service in self.declaration.services:
            if not service.keyed:
                continue
            path = f"/explain-key?service={service.name}&key=k1"
            for cfg in self.settings:
                status, answer = fetch(cfg.admin_address, path)
                if status != 200 or not answer["owner"]:
                    return False
        return True

    def control(self, *arguments: str) -> str:
        """Run wagtailrillctl on this deployment and return what it prints."""
        instances = str(self.settings_files[0].parent)
        options = ["--instances", instances, *arguments]
        command = [sys.executable, "-m", "wagtailrill.cli", *options]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        if done.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

    def kill(self, name: str) -> None:
        """Lose a process."""
        self.processes.pop(name).kill()

    def stop(self) -> None:
        """Stop all processes of this fleet."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self.processes.clear()

    def _start(self, name: str, arguments: list[str]) -> None:
        log = (self.logs / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env=self._environment,
            stdout=log,
            stderr=log,
        )

    def _wait(self, condition: Callable[[], bool], what: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{what} is not there; logs are in {self.logs}")
            time.sleep(0.05)
