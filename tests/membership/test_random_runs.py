"""Seeded random runs, and proof that they notice removed safety mechanisms."""

import pytest

from tests.membership.random_run import RUNS, recovery_s, run_schedule
from tests.membership.test_faults import (
    cell as cell,
    test_write_with_a_lost_answer_happens_once as write_once,
)
from wagtailrill.membership.grace import GraceWait
from wagtailrill.membership.view import CellView
from wagtailrill.membership.writer import TableWriter

SCHEDULES = 300
# The first seed fails without any one of the mechanisms below.
MUTATION_SEED = 0


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_overlapping_faults_leave_one_home_and_the_cell_recovers(seed):
    """Guards against two homes of a partition and cells that stay without one."""
    RUNS.check(seed)


def test_cut_off_first_ranks_do_not_delay_the_takeover():
    """Guards against a takeover that waits for members cut off with the coordinator."""
    assert recovery_s(86, "data centre") <= 4.0


def assume_written(self, result):
    """Take every answer of the store for a success."""
    version = result.ok.revision if result.is_ok() else self._version + 1
    self._finish(self.proposed, version)


MUTATIONS = {
    "grace wait": (GraceWait, "wait_s", staticmethod(lambda duration_s: 0.0)),
    "lease check": (CellView, "has_lease", lambda self: self._leased),
    "read-back": (TableWriter, "_written", assume_written),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_runs_fail_without_a_safety_mechanism(monkeypatch, name):
    """Guards against random runs that pass whatever the code does."""
    monkeypatch.setattr(*MUTATIONS[name])
    with pytest.raises(AssertionError):
        run_schedule(MUTATION_SEED)


def test_write_happens_twice_if_the_read_back_never_confirms(monkeypatch, cell):
    """Guards against a test of lost answers that passes without the read-back."""
    monkeypatch.setattr(TableWriter, "confirms", lambda self, stored: False)
    with pytest.raises(AssertionError):
        write_once(cell)
