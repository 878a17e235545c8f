"""Tests that no order of answers lets two servers hold the same keys.

The calls of one granter to the store and to servers are answered by hand.
"""

import pytest
from expression import Error, Ok

from tests.keys.granter_run import LAST, TABLE_KEY, GranterRun
from tests.support import advance_time
from wagtailrill.core.log_events import LogName
from wagtailrill.keys.assignment import MOVE_COOLDOWN_S
from wagtailrill.keys.const import (
    GRANT_DURATION_S,
    GRANT_RENEWAL_INTERVAL_S,
    KEY_POSITIONS,
    PLAN_INTERVAL_S,
    SERVER_CLOCK_DRIFT_MAX_RATIO,
    STRIPE_POSITIONS,
)
from wagtailrill.keys.grants import GRANT_HELD_MAX_S
from wagtailrill.keys.models import FormerOwner, KeyTable, Segment
from wagtailrill.servers.control import (
    GRANT_TIMEOUT_S,
    ControlError,
    ControlErrorKind,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from wagtailrill.servers.models import ServerState
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

FAILED = ControlError(ControlErrorKind.REFUSED, 500)


@pytest.fixture
def run():
    """Return a run in which `a` holds the keys of the tested segment."""
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5))
    run.tick()
    run.answer("a", GrantKeys, Ok(KeysGranted()))
    return run


def test_owner_granted_while_its_successor_is_written_is_asked_to_release(run):
    """Two servers must not hold keys that were granted during a write of the table.

    The former owners were listed when the write began. The release of `a` was answered
    before the write was, so the owner was granted the keys, was missing from the list,
    and the next owner got them at once.
    """
    owner = run.move_keys()
    run.leave(owner)
    run.tick(0.05)  # writes the next owner, while `a` still releases
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    run.tick(0.05)
    run.answer_store(Ok(Committed(4)))
    if run.find_calls("a", ReleaseKeys):
        run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    run.tick(0.05)
    next_owner = run.row.segment.owner
    assert next_owner != owner
    granted = [name for name in (owner, next_owner) if run.count_grants(name)]
    assert len(granted) == 1


def test_release_of_a_range_that_was_split_grants_nothing():
    """An answer to a call for a range that no longer exists must not cause a grant.

    A range was split while its former owner released it. The answer was handled with
    the row of the whole range, which then granted it to the lost owner.
    """
    formers = (FormerOwner("a", "a/1"),)
    run = GranterRun(Segment(0, 2 * STRIPE_POSITIONS - 1, "b", "b/1", 5, formers))
    run.tick()
    run.leave("b")
    run.tick(0.05)
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    assert run.row.segment.last == STRIPE_POSITIONS - 1
    assert run.count_grants("b") == 0


def test_range_is_moved_once_in_a_write():
    """A range must not be chosen by two plans of one write.

    A range of a lost owner was given a new one, and was chosen again in the same tick
    by the plan that gives servers without keys their first ones.
    """
    run = GranterRun(
        Segment(0, LAST, "a", "a/1", 4),
        Segment(LAST + 1, 2 * STRIPE_POSITIONS - 1, "a", "a/1", 5),
    )
    for wait_s in (0.0, MOVE_COOLDOWN_S):
        run.tick(wait_s)
        for _ in range(2):
            run.answer("a", GrantKeys, Ok(KeysGranted()))
    run.leave("a")
    run.tick(1.5 * PLAN_INTERVAL_S)
    run.answer_store(Ok(Committed(3)))
    moved = [line["first"] for line in run.find_log_lines(LogName.KEYS_MOVED)]
    assert sorted(moved) == sorted(set(moved))
    assert 0 in moved


