"""Guards the fleet-wide bound under random faults, and the runs' power to see."""

import pytest

from wagtailrill.core.invariants import InvariantError
from wagtailrill.limits.bucket import Bucket
from wagtailrill.limits.ledger import Ledger
from wagtailrill.limits.models import LimitSettings
from wagtailrill.limits.share import Share
from wagtailrill.partitions.collection import HoldingsCollection
from wagtailrill.partitions.directory import partition_of
from wagtailrill.stand_ins.limits_bound import assert_bound
from wagtailrill.stand_ins.limits_cell import LimitsCell, LimitsNode, Take

from .random_run import RUNS, Schedule

CI_SCHEDULES = 300
MUTATION_SCHEDULES = 40


@pytest.mark.parametrize("first", range(1, CI_SCHEDULES + 1, 25))
def test_no_window_exceeds_the_limit(first):
    """Guards against more requests than burst + rate x window in any window."""
    RUNS.check_all(first, 25)


def lease_ignored(monkeypatch):
    monkeypatch.setattr(LimitsNode, "has_lease", lambda self: self.leased)


def collection_skipped(monkeypatch):
    monkeypatch.setattr(HoldingsCollection, "complete", lambda self, _: True)


def levels_copied(monkeypatch):
    monkeypatch.setattr(Bucket, "remove", lambda self, tokens: None)


def full_reserve_at_start(monkeypatch):
    start = Ledger.start

    def start_full(self, now_s):
        start(self, now_s)
        self.bucket.level = self.bucket.capacity

    monkeypatch.setattr(Ledger, "start", start_full)


def sessions_ignored(monkeypatch):
    monkeypatch.setattr(Share, "clear", lambda self, now_s: None)


@pytest.mark.parametrize(
    ("mutation", "faults"),
    [
        (collection_skipped, ()),
        (levels_copied, ()),
        (full_reserve_at_start, ("storm",)),
    ],
)
def test_runs_see_a_removed_rule(mutation, faults, monkeypatch):
    """Guards against runs that would pass without the rule."""
    mutation(monkeypatch)
    with pytest.raises((AssertionError, InvariantError)):
        run_schedules(MUTATION_SCHEDULES, faults)


def run_schedules(count, faults):
    for seed in range(1, count + 1):
        Schedule(seed, faults).run()


def run_cut_off_holder():
    """Cut off one of two saturated holders for longer than its lease."""
    settings = LimitSettings(shared_tokens_min=1.0)
    cell = LimitsCell(1, {"o": (100.0, 10.0)}, settings=settings)
    home = cell.homes[partition_of("organisation", "o")].instance
    busy = [name for name in sorted(cell.fleet.nodes) if name != home][:2]

    def traffic():
        for name in busy:
            cell.fleet.deliver(name, Take("o", 2), 0.0)
        cell.fleet.call_later(0.01, traffic)

    traffic()
    cell.fleet.call_later(3.0, lambda: cell.isolate([busy[0]]))
    cell.fleet.call_later(9.0, cell.heal)
    cell.fleet.run_until(13.0)
    assert_bound(cell)
    return cell


def test_share_of_a_cut_off_holder_is_lent_again():
    """Guards against a share that is used twice, or by nobody, after a partition."""
    admitted = run_cut_off_holder().admitted["o"]
    assert len([t for t in admitted if 7.0 < t < 9.0]) > 150


@pytest.mark.parametrize("mutation", [lease_ignored, sessions_ignored])
def test_cut_off_holder_without_expiry_is_seen(mutation, monkeypatch):
    """Guards against a scenario that would pass without the expiry rule."""
    mutation(monkeypatch)
    with pytest.raises((AssertionError, InvariantError)):
        run_cut_off_holder()
