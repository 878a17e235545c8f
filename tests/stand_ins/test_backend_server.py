"""Guards the backend server stand-in against its protocol's page."""

import json
import random
import time

import anyio
import httpcore
import pytest

from wagtailrill.stand_ins.backend_model import BackendModel, BackendModelSettings
from wagtailrill.stand_ins.backend_server import BackendApplication, make_backend_server
from wagtailrill.stand_ins.http import async_serve

GRANT = {"service": "roll", "fence": 4, "slots": [[7, 3]], "duration_s": 60.0}
GRANT |= {"renew_only": False, "expires_unix_s": None}
KEYED = {"wagtailrill-key-slot": "7", "wagtailrill-epoch": "3"}
EXPIRED = {"wagtailrill-expires": "1.0"}
# Steps of (path, sent headers, sent JSON or None, status, part of the answer's JSON or
# of its headers).
PROTOCOL = {
    "an order is echoed with its request id": [
        (
            "/a/b",
            {"wagtailrill-request-id": "r-1", "wagtailrill-organisation": "volos"},
            {"order": 1},
            200,
            {"server": "s-1", "organisation": "volos", "path": "/a/b"}
            | {"wagtailrill-request-id": "r-1", "wagtailrill-start-id": "s-1-1"},
        ),
    ],
    "an order without its grant is fenced": [
        ("/a", KEYED, None, 409, {"wagtailrill-not-run": "fenced"}),
        ("/-/counts", {}, None, 200, {"ran": 0}),
    ],
    "an order runs by its slot's epoch only": [
        ("/-/grant", {}, GRANT, 200, {"fence": 4}),
        ("/a", KEYED, None, 200, {"server": "s-1"}),
        ("/a", KEYED | {"wagtailrill-epoch": "2"}, None, 409, {"not_run": "fenced"}),
        ("/-/counts", {}, None, 200, {"ran": 1}),
    ],
    "an expired order is not run": [
        ("/a", EXPIRED, None, 409, {"wagtailrill-not-run": "expired"}),
        ("/-/counts", {}, None, 200, {"ran": 0}),
    ],
    "a grant below the highest fence is refused": [
        ("/-/grant", {}, GRANT, 200, {"fence": 4}),
        ("/-/grant", {}, GRANT | {"fence": 3}, 409, {"kind": "fenced", "fence": 4}),
    ],
    "a renewal extends a grant, if there is one": [
        (
            "/-/grant",
            {},
            GRANT | {"renew_only": True},
            404,
            {"kind": "unknown_grant", "fence": 0},
        ),
        ("/-/grant", {}, GRANT, 200, {"fence": 4}),
        ("/-/grant", {}, GRANT | {"renew_only": True}, 200, {"fence": 4}),
    ],
    "health names the process start": [
        ("/-/health", {}, None, 200, {"healthy": True, "start_id": "s-1-1"}),
    ],
    "repeated runs of an idempotency key are counted": [
        ("/a", {"idempotency-key": "k"}, None, 200, {}),
        ("/a", {"idempotency-key": "k"}, None, 200, {}),
        ("/-/counts", {}, None, 200, {"ran": 2, "duplicates": 1, "starts": 1}),
    ],
}


def make_application(**settings):
    cfg = BackendModelSettings(
        "s-1", checks_grants=True, service_time_s=0.001, **settings
    )
    return BackendApplication(BackendModel(cfg, random.Random(1), time.monotonic()))


async def async_request(pool, address, path, headers=None, data=None):
    """Return the status, and the answer's headers and JSON as one mapping."""
    response = await pool.request(
        "GET" if data is None else "POST",
        f"http://{address}{path}",
        headers=headers or {},
        content=b"" if data is None else json.dumps(data).encode(),
    )
    found = {name.decode().lower(): value.decode() for name, value in response.headers}
    return response.status, found | json.loads(response.content)


def run(app, async_test):
    """Serve the application while a test talks to it."""

    async def async_main():
        server = make_backend_server(app)
        with anyio.fail_after(10.0):
            async with (
                async_serve(app, server) as address,
                httpcore.AsyncConnectionPool() as pool,
            ):
                await async_test(pool, address)

    anyio.run(async_main)


@pytest.mark.parametrize("rule", PROTOCOL)
def test_protocol_is_kept(rule):
    """Guards against a stand-in that differs from docs/backend-protocol.md."""

    async def async_test(pool, address):
        for path, headers, data, status, part in PROTOCOL[rule]:
            found = await async_request(pool, address, path, headers, data)
            assert found[0] == status, path
            assert found[1] | part == found[1], path

    run(make_application(), async_test)


def test_orders_above_slots_and_queue_are_shed():
    """Guards against a stand-in that queues without a bound."""
    app = make_application(slots=1, shed_queue=1, service_time_sigma=0.0)
    app.model.slowdown = 300.0
    statuses = []

    async def async_order(pool, address):
        status, answer = await async_request(pool, address, "/a")
        statuses.append((status, answer.get("wagtailrill-not-run")))

    async def async_test(pool, address):
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(async_order, pool, address)

    run(app, async_test)
    assert sorted(statuses) == [(200, None)] * 2 + [(503, "shed")] * 2


async def async_slow(pool, address):
    await async_request(pool, address, "/-/fault", data={"slowdown": 40})
    started_s = time.monotonic()
    assert (await async_request(pool, address, "/a"))[0] == 200
    assert time.monotonic() - started_s >= 0.04


async def async_freeze(pool, address):
    await async_request(pool, address, "/-/fault", data={"freeze": True})
    with anyio.move_on_after(0.1) as scope:
        await async_request(pool, address, "/-/health")
    assert scope.cancelled_caught
    await async_request(pool, address, "/-/fault", data={"freeze": False})
    assert (await async_request(pool, address, "/-/health"))[0] == 200


async def async_restart(pool, address, path="/-/fault"):
    await async_request(pool, address, "/-/grant", data=GRANT)
    with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
        await async_request(pool, address, path, data={"restart": True})
    _, answer = await async_request(pool, address, "/-/health")
    assert answer["start_id"] == "s-1-2"
    assert (await async_request(pool, address, "/a", KEYED))[0] == 409


async def async_crash(pool, address):
    await async_restart(pool, address, "/a?crash-the-server")


@pytest.mark.parametrize(
    "async_fault", [async_slow, async_freeze, async_restart, async_crash]
)
def test_fault_has_its_effect(async_fault):
    """Guards against an injected fault that changes nothing."""
    app = make_application(service_time_sigma=0.0)
    run(app, async_fault)


def test_closed_connection_cancels_the_order():
    """Guards against cancelled orders that go on taking a slot of the stand-in."""
    cfg = BackendModelSettings("s-1", service_time_s=30.0, service_time_sigma=0.0)
    model = BackendModel(cfg, random.Random(1), started_s=time.monotonic() - 60.0)
    app = BackendApplication(model)

    async def async_main():
        async with async_serve(app, make_backend_server(app)) as address:
            async with httpcore.AsyncConnectionPool() as pool:
                with anyio.move_on_after(0.2):
                    await pool.request("GET", f"http://{address}/a")
            with anyio.fail_after(5.0):
                while model.running:
                    await anyio.sleep(0.01)
        return model.ran

    assert anyio.run(async_main) == 1
