"""Guards that the store client follows the published protocol, over HTTP."""

import anyio
import pytest

from wagtailrill.platform.store_client import (
    RECEIVING_MAX_BYTES,
    PlatformStore,
    _read_era,
)
from wagtailrill.stand_ins.faults import Outage, StoreFaults
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.store import StoreStandIn
from wagtailrill.store.models import (
    Commit,
    Expected,
    Get,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    ListPrefix,
    Put,
    Removed,
    StoreErrorKind,
    WatchPrefix,
)

# For calls that the store answers. Client and store share an event loop, which a busy
# machine may not run for more than a second.
TIMEOUT_S = 30.0
# For scenarios in which the store leaves a call without a response.
SILENCE_TIMEOUT_S = 2.0


def run_scenario(scenario, timeout_s=TIMEOUT_S):
    """Run a scenario with the store stand-in and a client of it."""

    async def async_main():
        app = StoreStandIn()
        async with (
            async_serve(app) as address,
            PlatformStore((address,), timeout_s) as store,
        ):
            return await scenario(app, store)

    return anyio.run(async_main)


def make_put_commit(key, value=b"v", expected=None):
    conditions = () if expected is None else (Expected(key, expected),)
    return Commit(conditions, (Put(key, value),))


def test_written_key_is_read_back_with_its_revision():
    """Guards against values or revisions that are altered in encoding or decoding."""

    async def scenario(app, store):
        commit = (await store.async_call(make_put_commit("a", b"\x00\xff"))).result.ok
        return commit, (await store.async_call(Get("a"))).result.ok.item

    commit, item = run_scenario(scenario)
    assert (item.value, item.revision) == (b"\x00\xff", commit.revision)


def test_absent_key_is_not_an_error():
    """Guards against an absent key that is reported as an outage."""

    async def scenario(app, store):
        return (await store.async_call(Get("none"))).result.ok

    assert run_scenario(scenario).item is None


def test_conflict_returns_the_stored_items():
    """Guards against a rejected write that its writer takes for committed."""

    async def scenario(app, store):
        await store.async_call(make_put_commit("a", b"1"))
        return (
            await store.async_call(make_put_commit("a", b"2", expected=0))
        ).result.error

    error = run_scenario(scenario)
    assert error.kind is StoreErrorKind.CONFLICT
    assert error.items[0].value == b"1"


def test_long_listing_is_read_page_by_page():
    """Guards against keys beyond the first page that are never read."""

    async def scenario(app, store):
        for number in range(700):
            app.write_key(f"s/{number:04}", b"x")
        keys, after_key = [], ""
        while True:
            page = (await store.async_call(ListPrefix("s/", after_key))).result.ok
            keys += [item.key for item in page.items]
            if not page.has_more:
                return keys
            after_key = page.items[-1].key

    assert run_scenario(scenario) == [f"s/{n:04}" for n in range(700)]


def test_watch_returns_changes_and_removals():
    """Guards against changes between two watches that are missed."""

    async def scenario(app, store):
        first_revision = (
            await store.async_call(make_put_commit("a/1"))
        ).result.ok.revision
        app.write_key("a/2", b"x")
        app.write_key("a/1", None)
        return (
            await store.async_call(WatchPrefix("a/", first_revision, 1.0))
        ).result.ok

    changes = run_scenario(scenario)
    assert [e.key for e in changes.events] == ["a/2", "a/1"]
    assert isinstance(changes.events[1], Removed)


def test_pending_watch_returns_on_a_change():
    """Guards against changes that are reported only when the wait time is over."""

    async def scenario(app, store):
        revision = (await store.async_call(make_put_commit("a/1"))).result.ok.revision
        async with anyio.create_task_group() as tasks:

            async def async_write_change():
                await anyio.sleep(0.1)
                app.write_key("a/2", b"x")

            tasks.start_soon(async_write_change)
            with anyio.fail_after(2.0):
                result = (
                    await store.async_call(WatchPrefix("a/", revision, 10.0))
                ).result
        return result.ok

    assert [e.key for e in run_scenario(scenario).events] == ["a/2"]


def test_watch_from_a_compacted_revision_fails():
    """Guards against a watch that silently omits changes."""

    async def scenario(app, store):
        revision = (await store.async_call(make_put_commit("a/1"))).result.ok.revision
        app.write_key("a/2", b"x")
        app.model.compact_history()
        return (await store.async_call(WatchPrefix("a/", revision, 0.1))).result.error

    assert run_scenario(scenario).kind is StoreErrorKind.COMPACTED


