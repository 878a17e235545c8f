"""Tests that all instances know the servers while one instance reads the list."""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.core.commands import CallStore
from wagtailrill.platform import wire
from wagtailrill.servers import relay
from wagtailrill.servers.models import ServerState
from wagtailrill.store.models import ListPrefix, WatchPrefix

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


@pytest.mark.parametrize("is_large", [True, False])
def test_first_list_in_a_large_fleet_is_a_cheap_one(run, is_large, monkeypatch):
    """Guards against a start of hundreds that costs as much as seconds of service.

    195 instances read 15 pages each as they started. A stale read has a tenth of the
    price; the reader itself never makes one.
    """
    instances_min = 6 if is_large else 7
    monkeypatch.setattr(relay, "STALE_START_INSTANCES_MIN", instances_min)
    operations = []
    original_handler = run.fleet._handlers[CallStore]

    def record(name, command):
        operation = command.operation
        if isinstance(operation, ListPrefix) and operation.prefix == wire.SERVER_PREFIX:
            operations.append((name, operation.allow_stale))
        original_handler(name, command)

    run.fleet.register_handler(CallStore, record)
    names = [n for n in run.fleet.nodes if n != find_reader(run)]
    for name in names:
        run.kill_instance(name)
        run.fleet.start_instance(name)
    run.fleet.run_until(run.now_s + 3.0)
    started = [is_stale for name, is_stale in operations if name in names]
    assert started == [is_large] * len(names)
    assert all(run.get_router(name).servers.rows for name in names)
