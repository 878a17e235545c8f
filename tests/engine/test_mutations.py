"""Proves that the random runs notice removed mechanisms."""

import attrs
import pytest

from tests.engine.random_run import Schedule
from wagtailrill.core.orders import AttemptOutcome
from wagtailrill.core.refusals import Ran
from wagtailrill.engine import attempts
from wagtailrill.idempotency.home import ClaimHome
from wagtailrill.idempotency.records import PartitionRecords

SEEDS = range(1, 31)


def trust_records_of_a_new_home(monkeypatch):
    """Let a new home take every key that it does not know for a new one."""
    gain = ClaimHome.home_gained

    def home_gained(self, partition, epoch):
        gain(self, partition, epoch)
        self._partitions[partition].complete_since_ms = 0

    monkeypatch.setattr(ClaimHome, "home_gained", home_gained)


def forget_lost_claimants(monkeypatch):
    """Let the claims of a lost member be made again."""

    def claimant_lost(self, member):
        for key, row in list(self.rows.items()):
            if row.claimant == member and row.outcome is None:
                del self.rows[key]

    monkeypatch.setattr(PartitionRecords, "claimant_lost", claimant_lost)


def deny_that_timed_out_orders_ran(monkeypatch):
    """Say `ran: no` about an order that timed out."""
    false = attrs.evolve(
        attempts.REFUSAL_BY_OUTCOME[AttemptOutcome.TIMED_OUT], ran=Ran.NO
    )
    monkeypatch.setitem(attempts.REFUSAL_BY_OUTCOME, AttemptOutcome.TIMED_OUT, false)
    monkeypatch.setattr(attempts, "NOT_RUN_OUTCOMES", frozenset(AttemptOutcome))


@pytest.mark.parametrize(
    "mutate",
    [
        trust_records_of_a_new_home,
        forget_lost_claimants,
        deny_that_timed_out_orders_ran,
    ],
)
def test_random_runs_notice_a_removed_mechanism(mutate, monkeypatch):
    """Guards against random runs that pass whatever the code does."""
    mutate(monkeypatch)
    failed = False
    for seed in SEEDS:
        try:
            Schedule(seed).run()
        except AssertionError:
            failed = True
            break
    assert failed