def test_former_grant_of_an_owner_that_gets_its_keys_back_is_released():
    """A grant from before a server lost its keys must count after it gets them back.

    `a` lost its keys and was chosen again before it released them, so it was no former
    owner any more, and its new grant had to wait for other calls. When it lost the keys
    a second time, nobody asked it to release them, and the next owner got them at once.
    """
    bounds = [number * STRIPE_POSITIONS for number in range(3)]
    run = GranterRun(*(Segment(first, first + LAST, "a", "a/1", 5) for first in bounds))
    run.tick()  # two calls, which stay unanswered, are all that `a` gets at a time
    run.set_ready("b", "c")
    run.move_to_ready()
    run.set_ready("a")
    run.move_to_ready()
    assert run.row.segment.owner == "a"
    run.set_ready("b")
    run.move_to_ready()
    assert run.row.segment.owner == "b"
    assert run.count_grants("b") == 0
    assert run.find_calls("a", ReleaseKeys)


def test_failed_answer_to_a_grant_does_not_prove_that_it_had_no_effect(run):
    """A failing server may have taken the keys although its answer is an error.

    Any error counted as a grant that had no effect, so the server was left out of the
    former owners of the next move.
    """
    owner = run.move_keys()
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    run.answer(owner, GrantKeys, Error(FAILED))
    run.leave(owner)
    run.tick(0.05)
    run.answer_store(Ok(Committed(4)))
    next_owner = run.row.segment.owner
    assert next_owner != owner
    assert run.find_calls(owner, ReleaseKeys)
    assert run.count_grants(next_owner) == 0


def test_failed_answer_to_a_release_does_not_free_the_keys(run):
    """A failing server may still hold keys although it answers a release with an error.

    Any error status counted as proof that another process had the address, and the next
    owner got the keys at once.
    """
    owner = run.move_keys()
    run.answer("a", ReleaseKeys, Error(FAILED))
    run.tick(0.05)
    assert run.count_grants(owner) == 0


def test_grant_counts_from_the_last_moment_at_which_it_may_have_arrived(run):
    """A grant that arrives late must not outlast the time that the granter assumes.

    The time of a grant begins at its arrival at the server, up to the time limit of the
    call after it was sent. The granter counted from the sending.
    """
    run.tick(GRANT_RENEWAL_INTERVAL_S)
    sent_s = run.ctx.now_s
    run.leave("a")
    run.tick(0.05)
    run.answer_store(Ok(Committed(3)))
    run.answer("a", ReleaseKeys, Error(FAILED))
    drift = 1.0 + SERVER_CLOCK_DRIFT_MAX_RATIO
    held_until_s = sent_s + GRANT_TIMEOUT_S + GRANT_DURATION_S * drift
    while run.ctx.now_s < held_until_s:
        assert run.count_grants(run.row.segment.owner) == 0
        run.tick(0.05)


def test_answered_grant_counts_from_its_answer(run):
    """A lost owner's keys must not be kept back longer than its last answer says."""
    run.tick(GRANT_RENEWAL_INTERVAL_S)
    run.answer("a", GrantKeys, Ok(KeysGranted()))
    answered_s = run.ctx.now_s
    run.leave("a")
    run.tick(0.05)
    run.answer_store(Ok(Committed(3)))
    run.answer("a", ReleaseKeys, Error(FAILED))
    run.tick(answered_s + GRANT_HELD_MAX_S - run.ctx.now_s)
    assert run.count_grants(run.row.segment.owner) == 1


def test_write_without_an_answer_is_repeated_until_its_outcome_is_known(run):
    """A write that may still take effect must not be given up.

    The granter went on with the old owner, which it granted the keys. If the write took
    effect later, a successor read a table that does not list that owner.
    """
    owner = run.move_keys()
    run.leave(owner)
    run.tick(0.05)
    lost_write = run.find_store_call(Commit).operation
    run.answer_store(Error(StoreError(StoreErrorKind.NO_ANSWER, "")))
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    run.answer_store(Ok(Found(Item(TABLE_KEY, b"the former table", 3))))
    run.tick(0.05)
    assert run.find_store_call(Commit).operation == lost_write
    assert run.count_grants(owner) == 0


