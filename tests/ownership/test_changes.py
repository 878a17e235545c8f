"""Guards changes of the cell table: epochs and fences only rise."""

from hypothesis import given, settings, strategies as st

from wagtailrill.membership.table import CellTable, SlotState
from wagtailrill.ownership import changes
from wagtailrill.ownership.keys import hot_slot, slot_of
from wagtailrill.ownership.view import TableView
from wagtailrill.partitions.directory import Member

SERVERS = ("s-0", "s-1", "s-2")
HASHES = (5, 5 + 1024, 77)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "complete", "promote", "demote"]),
        st.sampled_from(HASHES),
        st.sampled_from(SERVERS),
    ),
    max_size=30,
)


def assigned():
    table = CellTable(1, Member("a", 1), "w")
    return changes.assign_first(table, "roll", ["s-0"] * 1024)


def apply(table, step, hashed, target):
    view = TableView.of(table, 1).services["roll"]
    number, owner = view.owner_of(hashed)
    if step == "begin":
        return changes.begin_moves(table, "roll", {number: target})
    if step == "complete":
        return changes.complete_moves(table, "roll", {number: owner.epoch})
    if step == "promote":
        return changes.promote(table, "roll", {hashed: target}, 2)
    return changes.demote(table, "roll", [hashed])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS)
def test_fence_and_epoch_of_every_key_only_rise(steps):
    """Guards against a change that lets an old grant or order count again."""
    table = assigned()
    for step in steps:
        before = TableView.of(table, 1).services["roll"]
        table = apply(table, *step)
        after = TableView.of(table, 2).services["roll"]
        assert after.fence >= before.fence
        assert len(after.hot) <= 2
        for hashed in HASHES:
            old, new = before.owner_of(hashed)[1], after.owner_of(hashed)[1]
            assert new.epoch >= old.epoch
            if new.backend_server != old.backend_server:
                assert new.state is SlotState.MOVING
                assert new.epoch > old.epoch


def test_interrupted_move_keeps_the_owner_that_may_still_serve():
    """Guards against waiting for the wrong server when a new owner is lost too."""
    table = changes.begin_moves(assigned(), "roll", {5: "s-1"})
    table = changes.begin_moves(table, "roll", {5: "s-2"})
    owner = TableView.of(table, 1).services["roll"].owners[5]
    assert (owner.backend_server, owner.previous, owner.epoch) == ("s-2", "s-0", 3)


def test_completion_of_an_older_move_changes_nothing():
    """Guards against a late decision that ends a newer move early."""
    table = changes.begin_moves(assigned(), "roll", {5: "s-1"})
    newer = changes.begin_moves(table, "roll", {5: "s-2"})
    assert changes.complete_moves(newer, "roll", {5: 2}) == newer


def test_hot_key_has_its_own_grant_and_leaves_its_slot_alone():
    """Guards against a hot key that takes its whole slot along."""
    table = changes.promote(assigned(), "roll", {77: "s-1"}, 230)
    table = changes.complete_moves(table, "roll", {hot_slot(77): 2})
    view = TableView.of(table, 1).services["roll"]
    assert [g.slot for g in view.granted_to("s-1")] == [hot_slot(77)]
    assert view.owners[slot_of(77)].backend_server == "s-0"
