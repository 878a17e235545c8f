"""Guards that all instances know the servers while one reads their list."""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.core.commands import CallStore
from wagtailrill.platform import wire
from wagtailrill.servers.models import ServerState
from wagtailrill.store.models import ListPrefix

LEAVES_WITHIN_S = 2.0


@pytest.fixture
def run():
    deployment = Deployment(51, instances=6)
    deployment.start()
    return deployment


def reader(run):
    (name,) = [n for n in run.fleet.nodes if run.router(n).duties.holds("servers")]
    return name


def lists_by_instance(run, seconds):
    """Return how often each instance reads the list from the store."""
    counts = dict.fromkeys(run.fleet.nodes, 0)
    original = run.fleet._handlers[CallStore]

    def count(name, command):
        operation = command.operation
        if isinstance(operation, ListPrefix) and operation.prefix == wire.SERVER_PREFIX:
            counts[name] += 1
        original(name, command)

    run.fleet.on_command(CallStore, count)
    run.fleet.run_until(run.now_s + seconds)
    run.fleet.on_command(CallStore, original)
    return counts


def knows_as_leaving(run, name, server):
    row = run.router(name).servers.rows.get(server)
    return row is None or row.entry.state is ServerState.LEAVING


def known_everywhere_after_s(run, names, server):
    start_s = run.now_s
    while not all(knows_as_leaving(run, n, server) for n in names):
        run.fleet.run_until(run.now_s + 0.05)
        assert run.now_s - start_s < 10.0
    return run.now_s - start_s


def test_one_instance_reads_for_all(run):
    """Guards against calls to the store that grow with the fleet."""
    counts = lists_by_instance(run, 10.0)
    assert sum(counts.values()) == counts[reader(run)]
    assert 16 <= counts[reader(run)] <= 24


def test_leaving_server_is_known_everywhere_in_time(run):
    """Guards against instances that use a server for too long."""
    run.servers.leave(run.servers.by_name["box-1-1"])
    assert known_everywhere_after_s(run, run.names, "box-1-1") < LEAVES_WITHIN_S


def test_instance_cut_off_from_the_reader_reads_the_store(run):
    """Guards against an instance whose knowledge ages since it waits for the reader."""
    name = next(n for n in run.names if n != reader(run))
    run.fleet.partition({name})
    run.fleet.run_until(run.now_s + 3.0)
    run.servers.leave(run.servers.by_name["box-1-1"])
    assert known_everywhere_after_s(run, [name], "box-1-1") < LEAVES_WITHIN_S


def test_loss_of_the_reader_hides_no_change(run):
    """Guards against changes that are unknown until another has the duty."""
    lost = reader(run)
    run.kill(lost)
    run.fleet.run_until(run.now_s + 0.3)
    run.servers.leave(run.servers.by_name["box-1-1"])
    rest = [n for n in run.names if n != lost]
    assert known_everywhere_after_s(run, rest, "box-1-1") < LEAVES_WITHIN_S


def test_reader_that_cannot_reach_the_store_holds_nobody_back(run):
    """Guards against instances that trust a list which nobody confirms."""
    run.fleet.store.unreachable.add(reader(run))
    run.fleet.run_until(run.now_s + 1.0)
    run.servers.leave(run.servers.by_name["box-1-1"])
    rest = [n for n in run.names if n not in run.fleet.store.unreachable]
    assert known_everywhere_after_s(run, rest, "box-1-1") < LEAVES_WITHIN_S


def test_doubt_ends_with_the_next_entry_also_without_reading(run):
    """Guards against a server that stays cold where entries come from the reader."""
    name = next(n for n in run.names if n != reader(run))
    router = run.router(name)
    row = router.servers.rows["box-1-1"]
    row.doubted_revision = row.entry.revision
    run.fleet.run_until(run.now_s + 3.0)
    assert not router.servers.is_cold(row)


def test_server_that_starts_again_is_a_new_one_everywhere(run):
    """Guards against keys and load of a former process."""
    before = {n: run.router(n).servers.rows["box-1-1"] for n in run.names}
    run.servers.crash(run.servers.by_name["box-1-1"], 0.2)
    run.fleet.run_until(run.now_s + 3.0)
    for name, row in before.items():
        names = {r.name for r in run.router(name).servers.by_service["box"]}
        assert run.router(name).servers.rows.get("box-1-1") is not row
        assert len(names) == 4
