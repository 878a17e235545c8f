"""Guards the conditions under which a move may end."""

import attrs
import pytest

from tests.ownership.fakes import Single, configuration
from wagtailrill.ownership import changes
from wagtailrill.ownership.moves import GRANT_WAIT_S, MoveTracker
from wagtailrill.ownership.reports import MemberReport
from wagtailrill.ownership.view import TableView
from wagtailrill.partitions.directory import Member

A, B, GONE = Member("a", 1), Member("b", 1), Member("gone", 1)


@attrs.frozen
class Case:
    """What the coordinator knows 1 s after the first write."""

    acknowledged: bool = True
    blocked: bool = False
    checks: bool = True
    previous: str = "roll-0"
    revoked: int = 0
    reports: tuple = ((A, 2, {}), (B, 2, {}))
    at_s: float = 1.0
    ready: bool = True


@pytest.mark.parametrize(
    "case",
    [
        Case(),
        Case(acknowledged=False, revoked=9, ready=False),
        Case(blocked=True, revoked=9, ready=False),
        Case(reports=((A, 2, {}),), ready=False),
        Case(reports=((A, 2, {}), (B, 1, {})), ready=False),
        Case(reports=((A, 2, {}), (B, 2, {"roll-0": 0.1})), ready=False),
        Case(reports=((A, 2, {}), (B, 2, {"roll-0": GRANT_WAIT_S}))),
        Case(reports=((A, 2, {}), (B, 2, {"roll-1": 0.1}))),
        Case(reports=((A, 2, {}), (B, 2, {}), (GONE, 1, {"roll-0": 0.1}))),
        Case(
            reports=((A, 2, {}), (B, 2, {}), (GONE, 1, {"roll-0": 0.1}, False)),
            ready=False,
        ),
        Case(reports=(), revoked=2),
        Case(reports=(), revoked=1, ready=False),
        Case(reports=(), checks=False),
        Case(reports=(), checks=False, acknowledged=False, ready=False),
        Case(reports=(), checks=False, at_s=0.04, ready=False),
    ],
)
def test_move_ends_only_when_the_previous_owner_cannot_serve(case):
    """Guards against two owners: each missing condition keeps the move open."""
    single = Single(configuration(), names=("a", "b"))
    membership = single.membership
    membership.gate = lambda version: True
    table = changes.assign_first(membership.table, "roll", ["roll-0"] * 1024)
    view = TableView.of(changes.begin_moves(table, "roll", {5: "roll-1"}), 2)
    tracker = MoveTracker(membership)
    tracker.observe(view)
    membership.acknowledges = case.acknowledged
    checking = {"roll"} if case.checks else set()
    for member, *report in case.reports:
        tracker.report(member, MemberReport(*report), 0.5)
    tracker.revoked("roll-0", case.revoked)
    tracker.ready(checking, case.blocked, 0.0)
    ready = tracker.ready(checking, case.blocked, case.at_s)
    assert ready == ({"roll": {5: 2}} if case.ready else {})


def test_new_coordinator_waits_again():
    """Guards against a takeover that trusts a wait of which it knows nothing."""
    single = Single(configuration(), names=("a", "b"))
    single.membership.gate = lambda version: True
    table = changes.assign_first(single.membership.table, "roll", ["roll-0"] * 1024)
    view = TableView.of(changes.begin_moves(table, "roll", {5: "roll-1"}), 2)
    tracker = MoveTracker(single.membership)
    tracker.observe(view)
    tracker.revoked("roll-0", 9)
    tracker.ready({"roll"}, False, 0.0)
    assert tracker.ready({"roll"}, False, 1.0)
    tracker.reset()
    tracker.observe(view)
    assert tracker.ready({"roll"}, False, 1.0) == {}


@pytest.mark.parametrize(
    "payload", [b"", b"{}", b"[1]", b'[1, {"a": null}]', b"[1, 2]"]
)
def test_malformed_report_is_a_value_error(payload):
    """Guards against a damaged report that ends the coordinator."""
    with pytest.raises(ValueError):
        MemberReport.from_bytes(payload)
