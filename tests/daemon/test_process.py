"""Guards one whole instance with its I/O, over loopback."""

import json
import random
import socket
import time

import anyio
import attrs
import httpcore

from tests.engine.support import TENANT_KEYS, make_declaration
from wagtailrill.core.events import DrainRequested
from wagtailrill.daemon.process import Process
from wagtailrill.declaration.text import to_json
from wagtailrill.load_tool.plan import uuid7
from wagtailrill.platform.models import InstanceEntry, Write
from wagtailrill.settings.models import InstanceSettings
from wagtailrill.stand_ins.backend_model import BackendModel, BackendModelSettings
from wagtailrill.stand_ins.backend_server import (
    BackendApplication,
    make_backend_server,
)
from wagtailrill.stand_ins.http import bind, make_server
from wagtailrill.stand_ins.instance_registry import InstanceRegistry
from wagtailrill.stand_ins.store import StoreStandIn

HOST = "127.0.0.1"
TIMEOUT_S = 30.0


def free_ports(count):
    """Return ports that nothing listens on."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class OneInstance:
    """Store and backend server stand-ins with one instance, in one event loop."""

    def __init__(self):
        names = ("caller", "peer", "admin", "store", "backend")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.settings = InstanceSettings(
            instance="i-0",
            deployment="test",
            data_centre="dc-1",
            caller_address=self.address("caller"),
            peer_address=self.address("peer"),
            admin_address=self.address("admin"),
            store_addresses=(self.address("store"),),
            peer_secrets=(b"a-secret-that-is-only-for-this-test",),
            load_balancer_lag_s=0.2,
            drain_s=5.0,
        )
        self.process = Process(self.settings)
        cfg = BackendModelSettings("release-0", service_time_s=0.001)
        model = BackendModel(cfg, random.Random(1), started_s=time.monotonic() - 60.0)
        self.backend = BackendApplication(model)

    def address(self, name):
        return f"{HOST}:{self.ports[name]}"

    def socket(self, name):
        sock = bind(HOST, self.ports[name])
        sock.listen(16)
        return sock

    def declaration(self):
        """Return a declaration with the one backend server."""

        declaration = make_declaration()
        release = declaration.services[2]
        server = attrs.evolve(
            release.backend_servers[0], address=self.address("backend")
        )
        service = attrs.evolve(release, backend_servers=(server,))
        return attrs.evolve(declaration, services=(service,))

    async def async_run(self, scenario):
        """Run a scenario beside the processes."""
        registry = InstanceRegistry()
        registry.add_fixed(InstanceEntry("i-0", self.address("peer"), "dc-1"))
        store = StoreStandIn(registry, 1)
        text = to_json(self.declaration()).encode()
        store.model.apply(Write("test/config", text, 0), 0.0)
        store_server = make_server(store)
        backend_server = make_backend_server(self.backend)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tg:
                tg.start_soon(store_server.serve, [self.socket("store")])
                tg.start_soon(backend_server.serve, [self.socket("backend")])
                tg.start_soon(self.process.async_run)
                await self.async_until_ready()
                await scenario(self)
                tg.cancel_scope.cancel()

    async def async_until_ready(self):
        while (await self.async_request("admin", "GET", "/health"))[0] != 200:
            await anyio.sleep(0.05)

    async def async_request(self, name, method, path, headers=(), body=b""):
        """Return status and body, or (0, b"") when nothing listens yet."""
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{self.address(name)}{path}"
                res = await pool.request(
                    method, url, headers=list(headers), content=body
                )
                return res.status, res.content
        except (httpcore.ConnectError, httpcore.RemoteProtocolError):
            return 0, b""

    async def async_release(self, key):
        headers = [
            ("x-tenant-key", TENANT_KEYS["small"][0]),
            ("idempotency-key", key),
        ]
        return await self.async_request("caller", "POST", "/release", headers, b"x")


def test_instance_serves_explains_itself_and_stops():
    """Guards the assembly of an instance: requests, repeats, admin pages, drain."""

    async def scenario(one):
        await anyio.sleep(2.6)  # a new home refuses keys issued before it
        key = uuid7(time.time(), random.Random(1))
        first = await one.async_release(key)
        again = await one.async_release(key)
        assert first[0] == 200, first
        assert again == first
        assert one.backend.executions == {key: 1}
        refused = await one.async_request("caller", "POST", "/release")
        assert refused[0] == 401
        assert json.loads(refused[1])["ran"] == "no"
        _, metrics = await one.async_request("admin", "GET", "/metrics")
        assert b'code="answered"' in metrics
        assert TENANT_KEYS["small"][0].encode() not in metrics
        _, status = await one.async_request("admin", "GET", "/status")
        assert json.loads(status)["members"] == ["i-0"]
        one.process.driver.dispatch(DrainRequested())
        assert (await one.async_request("admin", "GET", "/health"))[0] == 503
        late = await one.async_release(uuid7(time.time(), random.Random(2)))
        assert late[0] == 200

    anyio.run(OneInstance().async_run, scenario)
