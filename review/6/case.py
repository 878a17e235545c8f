"""Takes away the limit of a tenant, and withdraws one of its keys, by a new version."""

import asyncio
import contextlib
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import (  # noqa: E402
    CannotRunError,
    Deployment,
    Record,
    Upstream,
    connect,
    make_configuration,
    read_answer,
    run_case,
)

HOST = "a.example"
INSTANCES = 3
KEPT_KEY = "xd9dnn2ctnfzs989anu6"
WITHDRAWN_KEY = "wsjnbanfqasnmgkcuyj8"
LIMIT_PER_S = 100
HIGHER_LIMIT_PER_S = 200
# `apply` of the settings is 2 s.
APPLY_S = 2.0
SETTLE_S = 3.0
# Requests are sent for this long after `apply`, and judged.
JUDGED_S = 5.0
PAUSE_S = 0.2
REQUEST_TIMEOUT_S = 3.0


def make_version(
    number: int, limit_per_s: int, keys: list[str], prefixes: list[str]
) -> dict[str, Any]:
    """Return a version of the configuration with a route for each prefix."""
    routes = [
        {
            "name": f"route-{prefix.strip('/')}",
            "host": HOST,
            "prefix": prefix,
            "kind": "safe",
            "timeout": "800ms",
            "target_latency": "400ms",
            "priority": 2,
            "service": "status",
            "max_attempts": 2,
        }
        for prefix in prefixes
    ]
    service = {
        "name": "status",
        "health_check_path": "/health",
        "max_connections": 120,
    }
    configuration = make_configuration(routes, [service], version=number)
    configuration["tenants"] = {
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
        "rows": [["yefi830", keys, 0, limit_per_s, limit_per_s]],
    }
    return configuration


class Case:
    """The operator writes three versions; callers ask each instance all the while."""

    def __init__(self, deployment: Deployment, record: Record, trouble: bool) -> None:
        self.deployment, self.record, self.trouble = deployment, record, trouble
        self.sent = 0
        self.outdated: Counter[str] = Counter()

    async def run(self) -> bool:
        """Return whether a request was handled as only an older version allows."""
        servers = [
            Upstream(self.deployment, f"i-{number}", "status") for number in range(2)
        ]
        for server in servers:
            await server.start()
        await asyncio.sleep(SETTLE_S)
        await self._check_served()
        limit_per_s = 0 if self.trouble else HIGHER_LIMIT_PER_S
        await self._apply(2, limit_per_s, ["/look/", "/added-2/"])
        await self._judge("r2", "/added-2/")
        await self._apply(3, limit_per_s, ["/look/", "/added-2/", "/added-3/"])
        await self._judge("r3", "/added-3/")
        for server in servers:
            await server.stop()
        text = f"{self.sent} requests judged, handled by an older version: " + (
            ", ".join(f"{n} x {what}" for what, n in sorted(self.outdated.items()))
            or "none"
        )
        self.record.write(text)
        print(text)
        return bool(self.outdated)

    async def _check_served(self) -> None:
        """Both keys and the first route are in force before the change."""
        for name in self.deployment.addresses:
            for key in (KEPT_KEY, WITHDRAWN_KEY):
                if await self._send(name, "/look/1", key) != "200":
                    raise CannotRunError("the first version is not served")

    async def _apply(self, number: int, limit_per_s: int, prefixes: list[str]) -> None:
        loop = asyncio.get_running_loop()
        version = make_version(number, limit_per_s, [KEPT_KEY], prefixes)
        await loop.run_in_executor(
            None, self.deployment.write_key, "op/config", version
        )
        self.record.write(f"the store has confirmed version r{number}")
        await asyncio.sleep(APPLY_S)

    async def _judge(self, version: str, added_prefix: str) -> None:
        """Send requests whose answers tell which version is in force."""
        end_s = time.monotonic() + JUDGED_S
        while time.monotonic() < end_s:
            for name in self.deployment.addresses:
                status = await self._send(name, "/look/1", WITHDRAWN_KEY)
                self._count(status == "200", f"{version} {name} withdrawn key run")
                status = await self._send(name, f"{added_prefix}1", KEPT_KEY)
                self._count(status == "404", f"{version} {name} added route refused")
            await asyncio.sleep(PAUSE_S)

    def _count(self, is_outdated: bool, what: str) -> None:
        self.sent += 1
        if is_outdated:
            self.outdated[what] += 1

    async def _send(self, name: str, path: str, key: str) -> str:
        request_id = f"{name}-{time.monotonic_ns()}"
        status = "none"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                address = self.deployment.addresses[name]["front"]
                reader, writer = await connect(address)
                lines = [
                    f"GET {path} HTTP/1.1",
                    f"Host: {HOST}",
                    f"Request-Id: {request_id}",
                    "Deadline-Ms: 1500",
                    f"Authorization: Bearer {key}",
                ]
                writer.write("\r\n".join([*lines, "", ""]).encode())
                answer = await read_answer(reader)
                writer.close()
                status = str(answer.status) if answer is not None else "none"
        self.record.write(f"{request_id} {path} key {key[:4]}: {status}")
        return status


def run(record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment = Deployment(record)
    try:
        deployment.start_store()
        keys = [KEPT_KEY, WITHDRAWN_KEY]
        version = make_version(1, LIMIT_PER_S, keys, ["/look/"])
        deployment.write_key("op/config", version)
        for number in range(INSTANCES):
            deployment.start_instance(f"instance-{number}", ip=f"127.0.0.{number + 2}")
        for name in deployment.addresses:
            deployment.wait_until_ready(name)
        return asyncio.run(Case(deployment, record, trouble).run())
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
