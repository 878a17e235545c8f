"""Tests that all instances know the servers while one instance reads the list."""

import pytest
from expression import Ok

from tests.runs.deployment import Deployment
from tests.support import advance_time, list_store_calls, make_context, make_table
from wagtailrill.core.commands import CallStore
from wagtailrill.fleet.duties import Duties
from wagtailrill.fleet.members import Members
from wagtailrill.fleet.models import FleetSettings
from wagtailrill.platform import wire
from wagtailrill.platform.discovery import PlatformEntryDecoder
from wagtailrill.servers.const import ENTRIES_AGE_MAX_S, RELAY_TICK_S
from wagtailrill.servers.discovery import Discovery, DiscoverySettings
from wagtailrill.servers.models import ServerState
from wagtailrill.servers.relay import EntryRelay
from wagtailrill.store.models import Listed, ListPrefix, WatchPrefix

PROPAGATION_MAX_S = 2.0


@pytest.fixture
def run():
    deployment = Deployment(51, instances=6)
    deployment.start_all()
    return deployment


def find_reader(run):
    (name,) = [n for n in run.fleet.nodes if run.get_router(n).duties.holds("servers")]
    return name


def count_list_calls(run, seconds):
    """Return how often each instance reads the list, or its changes."""
    counts = dict.fromkeys(run.fleet.nodes, 0)
    original_handler = run.fleet._handlers[CallStore]

    def count_list_call(name, command):
        operation = command.operation
        is_read = isinstance(operation, ListPrefix | WatchPrefix)
        if is_read and operation.prefix == wire.SERVER_PREFIX:
            counts[name] += 1
        original_handler(name, command)

    run.fleet.register_handler(CallStore, count_list_call)
    run.fleet.run_until(run.now_s + seconds)
    run.fleet.register_handler(CallStore, original_handler)
    return counts


def knows_server_leaves(run, name, server):
    row = run.get_router(name).servers.rows.get(server)
    return row is None or row.entry.state is ServerState.LEAVING


def measure_propagation_s(run, names, server):
    start_s = run.now_s
    while not all(knows_server_leaves(run, n, server) for n in names):
        run.fleet.run_until(run.now_s + 0.05)
        assert run.now_s - start_s < 10.0
    return run.now_s - start_s


def test_one_instance_reads_for_all(run):
    """Guards against store calls that grow with the number of instances."""
    counts = count_list_calls(run, 10.0)
    assert sum(counts.values()) == counts[find_reader(run)]
    assert 16 <= counts[find_reader(run)] <= 24


def test_leaving_server_is_known_everywhere_in_time(run):
    """Guards against instances that use a leaving server for too long."""
    run.servers.drain_server(run.servers.by_name["box-1-1"])
    assert measure_propagation_s(run, run.instance_names, "box-1-1") < PROPAGATION_MAX_S


def test_instance_cut_off_from_the_reader_reads_the_store(run):
    """Guards against entries that go stale while an instance waits for the reader."""
    name = next(n for n in run.instance_names if n != find_reader(run))
    run.fleet.isolate_instances({name})
    run.fleet.run_until(run.now_s + 3.0)
    run.servers.drain_server(run.servers.by_name["box-1-1"])
    assert measure_propagation_s(run, [name], "box-1-1") < PROPAGATION_MAX_S


def test_loss_of_the_reader_delays_no_change(run):
    """Guards against changes that stay unknown until another instance is the reader."""
    lost = find_reader(run)
    run.kill_instance(lost)
    run.fleet.run_until(run.now_s + 0.3)
    run.servers.drain_server(run.servers.by_name["box-1-1"])
    rest = [n for n in run.instance_names if n != lost]
    assert measure_propagation_s(run, rest, "box-1-1") < PROPAGATION_MAX_S


def test_reader_without_the_store_does_not_delay_the_others(run):
    """Guards against instances that rely on a list that is no longer confirmed."""
    run.fleet.store.unreachable_instances.add(find_reader(run))
    run.fleet.run_until(run.now_s + 1.0)
    run.servers.drain_server(run.servers.by_name["box-1-1"])
    rest = [
        n for n in run.instance_names if n not in run.fleet.store.unreachable_instances
    ]
    assert measure_propagation_s(run, rest, "box-1-1") < PROPAGATION_MAX_S


def test_doubt_ends_with_the_next_relayed_entry(run):
    """Guards against a server that stays cold where entries come from the reader."""
    name = next(n for n in run.instance_names if n != find_reader(run))
    router = run.get_router(name)
    row = router.servers.rows["box-1-1"]
    row.doubted_revision = row.entry.revision
    run.fleet.run_until(run.now_s + 3.0)
    assert not router.servers.is_cold(row)


def test_restarted_server_gets_a_new_row_everywhere(run):
    """Guards against a new process that inherits the keys and load of the old one."""
    before = {n: run.get_router(n).servers.rows["box-1-1"] for n in run.instance_names}
    run.servers.crash_server(run.servers.by_name["box-1-1"], 0.2)
    run.fleet.run_until(run.now_s + 3.0)
    for name, row in before.items():
        names = {r.name for r in run.get_router(name).servers.rows_by_service["box"]}
        assert run.get_router(name).servers.rows.get("box-1-1") is not row
        assert len(names) == 4


@pytest.mark.parametrize("is_first_start", [True, False])
def test_only_the_first_start_of_a_deployment_reads_a_stale_list(is_first_start):
    """Guards against a server that left and is in use again after a restart.

    A stale read has a tenth of the price: at the first start 195 instances read 15
    pages each. Later, a server may have left within the seconds that it is old.
    """
    ctx = make_context()
    discovery = Discovery(
        ctx, DiscoverySettings("servers/"), PlatformEntryDecoder(), lambda entries: None
    )
    duties = Duties(ctx, Members(ctx, FleetSettings("fleet/", "127.0.0.1:1")))
    EntryRelay(ctx, duties, discovery, make_table(ctx), (), is_first_start)
    advance_time(ctx, RELAY_TICK_S)
    (call,) = list_store_calls(ctx, ListPrefix)
    assert call.operation.allow_stale is is_first_start
    ctx.handle_store_reply(call.call_id, Ok(Listed((), False, 10)))
    ctx.commands.clear()
    advance_time(ctx, ENTRIES_AGE_MAX_S)
    lists = list_store_calls(ctx, ListPrefix)
    assert lists or list_store_calls(ctx, WatchPrefix)
    assert not any(call.operation.allow_stale for call in lists)
