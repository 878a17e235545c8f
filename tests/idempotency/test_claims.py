"""Guards at-most-once execution through claims, repeats and changes of home."""

import pytest

from tests.support_directory import SharedCell
from wagtailrill.idempotency.claims import Idempotency, claim_partition
from wagtailrill.idempotency.models import (
    ClaimKey,
    IdempotencySettings,
    Outcome,
    StoredAnswer,
    Verdict,
)
from wagtailrill.stand_ins.virtual_fleet import WALL_EPOCH_S

KEY = ClaimKey("org", "releasedesk", "018f-key")


class Cell(SharedCell):
    """Three instances with claims and one shared table."""

    def __init__(self, seed=1):
        self.claims = {}
        super().__init__(seed)
        self.table.listeners = dict(self.claims)
        for partition, home in self.table.homes.items():
            self.claims[home.instance].home_gained(partition, 1)
        self.fleet.run_until(10.0)

    def attach(self, name, host):
        claims = Idempotency(host.ctx, self.directory(host), IdempotencySettings())
        claims.attach(host)
        self.claims[name] = claims

    def step(self, name):
        self.fleet.deliver(name, None, 0.0)
        self.fleet.run_until(self.fleet.now_s)

    def claim(self, name, key=KEY, digest=1, issued_s=None, wait_s=2.0):
        issued_s = self.fleet.now_s if issued_s is None else issued_s
        results = []
        self.step(name)
        issued_ms = int((WALL_EPOCH_S + issued_s) * 1000)
        number = self.claims[name].claim(key, digest, issued_ms, results.append)
        self.fleet.deliver(name, None, 0.0)
        self.fleet.run_until(self.fleet.now_s + wait_s)
        assert len(results) == 1
        return number, results[0]

    def complete(self, name, number, outcome, answer=None):
        self.step(name)
        self.claims[name].complete(number, outcome, answer)
        self.fleet.deliver(name, None, 0.0)
        self.fleet.run_until(self.fleet.now_s + 0.5)

    @property
    def home(self):
        return self.table.homes[claim_partition(KEY)].instance

    def other(self, *excluded):
        return next(name for name in self.names if name not in excluded)


@pytest.mark.parametrize(
    ("outcome", "verdict"),
    [
        (None, Verdict.IN_PROGRESS),
        (Outcome.ANSWERED, Verdict.DONE),
        (Outcome.UNKNOWN, Verdict.UNKNOWN),
        (Outcome.NOT_RUN, Verdict.NEW),
    ],
)
def test_repeat_through_another_instance(outcome, verdict):
    """Guards against a repeat that runs although the first delivery may have run."""
    cell = Cell()
    number, first = cell.claim("a")
    assert first.verdict is Verdict.NEW
    if outcome is not None:
        cell.complete("a", number, outcome, StoredAnswer(201, (), b"done"))
    _, second = cell.claim("b")
    assert second.verdict is verdict
    if verdict is Verdict.DONE:
        assert second.answer.body == b"done"


def test_lost_claimant_leaves_the_outcome_unknown():
    """Guards against a second run after the first instance is lost."""
    cell = Cell()
    claimant = cell.other(cell.home)
    cell.claim(claimant)
    cell.fleet.kill(claimant)
    del cell.table.listeners[claimant]
    cell.table.drop(claimant)
    _, repeat = cell.claim(cell.other(claimant))
    assert repeat.verdict is Verdict.UNKNOWN


def test_lost_home_refuses_keys_that_it_may_have_accepted():
    """Guards against a second run after the records of a home are lost."""
    cell = Cell()
    home = cell.home
    claimant = cell.other(home)
    issued_s = cell.fleet.now_s
    cell.claim(claimant)
    cell.step(claimant)
    cell.step(cell.other(home, claimant))
    cell.fleet.kill(home)
    del cell.table.listeners[home]
    cell.table.drop(home)
    _, repeat = cell.claim(cell.other(home, claimant), issued_s=issued_s)
    assert repeat.verdict is Verdict.UNKNOWN
    cell.fleet.run_until(cell.fleet.now_s + 4.0)
    _, fresh = cell.claim(claimant, key=ClaimKey("org", "releasedesk", "new-key"))
    assert fresh.verdict is Verdict.NEW


def test_planned_change_of_home_keeps_the_records():
    """Guards against refusals and second runs after a planned stop."""
    cell = Cell()
    number, _ = cell.claim("a")
    cell.complete("a", number, Outcome.ANSWERED, StoredAnswer(201, (), b"done"))
    issued_s = cell.fleet.now_s - 1.0
    partition = claim_partition(KEY)
    target = cell.other(cell.home)
    for name in cell.names:
        cell.step(name)
    cell.table.move(partition, target)
    for name in cell.names:
        cell.fleet.deliver(name, None, 0.0)
    cell.fleet.run_until(cell.fleet.now_s + 1.0)
    _, repeat = cell.claim("c", issued_s=issued_s)
    assert repeat.verdict is Verdict.DONE


def test_handover_for_another_epoch_is_ignored():
    """Guards against records that miss the claims of a home in between."""
    cell = Cell()
    partition = claim_partition(KEY)
    first, between = cell.home, cell.other(cell.home)
    last = cell.other(first, between)
    issued_s = cell.fleet.now_s
    cell.fleet.cut(first, between)
    cell.step(between)
    cell.table.move(partition, between)
    cell.claim(last, issued_s=issued_s + 4.0)
    cell.fleet.kill(between)
    del cell.table.listeners[between]
    cell.step(first)
    cell.step(last)
    cell.table.drop(between)
    cell.table.move(partition, last)
    _, repeat = cell.claim(first, issued_s=issued_s)
    assert repeat.verdict is Verdict.UNKNOWN


@pytest.mark.parametrize(
    ("digest", "issued_offset_s", "verdict"),
    [
        (2, 0.0, Verdict.REUSED),
        (1, -700.0, Verdict.EXPIRED),
        (1, 60.0, Verdict.FUTURE),
    ],
)
def test_unusable_keys(digest, issued_offset_s, verdict):
    """Guards against keys that cannot identify one request."""
    cell = Cell()
    cell.claim("a")
    _, result = cell.claim(
        "b", digest=digest, issued_s=cell.fleet.now_s + issued_offset_s
    )
    assert result.verdict is verdict


def test_claim_gives_up_when_the_home_is_cut_off_and_can_be_repeated():
    """Guards against a key that stays blocked although nothing was sent."""
    cell = Cell()
    claimant = cell.other(cell.home)
    cell.fleet.cut(claimant, cell.home)
    _, result = cell.claim(claimant)
    assert result.verdict is Verdict.UNREACHABLE
    cell.fleet.heal()
    cell.fleet.run_until(cell.fleet.now_s + 2.0)
    _, again = cell.claim(claimant)
    assert again.verdict is Verdict.NEW
