"""Tests that a table write counts as not done only if no attempt may still be done."""

import pytest
from expression import Error, Ok

from tests.keys.granter_run import LAST, TABLE_KEY, GranterRun
from wagtailrill.core.commands import CallStore
from wagtailrill.keys.const import KEY_POSITIONS
from wagtailrill.keys.models import KeyTable, Segment
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

NO_ANSWER = Error(StoreError(StoreErrorKind.NO_ANSWER, ""))
NOT_EXECUTED_KINDS = (StoreErrorKind.REFUSED, StoreErrorKind.INVALID)
TICK_S = 0.05
OTHER_TABLE = KeyTable((Segment(0, KEY_POSITIONS - 1, "c", "c/1", 9),), 9, 8)
OTHER_ITEM = Item(TABLE_KEY, OTHER_TABLE.to_bytes(), 5)


class PendingMove:
    """A segment that `a` releases for `owner`, which leaves, so that it moves again.

    The write with the next owner is open, and the table is stored at revision 3.
    """

    def __init__(self):
        self.run = GranterRun(Segment(0, LAST, "a", "a/1", 5))
        self.run.tick()
        self.run.answer("a", GrantKeys, Ok(KeysGranted()))
        self.owner = self.run.move_keys()
        self.run.leave(self.owner)
        self.run.tick(TICK_S)
        self.written = self.run.find_store_call(Commit).operation.puts[0].value

    def show_unchanged_table(self):
        """Answer a read with the table from before the write."""
        self.run.answer_store(Ok(Found(Item(TABLE_KEY, b"former", 3))))

    def show_written_table(self):
        """Answer a read with the written table."""
        self.run.answer_store(Ok(Found(Item(TABLE_KEY, self.written, 4))))

    def release_by_former_owner(self):
        """Answer the release, so that the present owner might get the keys."""
        self.run.answer("a", ReleaseKeys, Ok(KeysReleased()))
        self.run.tick(TICK_S)


@pytest.fixture
def move():
    return PendingMove()


@pytest.mark.parametrize("kind", NOT_EXECUTED_KINDS)
def test_refused_repetition_does_not_end_a_write_that_may_still_be_done(move, kind):
    """Guards against a grant to an owner that a late write of the table replaces."""
    run = move.run
    run.answer_store(NO_ANSWER)
    move.show_unchanged_table()
    run.answer_store(Error(StoreError(kind, "")))
    move.release_by_former_owner()
    assert run.count_grants(move.owner) == 0
    run.tick(STORE_RETRY_DELAY_S)
    move.show_written_table()
    run.tick(TICK_S)
    assert run.row.segment.owner != move.owner
    assert run.count_grants(run.row.segment.owner) == 1
    assert run.count_grants(move.owner) == 0


@pytest.mark.parametrize("kind", NOT_EXECUTED_KINDS)
def test_write_of_which_no_attempt_can_be_done_ends_at_once(move, kind):
    """Guards against keys that wait for a store that has refused the only attempt."""
    move.run.answer_store(Error(StoreError(kind, "")))
    move.release_by_former_owner()
    assert move.run.count_grants(move.owner) == 1


def test_write_is_repeated_until_the_store_takes_it(move):
    """Guards against a write that is given up, or repeated in a tight loop."""
    run = move.run
    run.answer_store(NO_ANSWER)
    for _ in range(3):
        move.show_unchanged_table()
        run.answer_store(Error(StoreError(StoreErrorKind.REFUSED, "")))
        run.tick(STORE_RETRY_DELAY_S - TICK_S)
        assert not any(isinstance(call, CallStore) for call in run.open_calls)
        run.tick(TICK_S)
        run.find_store_call(Get)
    move.show_unchanged_table()
    run.answer_store(Ok(Committed(4)))
    assert run.row.segment.owner != move.owner


def test_refused_takeover_of_a_changed_table_writes_no_former_owners(move):
    """Guards against a table of another granter that is replaced by stale owners."""
    run = move.run
    run.answer_store(Error(StoreError(StoreErrorKind.CONFLICT, "")))
    run.answer_store(Ok(Found(OTHER_ITEM)))
    run.answer_store(Ok(Found(OTHER_ITEM)))  # the takeover reads it once more
    run.answer_store(Error(StoreError(StoreErrorKind.REFUSED, "")))
    run.tick(TICK_S)
    assert not any(isinstance(call, CallStore) for call in run.open_calls)
    run.tick(STORE_RETRY_DELAY_S)
    run.answer_store(Ok(Found(OTHER_ITEM)))
    run.answer_store(Ok(Committed(6)))
    assert run.row.segment.owner == "c"
