"""Guards the spread of configurations."""

import pytest
from hypothesis import given, settings, strategies as st

from tests.configuration.fleet import CFG, KeeperFleet
from tests.configuration.random_run import RUNS, run_schedule
from wagtailrill.configuration.keeper import ConfigurationKeeper
from wagtailrill.configuration.messages import (
    ConfigurationPush,
    ConfigurationRequest,
    register_messages,
)
from wagtailrill.configuration.models import (
    NO_DOCUMENT,
    Document,
    Notice,
    version_from_bytes,
)
from wagtailrill.configuration.patch import apply_push, make_push
from wagtailrill.peer.registry import MessageRegistry

SCHEDULES_PER_TEST = 20


@pytest.fixture
def run():
    fleet = KeeperFleet(seed=1)
    fleet.run_until_settled(10.0)
    return fleet


@pytest.mark.parametrize("first_seed", range(0, 200, SCHEDULES_PER_TEST))
def test_random_schedules_keep_the_invariants(first_seed):
    """Guards against old, reverted or invalid configurations under combined faults."""
    RUNS.check_all(first_seed, SCHEDULES_PER_TEST)


def test_cell_works_with_real_membership():
    """Guards against a keeper that only fits the fake membership."""
    fleet = KeeperFleet(seed=1, real_membership=True)
    fleet.run_until_settled(10.0)
    fleet.write()
    fleet.run_until_settled(1.0)


def test_two_instances_watch_and_a_change_is_pushed_as_a_difference(run):
    """Guards against store calls that grow with the cell, and against full texts."""
    pushed = []
    run.fleet.bytes_of = lambda command: pushed.append(command.envelope.message) or 0
    before = run.store.calls["Watch"]
    run.run(15.0)
    assert run.store.calls["Watch"] - before <= 2 * (15.0 / 1.5 + 1)
    run.write()
    run.run_until_settled(0.5)
    sizes = [len(m.middle) for m in pushed if isinstance(m, ConfigurationPush)]
    assert len(sizes) == len(run.names) - 1
    assert max(sizes) < 100


def test_store_without_a_declaration_makes_nobody_ready():
    """Guards against instances that serve by an empty configuration."""
    run = KeeperFleet(seed=2)
    run.store.model._rows.clear()
    run.run(5.0)
    assert run.serving() == []


def test_instance_that_was_paused_is_not_ready_by_its_old_version(run):
    """Guards against withdrawn keys that work again after a pause."""
    name = next(n for n in run.names if n != run.coordinator())
    run.fleet.pause(name)
    run.run(4.0)
    run.write()
    run.run(4.0)
    run.fleet.resume(name)
    assert name not in run.serving()
    run.run_until_settled(2.0)


def test_lower_revision_of_a_restored_store_is_not_applied(run):
    """Guards against a restored store that reverts the configuration."""
    for _ in range(3):
        run.write()
    run.run_until_settled(1.0)
    latest = run.keepers["i-00"].version
    run.store.model._rows[CFG.key].revision = 1
    run.run(5.0)
    assert {k.version for k in run.keepers.values()} == {latest}


TEXTS = st.binary(max_size=40)


@settings(derandomize=True, deadline=None)
@given(TEXTS, TEXTS, st.sampled_from([b"", b"x" * 3000]))
def test_push_restores_the_text(old, new, common):
    """Guards against a difference that changes the declaration."""
    base = Document.of(3, old + common + old)
    document = Document.of(7, old + common + new)
    assert apply_push(make_push(document, base, True), base) == document
    assert apply_push(make_push(document, NO_DOCUMENT, False), base) == document
    other = Document.of(4, base.text)
    assert apply_push(make_push(document, base, True), other) is None


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=30), st.integers(0, 99), st.integers(0, 99))
def test_damaged_push_is_dropped(middle, prefix, suffix):
    """Guards against a damaged push that raises or is applied."""
    push = ConfigurationPush(9, 0, prefix, suffix, middle, 1, True)
    assert apply_push(push, NO_DOCUMENT) is None


@pytest.mark.parametrize("payload", [b"", b"1234567", b"12345678\1\xff"])
def test_malformed_payload_is_a_value_error(payload):
    """Guards against a heartbeat that ends the process."""
    with pytest.raises(ValueError):
        Notice.from_bytes(payload)
    with pytest.raises(ValueError):
        version_from_bytes(payload + b"12")


def test_messages_survive_the_wire():
    """Guards against fields that are lost between instances."""
    registry = MessageRegistry()
    register_messages(registry)
    push = ConfigurationPush(2**40, 5, 6, 7, b"\0\xff", 2**64 - 1, True)
    for message in (push, ConfigurationRequest(3)):
        assert registry.decode(*registry.encode(message)) == message
    notice = Notice(2**40, True, "i-01")
    assert Notice.from_bytes(notice.to_bytes()) == notice


REMOVED = {
    "repair of members that are behind": ("_may_push", lambda keeper, instance: False),
    "version check": ("_seen_version", 0),
}


def run_schedules(count):
    for seed in range(count):
        run_schedule(seed)


@pytest.mark.parametrize("mechanism", REMOVED)
def test_random_schedules_notice_a_removed_mechanism(monkeypatch, mechanism):
    """Guards against schedules that pass whatever the keeper does."""
    monkeypatch.setattr(ConfigurationKeeper, *REMOVED[mechanism])
    with pytest.raises(AssertionError):
        run_schedules(60)


def test_member_that_misses_every_push_stops_serving(run, monkeypatch):
    """Guards against members that serve on although they know of a newer version."""
    monkeypatch.setattr(ConfigurationKeeper, "_push", lambda *_: None)
    run.write()
    run.run(5.0)
    assert len(run.serving()) == 2  # the watchers


def test_members_stop_serving_under_a_coordinator_that_cannot_read(run):
    """Guards against a new coordinator that vouches for an old version."""
    watchers = [name for name in run.names if run.keepers[name].watches()]
    for name in watchers:
        run.fleet.pause(name)
    run.store.lost_answer_probability = 1.0
    run.write()
    run.run(8.0)
    assert run.coordinator() is not None
    assert run.serving() == []
    run.store.lost_answer_probability = 0.0
    run.run(2.0)
    assert len(run.serving()) == len(run.names) - len(watchers)
