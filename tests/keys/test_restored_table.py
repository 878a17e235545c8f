"""Tests that a restore of the store from an older copy gives no key to two servers.

On the day `restored`, granters took the table of the copy for the truth: they granted
keys under lower tokens than those of owners that the copy did not list.
"""

import pytest
from expression import Error, Ok

from tests.keys.granter_run import LAST, TABLE_KEY, GranterRun
from wagtailrill.keys.const import GRANT_RENEWAL_INTERVAL_S, KEY_POSITIONS
from wagtailrill.keys.grants import SENT_GRANT_HELD_MAX_S
from wagtailrill.keys.models import (
    EMPTY_TABLE,
    FormerOwner,
    KeyTable,
    Segment,
    compute_token_floor,
)
from wagtailrill.servers.control import (
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from wagtailrill.store.const import STORE_RETRY_DELAY_S
from wagtailrill.store.models import (
    Commit,
    Committed,
    Found,
    Get,
    Item,
    StoreError,
    StoreErrorKind,
)
from wagtailrill.store.revision import build_revision, get_era

COPY = KeyTable((Segment(0, KEY_POSITIONS - 1, "c", "c/1", 3),), 3, 1)
FOUND_COPY = Ok(Found(Item(TABLE_KEY, COPY.to_bytes(), 1)))
NO_ANSWER = Error(StoreError(StoreErrorKind.NO_ANSWER, ""))
TICK_S = 0.05


def restore_store(run):
    """Let the granter learn of a restore by the answer to another call."""
    run.era += 1
    run.ctx.handle_store_reply(0, NO_ANSWER, run.era)


def confirm_duty(run):
    """Let the granter learn that its duty has an entry of the present era."""
    run.duty_fence = build_revision(run.era, 20)
    run.tick()


def read_written_table(run):
    """Return the table of the open write, which replaces the one of revision 1."""
    operation = run.find_store_call(Commit).operation
    assert operation.expected[0].revision == 1
    return KeyTable.from_bytes(operation.puts[0].value).ok


@pytest.fixture
def run():
    """Return a run in era 1 in which `a` holds the keys of the tested segment."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=1)
    run.tick()
    run.answer("a", GrantKeys, Ok(KeysGranted()))
    return run


def test_granter_writes_its_owners_again_before_it_moves_keys(run):
    """Guards against a granter that reads the copy and forgets its own grants."""
    owner = run.move_keys()
    restore_store(run)
    run.leave(owner)
    run.tick(TICK_S)
    assert not any(
        hasattr(c, "operation") and isinstance(c.operation, Commit)
        for c in run.open_calls
    )
    confirm_duty(run)
    run.answer_store(FOUND_COPY)
    table = read_written_table(run)
    assert (table.segments[0].owner, table.segments[0].formers) == (
        owner,
        (FormerOwner("a", "a/1"),),
    )
    assert get_era(table.duty_fence) == 2
    run.answer_store(Ok(Committed(12)))
    run.tick(TICK_S)
    run.answer_store(Ok(Committed(13)))
    assert run.row.segment.owner not in (owner, "a")
    assert run.row.segment.fence > compute_token_floor(2)


def test_grants_are_renewed_until_the_duty_is_confirmed(run):
    """Guards against keys without an owner after each restore."""
    restore_store(run)
    run.tick(GRANT_RENEWAL_INTERVAL_S)
    assert run.count_grants("a") == 2


def test_write_overtaken_by_a_restore_is_given_up(run):
    """Guards against a read of the copy that shall tell the outcome of a write."""
    run.leave("a")
    run.tick(TICK_S)
    run.find_store_call(Commit)
    restore_store(run)
    run.answer_store(NO_ANSWER)
    confirm_duty(run)
    run.answer_store(FOUND_COPY)
    assert read_written_table(run).segments[0].owner == "a"


def test_known_owners_are_written_again_until_the_store_takes_them(run):
    """Guards against a restored table that stays outdated after one refusal."""
    restore_store(run)
    confirm_duty(run)
    run.answer_store(FOUND_COPY)
    run.answer_store(Error(StoreError(StoreErrorKind.REFUSED, "")))
    run.tick(STORE_RETRY_DELAY_S)
    run.answer_store(FOUND_COPY)
    assert read_written_table(run).segments[0].owner == "a"


def test_late_write_from_before_the_restore_is_replaced(run):
    """Guards against an old table that overwrites the one of the present era."""
    restore_store(run)
    confirm_duty(run)
    run.answer_store(FOUND_COPY)
    run.answer_store(Ok(Committed(12)))
    run.leave("a")
    run.tick(TICK_S)
    run.answer_store(Error(StoreError(StoreErrorKind.CONFLICT, "")))
    run.answer_store(FOUND_COPY)
    table = read_written_table(run)
    assert table.segments[0].formers == (FormerOwner("a", "a/1"),)


@pytest.mark.parametrize("may_act_s", [0.0, 6.0])
def test_successor_waits_for_grants_that_the_copy_does_not_list(may_act_s):
    """Guards against grants to owners of the copy beside later owners."""
    run = GranterRun(
        Segment(0, LAST, "a", "a/1", 5), era=2, predecessor_may_act_s=may_act_s
    )
    wait_s = may_act_s + SENT_GRANT_HELD_MAX_S
    while run.ctx.now_s < 100.0 + wait_s - TICK_S:
        run.tick(TICK_S)
        assert run.sent == []
        assert run.granter.estimate_unowned_s(0) >= 100.0 + wait_s - run.ctx.now_s
    run.tick(2 * TICK_S)
    run.answer_store(Ok(Committed(3)))
    grants = [c.operation for c in run.sent if isinstance(c.operation, GrantKeys)]
    assert run.count_grants("a") == 1
    assert all(grant.fence > compute_token_floor(2) for grant in grants)


def test_wait_ends_sooner_when_no_predecessor_acts():
    """Guards against keys that stay without an owner longer than grants last."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=2, predecessor_may_act_s=10.0)
    run.granter.on_predecessor_stopped()
    run.tick(SENT_GRANT_HELD_MAX_S)
    run.answer_store(Ok(Committed(3)))
    assert run.count_grants("a") == 1


def test_wait_begins_again_when_a_predecessor_is_found():
    """Guards against grants beside a predecessor that was taken for stopped."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=2, predecessor_may_act_s=10.0)
    run.granter.on_predecessor_stopped()
    run.tick(1.0)
    run.granter.on_predecessor_found(9.0)
    run.tick(9.0)
    run.granter.on_predecessor_stopped()
    run.tick(SENT_GRANT_HELD_MAX_S - TICK_S)
    assert run.sent == []
    run.tick(2 * TICK_S)
    run.answer_store(Ok(Committed(3)))
    assert run.count_grants("a") == 1


@pytest.mark.parametrize("table", [COPY, EMPTY_TABLE])
def test_outdated_table_stays_outdated_until_its_owners_are_known(table):
    """Guards against a next successor that trusts what was only copied."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=2, answer_takeover=False)
    item = Item(TABLE_KEY, table.to_bytes(), 1) if table is COPY else None
    run.answer_store(Ok(Found(item)))
    written = run.find_store_call(Commit).operation.puts[0].value
    assert KeyTable.from_bytes(written).ok.is_older_than_era(2)
    run.answer_store(Ok(Committed(2)))
    run.tick(SENT_GRANT_HELD_MAX_S - TICK_S)
    assert run.open_calls == []


def test_second_restore_during_the_wait_begins_it_anew():
    """Guards against a table that counts as known since a granter had it for long."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=2)
    run.tick(SENT_GRANT_HELD_MAX_S - TICK_S)
    restore_store(run)
    confirm_duty(run)
    run.find_store_call(Get)
    run.answer_store(FOUND_COPY)
    run.answer_store(Ok(Committed(2)))
    run.tick(SENT_GRANT_HELD_MAX_S - TICK_S)
    assert run.open_calls == []


def test_move_that_began_before_the_restore_goes_on(run):
    """Guards against keys that stay released until the table is written again."""
    owner = run.move_keys()
    restore_store(run)
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    run.tick(TICK_S)
    assert run.count_grants(owner) == 1


def test_tokens_of_a_successor_exceed_those_that_the_copy_has_lost():
    """Guards against servers that refuse a grant, or hold keys beside its owner."""
    before = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=1)
    for _ in range(3):
        before.set_ready("b")
        before.move_to_ready()
        before.set_ready("a")
        before.move_to_ready()
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), era=2)
    run.tick(SENT_GRANT_HELD_MAX_S + TICK_S)
    run.tick(TICK_S)
    run.answer_store(Ok(Committed(3)))
    assert run.row.segment.fence > before.row.segment.fence > 7
