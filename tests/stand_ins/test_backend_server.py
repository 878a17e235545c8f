"""Guards the backend server stand-in against its protocol's page."""

import json
import random
import time

import anyio
import httpcore
import pytest

from wagtailrill.stand_ins.backend_server import (
    NATIVE,
    PLATFORM,
    BackendApplication,
    make_backend_server,
)
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.server_model import ServerModel, ServerModelSettings

GRANT = {"first": 4, "last": 9, "fence": 4, "duration_s": 60.0}
RELEASE = {"first": 4, "last": 9, "fence": 5}
KEYED = {"wagtailrill-key-position": "7"}
NOT_RUN = "wagtailrill-not-run"
# Steps of (path, sent headers, sent JSON or None, status, part of the answer's JSON or
# of its headers).
PROTOCOL = {
    "an order is echoed with its request id": [
        ("/-/grant", {}, GRANT, 200, {}),
        (
            "/a/b",
            KEYED
            | {"wagtailrill-request-id": "r-1", "wagtailrill-organisation": "volos"},
            {"order": 1},
            200,
            {"server": "s-1", "organisation": "volos", "path": "/a/b"}
            | {"wagtailrill-request-id": "r-1", "wagtailrill-start-id": "s-1-1"}
            | {"wagtailrill-load": "1,0,6,100"},
        ),
    ],
    "an order without its grant is fenced": [
        ("/a", KEYED, None, 421, {NOT_RUN: "fenced"}),
        ("/-/counts", {}, None, 200, {"ran": 0}),
    ],
    "an order runs within granted keys only": [
        ("/-/grant", {}, GRANT, 200, {}),
        ("/a", KEYED, None, 200, {"server": "s-1"}),
        ("/a", {"wagtailrill-key-position": "10"}, None, 421, {NOT_RUN: "fenced"}),
        ("/-/counts", {}, None, 200, {"ran": 1}),
    ],
    "a grant ends by itself": [
        ("/-/grant", {}, GRANT | {"duration_s": 0.0}, 200, {}),
        ("/a", KEYED, None, 421, {NOT_RUN: "fenced"}),
    ],
    "a grant below the highest token is refused": [
        ("/-/grant", {}, GRANT, 200, {}),
        ("/-/grant", {}, GRANT | {"fence": 3}, 409, {}),
        ("/-/grant", {}, GRANT | {"fence": 3, "first": 10, "last": 12}, 200, {}),
    ],
    "a release ends the grant and bars older ones": [
        ("/-/grant", {}, GRANT, 200, {}),
        ("/-/release", {}, RELEASE, 200, {"wagtailrill-handover": "s-1-1-1"}),
        ("/a", KEYED, None, 421, {NOT_RUN: "fenced"}),
        ("/-/grant", {}, GRANT, 409, {}),
    ],
    "health names the process start": [
        ("/-/health", {}, None, 200, {"start_id": "s-1-1"}),
    ],
    "repeated runs of an idempotency key are counted": [
        ("/a", {"idempotency-key": "k"} | KEYED, None, 421, {}),
        ("/-/grant", {}, GRANT, 200, {}),
        ("/a", {"idempotency-key": "k"} | KEYED, None, 200, {}),
        ("/a", {"idempotency-key": "k"} | KEYED, None, 200, {}),
        ("/-/counts", {}, None, 200, {"ran": 2, "duplicates": 1, "starts": 1}),
    ],
}


def make_application(speech=NATIVE, **settings):
    fields = {"keyed": True, "work_s": 0.001, "work_sigma": 0.0} | settings
    cfg = ServerModelSettings("s-1", **fields)
    model = ServerModel(cfg, random.Random(1), time.monotonic())
    return BackendApplication(model, speech)


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
    app = make_application(slots=1, queue=1, keyed=False)
    app.model.slowness = 300.0
    statuses = []

    async def async_order(pool, address):
        status, answer = await async_request(pool, address, "/a")
        statuses.append((status, answer.get(NOT_RUN)))

    async def async_test(pool, address):
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(async_order, pool, address)

    run(app, async_test)
    assert sorted(statuses) == [(200, None)] * 2 + [(503, "shed")] * 2


async def async_slow(pool, address):
    await async_request(pool, address, "/-/grant", data=GRANT)
    await async_request(pool, address, "/-/fault", data={"slowness": 40})
    started_s = time.monotonic()
    assert (await async_request(pool, address, "/a", KEYED))[0] == 200
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
    assert (await async_request(pool, address, "/a", KEYED))[0] == 421


async def async_crash(pool, address):
    await async_restart(pool, address, "/a?crash-the-server")


@pytest.mark.parametrize(
    "async_fault", [async_slow, async_freeze, async_restart, async_crash]
)
def test_fault_has_its_effect(async_fault):
    """Guards against an injected fault that changes nothing."""
    run(make_application(), async_fault)


def test_closed_connection_cancels_the_order():
    """Guards against cancelled orders that go on taking a slot of the stand-in."""
    app = make_application(keyed=False, work_s=30.0)
    model = app.model

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


def test_release_answers_when_the_work_on_its_keys_has_ended():
    """Guards against a move that ends while the former owner still works."""
    app = make_application(work_s=0.3)
    seen = []

    async def async_order(pool, address):
        seen.append((await async_request(pool, address, "/a", KEYED))[0])

    async def async_test(pool, address):
        await async_request(pool, address, "/-/grant", data=GRANT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_order, pool, address)
            await anyio.sleep(0.1)
            await async_request(pool, address, "/-/release", data=RELEASE)
            seen.append("released")

    run(app, async_test)
    assert seen == [200, "released"]


def test_platform_speech_serves_the_platforms_names():
    """Guards against a stand-in that speaks only the product's own interface."""
    app = make_application(PLATFORM)
    names, paths = PLATFORM.headers, PLATFORM.control
    grant = {
        paths.first_field: 0,
        paths.last_field: 9,
        paths.fence_field: 1,
        paths.duration_field: "60000ms",
    }
    position = {PLATFORM.key_position.decode(): "7"}

    async def async_test(pool, address):
        assert (await async_request(pool, address, paths.grant_path, None, grant))[
            0
        ] == 200
        status, answer = await async_request(pool, address, "/a", position)
        assert status == 200
        assert answer[names.load.decode().lower()] == "1,0,6,100"

    run(app, async_test)