def test_revoked_lease_removes_its_keys():
    """Guards against a lost member that stays registered."""

    async def scenario(app, store):
        lease = (await store.async_call(LeaseGrant(5.0))).result.ok
        await store.async_call(Commit((), (Put("m", b"x", lease.lease_id),)))
        renewed_lease = (await store.async_call(LeaseRenew(lease.lease_id))).result.ok
        item_before = (await store.async_call(Get("m"))).result.ok.item
        await store.async_call(LeaseRevoke(lease.lease_id))
        item_after = (await store.async_call(Get("m"))).result.ok.item
        renewal_error = (
            await store.async_call(LeaseRenew(lease.lease_id))
        ).result.error
        return (
            renewed_lease.ttl_s,
            item_before.lease_id == lease.lease_id,
            item_after,
            renewal_error.kind,
        )

    assert run_scenario(scenario) == (5.0, True, None, StoreErrorKind.LEASE_ENDED)


@pytest.mark.parametrize("key", ["op/config", "servers/i-1"])
def test_write_to_a_foreign_key_is_invalid(key):
    """Guards against a write to a forbidden key that is reported as an outage."""

    async def scenario(app, store):
        return (await store.async_call(make_put_commit(key))).result.error

    assert run_scenario(scenario).kind is StoreErrorKind.INVALID


@pytest.mark.parametrize(
    ("outage", "kind"),
    [
        (Outage.UNAVAILABLE, StoreErrorKind.REFUSED),
        (Outage.TOO_MANY_REQUESTS, StoreErrorKind.REFUSED),
        (Outage.SILENT, StoreErrorKind.NO_ANSWER),
    ],
)
def test_refusal_and_missing_response_are_distinguished(outage, kind):
    """Guards against a call that may have taken effect but is reported as refused."""

    async def scenario(app, store):
        app.faults = StoreFaults(outage=outage)
        error = (await store.async_call(make_put_commit("a"))).result.error
        app.faults = StoreFaults()
        return error.kind, (await store.async_call(Get("a"))).result.is_ok()

    assert run_scenario(scenario, SILENCE_TIMEOUT_S) == (kind, True)


def test_lost_response_is_no_answer_although_the_write_took_effect():
    """Guards against a committed write that is reported as not carried out."""

    async def scenario(app, store):
        app.faults = StoreFaults(lost_answer_probability=1.0)
        error = (await store.async_call(make_put_commit("a"))).result.error
        app.faults = StoreFaults()
        return error.kind, (await store.async_call(Get("a"))).result.ok.item is not None

    result = run_scenario(scenario, SILENCE_TIMEOUT_S)
    assert result == (StoreErrorKind.NO_ANSWER, True)


def test_refusal_of_this_client_alone_is_reported():
    """Guards against a client that detects only an outage for all clients."""

    async def scenario(app, store):
        app.faults = StoreFaults(outage=Outage.UNAVAILABLE, clients=("127.0.0.1",))
        is_refused = (await store.async_call(Get("a"))).result.is_error()
        app.faults = StoreFaults(outage=Outage.UNAVAILABLE, clients=("10.0.0.1",))
        return is_refused, (await store.async_call(Get("a"))).result.is_ok()

    assert run_scenario(scenario) == (True, True)


def test_refused_connection_is_no_answer():
    """Guards against an exception from the call when the store is unreachable."""

    async def async_main():
        async with PlatformStore(("127.0.0.1:1",), TIMEOUT_S) as store:
            return (await store.async_call(Get("a"))).result.error.kind

    assert anyio.run(async_main) is StoreErrorKind.NO_ANSWER


@pytest.mark.parametrize(
    ("values", "era"),
    [
        ((b"1",), 1),
        ((b"9000",), 9_000),
        ((), 0),
        ((b"",), 0),
        ((b"-1",), 0),
        ((b"2", b"3"), 0),
        ((b"9001",), 0),
        ((b"999999999",), 0),
        ((b"1" * 5_000,), 0),
    ],
)
def test_era_is_read_only_if_revisions_of_it_can_be_packed(values, era):
    """Guards against a damaged era by which all true answers would be outdated."""
    headers = [(b"Store-Era", value) for value in values]
    assert _read_era(headers) == era


class EndlessStore:
    """Answers each call with a body without end, and counts what it has sent."""

    def __init__(self):
        self.sent_bytes = 0

    async def serve(self, stream):
        async with stream:
            try:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    await stream.send(b"x" * 65_536)
                    self.sent_bytes += 65_536
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                pass


def test_answers_of_the_store_without_end_are_limited_together():
    """Guards against calls that together fill the memory: each kept up to 8 MB."""
    endless = EndlessStore()
    results, peaks = [], []

    async def async_main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as server_group:
            server_group.start_soon(listener.serve, endless.serve)
            async with (
                PlatformStore((f"127.0.0.1:{port}",), TIMEOUT_S) as store,
                anyio.create_task_group() as tg,
            ):

                async def async_call():
                    results.append((await store.async_call(Get("a"))).result)
                    peaks.append(store.receiving_peak_bytes)

                for _ in range(12):
                    tg.start_soon(async_call)
            server_group.cancel_scope.cancel()

    anyio.run(async_main)
    assert {result.error.kind for result in results} == {StoreErrorKind.NO_ANSWER}
    assert max(peaks) <= RECEIVING_MAX_BYTES + 12 * 65_536
