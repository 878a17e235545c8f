"""Guards the store client against faults of the platform."""

import anyio
import pytest

from wagtailrill.platform.http_store import HttpStore
from wagtailrill.platform.models import (
    InstanceEntry,
    LeaseGrant,
    Read,
    Stored,
    StoreErrorKind,
    Watch,
    Write,
    Written,
)
from wagtailrill.stand_ins.faults import Outage, StoreFaults
from wagtailrill.stand_ins.http import HttpAnswer, async_send_answer, async_serve
from wagtailrill.stand_ins.instance_registry import InstanceRegistry
from wagtailrill.stand_ins.store import StoreStandIn

TIMEOUT_S = 0.1
WRITE = Write("a", b"1", 0)
FAULTS = {
    "silent outage": (StoreFaults(outage=Outage.SILENT), 0),
    "outage with an error status": (StoreFaults(outage=Outage.ERROR), 0),
    "slower than the timeout": (StoreFaults(latency_s=1.0), 0),
    "answer lost after the effect": (StoreFaults(lost_answer_probability=1.0), 1),
}


def run_with(async_scenario, app=None, **options):
    """Run a scenario with an application and a client of it."""

    async def async_main():
        app_or_stand_in = app or StoreStandIn()
        async with (
            async_serve(app_or_stand_in) as address,
            HttpStore((address,), **options) as store,
        ):
            await async_scenario(app_or_stand_in, store)

    anyio.run(async_main)


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_is_unavailable_in_time_and_the_store_recovers(fault):
    """Guards against calls that hang, or that hide whether a write took effect."""
    faults, revision = FAULTS[fault]

    async def async_scenario(app, store):
        app.faults = faults
        for operation in (WRITE, Read("a"), LeaseGrant(1.0)):
            with anyio.fail_after(5 * TIMEOUT_S):
                result = await store.async_call(operation)
            assert result.error.kind is StoreErrorKind.UNAVAILABLE
        assert app.model.revision_of("a") == revision
        app.faults = StoreFaults()
        assert (await store.async_call(Read("a"))).ok.revision == revision

    run_with(async_scenario, timeout_s=TIMEOUT_S)


ANSWERS = {
    "no object": (200, []),
    "empty object": (200, {}),
    "negative revision": (200, {"value": "", "revision": -1}),
    "text for a revision": (200, {"value": "", "revision": "1"}),
    "value that is not base64": (200, {"value": "%", "revision": 1}),
    "redirect": (302, {}),
    "internal error": (500, {"value": "", "revision": 1}),
}


@pytest.mark.parametrize("answer", ANSWERS)
def test_bad_answer_is_unavailable(answer):
    """Guards against values made up from a damaged answer."""
    status, body = ANSWERS[answer]

    async def async_app(scope, receive, send):
        await async_send_answer(send, HttpAnswer(status, body))

    async def async_scenario(app, store):
        result = await store.async_call(Read("a"))
        assert result.error.kind is StoreErrorKind.UNAVAILABLE
        assert await store.async_list() == ()
        assert store.list_failures == 1

    run_with(async_scenario, async_app, timeout_s=5.0)


def test_watch_returns_when_the_key_changes():
    """Guards against watchers that learn of a change only at their timeout."""

    async def async_scenario(app, store):
        results = []

        async def async_watch():
            results.append(await store.async_call(Watch("a", 0, 30.0)))

        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(async_watch)
                await anyio.sleep(0.05)
                assert (await store.async_call(WRITE)).ok == Written(1)
        assert results[0].ok == Stored("a", b"1", 1)

    run_with(async_scenario)


def test_watch_outlasts_the_call_timeout():
    """Guards against watches that fail while nothing changes."""

    async def async_scenario(app, store):
        result = await store.async_call(Watch("a", 0, 4 * TIMEOUT_S))
        assert result.ok == Stored("a", b"", 0)

    run_with(async_scenario, timeout_s=TIMEOUT_S)


def test_other_address_is_used_when_one_refuses_connections():
    """Guards against an outage of one address that stops all calls."""

    async def async_main():
        async with async_serve(StoreStandIn()) as gone:
            pass
        async with (
            async_serve(StoreStandIn()) as address,
            HttpStore((gone, address), timeout_s=5.0) as store,
        ):
            assert (await store.async_call(WRITE)).ok == Written(1)

    anyio.run(async_main)


def test_list_shows_heartbeats_and_survives_an_outage():
    """Guards against an outage that looks like the loss of all instances."""
    entry = InstanceEntry("i-1", "127.0.0.1:1", "volos-a", leaving=True)

    async def async_scenario(app, store):
        assert await store.async_register(entry)
        assert await store.async_list() == (entry,)
        app.faults = StoreFaults(outage=Outage.ERROR)
        assert await store.async_list() == (entry,)
        assert store.list_failures == 1

    run_with(async_scenario, StoreStandIn(InstanceRegistry(lag_s=0.0)))
