"""Guards that a request with an idempotency key runs once."""

import pytest
from expression import Error

from tests.runs.deployment import Deployment
from tests.support import make_context
from wagtailrill.claims.claims import Claims
from wagtailrill.claims.models import (
    ClaimEnd,
    ClaimKey,
    ClaimResult,
    StoredAnswer,
    Verdict,
)
from wagtailrill.core.commands import CallStore
from wagtailrill.fleet.members import Members
from wagtailrill.fleet.models import FleetSettings
from wagtailrill.stand_ins.store_model import StoreModel
from wagtailrill.store.models import Commit, StoreError, StoreErrorKind

KEY = ClaimKey("lines", "desk", "k")
DIGEST = 7


class Instance:
    """Claims of one instance on a store that may lose answers."""

    def __init__(self, store, name="i-1"):
        self.ctx = make_context(name)
        members = Members(self.ctx, FleetSettings("fleet/", "127.0.0.1:9"))
        self.claims = Claims(self.ctx, members, "claims/")
        self.store = store
        self.lost = self.down = False
        self.results: list[ClaimResult] = []

    def claim(self, digest=DIGEST, age_s=1.0) -> int:
        issued_ms = round((self.ctx.wall_s - age_s) * 1000)
        number = self.claims.claim(KEY, digest, issued_ms, self.results.append)
        self.settle()
        return number

    def complete(self, number, end, answer=None):
        self.claims.complete(number, end, answer)
        self.settle()

    def settle(self):
        while commands := self.ctx.drain_commands():
            for call in commands:
                if not isinstance(call, CallStore):
                    continue
                refused = Error(StoreError(StoreErrorKind.REFUSED))
                if self.down:
                    self.ctx.store_replied(call.call_id, refused)
                    continue
                result = self.store.apply(call.operation, self.ctx.now_s)
                if self.lost and isinstance(call.operation, Commit):
                    result = Error(StoreError(StoreErrorKind.NO_ANSWER))
                self.ctx.store_replied(call.call_id, result)

    @property
    def verdict(self) -> Verdict:
        return self.results[-1].verdict


@pytest.fixture
def store():
    return StoreModel()


def test_first_delivery_may_run_and_a_repeat_gets_its_answer(store):
    """Guards against an action that is done twice."""
    first, second = Instance(store), Instance(store, "i-2")
    number = first.claim()
    assert first.verdict is Verdict.NEW
    first.complete(number, ClaimEnd.ANSWERED, StoredAnswer(200, (), b"done"))
    second.claim()
    assert second.verdict is Verdict.DONE
    assert second.results[-1].answer.body == b"done"


def test_delivery_that_has_not_run_frees_the_key(store):
    """Guards against keys that are blocked by a refusal."""
    first, second = Instance(store), Instance(store, "i-2")
    first.complete(first.claim(), ClaimEnd.NOT_RUN)
    second.claim()
    assert second.verdict is Verdict.NEW


def test_lost_instance_leaves_the_outcome_unknown(store):
    """Guards against a second run after the first one's instance was lost."""
    Instance(store).claim()
    again = Instance(store, "i-2")
    again.claim()
    assert again.verdict is Verdict.UNKNOWN


def test_unknown_outcome_stays_unknown(store):
    """Guards against a run after one that may have run."""
    first, second = Instance(store), Instance(store, "i-2")
    first.complete(first.claim(), ClaimEnd.UNKNOWN)
    second.claim()
    assert second.verdict is Verdict.UNKNOWN


def test_claim_whose_answer_was_lost_is_read_back(store):
    """Guards against a claim that refuses itself."""
    first = Instance(store)
    first.lost = True
    first.claim()
    assert first.verdict is Verdict.NEW


def test_key_of_another_request_is_refused(store):
    """Guards against the answer of another request."""
    first = Instance(store)
    first.complete(first.claim(), ClaimEnd.ANSWERED, StoredAnswer(200, (), b"x"))
    first.claim(digest=8)
    assert first.verdict is Verdict.REUSED


def test_large_answer_is_not_kept_but_known_to_have_run(store):
    """Guards against a second run since the answer was too large to keep."""
    first = Instance(store)
    answer = StoredAnswer(200, (), b"x" * 1_000_000)
    first.complete(first.claim(), ClaimEnd.ANSWERED, answer)
    first.claim()
    assert first.verdict is Verdict.NOT_KEPT


@pytest.mark.parametrize(
    ("age_s", "verdict"), [(100_000.0, Verdict.EXPIRED), (-60.0, Verdict.FUTURE)]
)
def test_keys_whose_claims_may_be_forgotten_are_refused(store, age_s, verdict):
    """Guards against a run whose earlier claim has been removed by its age."""
    first = Instance(store)
    first.claim(age_s=age_s)
    assert first.verdict is verdict


def test_nothing_runs_without_the_store(store):
    """Guards against runs that nobody has claimed."""
    first = Instance(store)
    first.down = True
    first.claim()
    assert first.verdict is Verdict.UNREACHABLE


def test_claims_are_written_under_leases(store):
    """Guards against a store that fills with claims."""
    Instance(store).claim()
    (item,) = store.items("claims/")
    assert item.lease_id


def test_request_without_key_goes_through_the_whole_router():
    """Guards against routers that ask for keys where callers send none."""
    run = Deployment(3)
    run.start()
    call = run.call("i-1", method="POST")
    run.fleet.run_until(run.now_s + 1.0)
    assert call.answered