def test_overtaken_takeover_is_followed_by_one_other():
    """Two takeovers at a time must not build the rows of the table twice.

    Calls for the rows of the first were under way when the second replaced them.
    """
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), answer_takeover=False)
    table = KeyTable((Segment(0, KEY_POSITIONS - 1, "a", "a/1", 5),), 5, 1).to_bytes()
    run.answer_store(Ok(Found(Item(TABLE_KEY, table, 1))))
    run.answer_store(Error(StoreError(StoreErrorKind.CONFLICT, "")))
    run.answer_store(Ok(Found(Item(TABLE_KEY, table, 2))))
    advance_time(run.ctx, 2 * STORE_RETRY_DELAY_S)
    run.collect()
    assert [type(c.operation) for c in run.open_calls] == [Get]


def test_move_to_a_server_that_is_gone_meanwhile_goes_on(run):
    """A server whose entry ends during the write must not stop the granter's step.

    The move raised an error after a part of the rows had been moved.
    """
    run.leave("a")
    run.tick(0.05)
    target = run.row.target
    del run.entries[target]
    run.servers.update_entries(run.entries)
    run.answer_store(Ok(Committed(3)))
    assert run.row.segment.owner == target
    run.tick(0.05)
    run.answer_store(Ok(Committed(4)))
    assert run.row.segment.owner not in ("a", target)


@pytest.mark.parametrize("start_id", ["a/0", "a/2"])
def test_other_start_of_an_owner_frees_its_keys_only_by_a_release(run, start_id):
    """An entry of another process must not count as proof that nobody holds the keys.

    The list of servers may be older than the table, which a former granter wrote. A
    later process may have taken renewals that were meant for the one before it.
    """
    run.announce("a", start_id=start_id, state=ServerState.LEAVING)
    run.tick(0.05)
    run.answer_store(Ok(Committed(3)))
    next_owner = run.row.segment.owner
    assert next_owner != "a"
    assert run.count_grants(next_owner) == 0
    run.answer("a", ReleaseKeys, Ok(KeysReleased()))
    assert run.count_grants(next_owner) == 1


def test_later_start_of_an_owner_is_not_granted_the_keys_of_the_one_before(run):
    """A process must not get keys by a renewal that belongs to an earlier one.

    It took them under the former token, and nobody counted it as a holder.
    """
    sent = run.count_grants("a")
    run.announce("a", start_id="a/2")
    run.tick(GRANT_RENEWAL_INTERVAL_S)
    assert run.count_grants("a") == sent


def test_later_start_is_asked_to_release_while_the_one_before_does_not_answer(run):
    """Keys must not wait for the answer of a process that has ended.

    The release went to the crashed process; its call fails seconds later.
    """
    run.leave("a")
    run.tick(0.05)
    run.answer_store(Ok(Committed(3)))
    assert len(run.find_calls("a", ReleaseKeys)) == 1
    run.announce("a", start_id="a/2")
    run.tick(0.05)
    assert len(run.find_calls("a", ReleaseKeys)) == 2


def test_grants_of_a_predecessor_that_still_acts_count_for_its_owners():
    """A predecessor may renew grants of ranges that have not been moved.

    When it was found to act still, only former owners were waited for longer, not the
    present ones, which lost their keys to others too early.
    """
    run = GranterRun(Segment(0, LAST, "a", "a/1", 5), predecessor_may_act_s=2.0)
    run.granter.on_predecessor_stopped()
    run.granter.on_predecessor_found(2.0)
    may_hold_until_s = run.ctx.now_s + 2.0 + GRANT_HELD_MAX_S
    owner = run.move_keys()
    run.answer("a", ReleaseKeys, Error(FAILED))
    while run.ctx.now_s < may_hold_until_s:
        assert run.count_grants(owner) == 0
        run.tick(0.05)
