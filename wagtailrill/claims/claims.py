"""Claims idempotency keys in the store; the request pipeline uses it."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..fleet.members import Members
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Found,
    Get,
    Item,
    Leased,
    LeaseGrant,
    Put,
    StoreErrorKind,
    StoreResult,
)
from .const import (
    ANSWER_MAX_BYTES,
    CALLER_CLOCK_SKEW_MAX_S,
    CLAIM_RETENTION_S,
    LEASE_SHARED_S,
    MS_PER_S,
)
from .models import (
    Claim,
    ClaimKey,
    ClaimOutcome,
    ClaimResult,
    ClaimState,
    StoredAnswer,
    Verdict,
)

OnResult = Callable[[ClaimResult], None]
VERDICT_BY_STATE = {
    ClaimState.ANSWERED: Verdict.DONE,
    ClaimState.NOT_KEPT: Verdict.NOT_KEPT,
    ClaimState.UNKNOWN: Verdict.UNKNOWN,
}


@attrs.define(eq=False)
class OpenClaim:
    """A claim of this instance whose request has not ended.

    `key` is the key in the store; `revision` is 0 until the claim is stored. `issued_s`
    is the Unix time in the idempotency key, in seconds.
    """

    key: str
    claim: Claim
    issued_s: float
    on_result: OnResult
    revision: int = 0


class Claims:
    """Creates and completes claims on idempotency keys.

    A claim is a key in the store that only one delivery can create. It survives the
    loss of any instance, and is removed when its lease of the retention time ends.

    A restore of the store loses the claims since the copy. The request of a key from
    before it may have run, so without a stored claim its outcome is unknown.
    """

    def __init__(self, ctx: Context, members: Members, prefix: str) -> None:
        self._ctx = ctx
        self._members = members
        self._prefix = prefix
        self._open_claims: dict[int, OpenClaim] = {}
        self._lease_id = 0
        self._lease_requested_s = float("-inf")
        self._lease_pending = False
        self._unsent_ids: list[int] = []
        ctx.store_era.add_listener(self._drop_lease)

    def create_claim(
        self, key: ClaimKey, digest: int, issued_ms: int, on_result: OnResult
    ) -> int:
        """Claim a request's key; return the claim ID, 0 if refused at once.

        `issued_ms` is the Unix time in the idempotency key, in milliseconds.
        `on_result` gets the verdict, at once or when the store has answered.
        """
        identity = self._ctx.identity
        claim = Claim(
            ClaimState.CLAIMED,
            digest,
            identity.instance,
            identity.incarnation,
            self._ctx.rng.getrandbits(62) + 1,
        )
        age_verdict = self._check_age(issued_ms / MS_PER_S)
        if age_verdict is not None:
            on_result(ClaimResult(age_verdict))
            return 0
        claim_id = claim.nonce
        self._open_claims[claim_id] = OpenClaim(
            self._prefix + key.compute_digest(), claim, issued_ms / MS_PER_S, on_result
        )
        self._unsent_ids.append(claim_id)
        self._send_claims()
        return claim_id

    def complete_claim(
        self, claim_id: int, outcome: ClaimOutcome, answer: StoredAnswer | None = None
    ) -> None:
        """Record how a claimed request ended."""
        open_claim = self._open_claims.pop(claim_id, None)
        if open_claim is None or not open_claim.revision:
            return
        expected = (Expected(open_claim.key, open_claim.revision),)
        if outcome is ClaimOutcome.NOT_RUN:
            commit = Commit(expected, removes=(open_claim.key,))
        else:
            value = _build_ended_claim(open_claim.claim, outcome, answer).to_bytes()
            commit = Commit(expected, (Put(open_claim.key, value, self._lease_id),))
        self._ctx.call_store(commit, lambda result: None)

    def _drop_lease(self) -> None:
        """Use a fresh lease after a restore; the id may be another instance's now."""
        self._lease_id, self._lease_requested_s = 0, float("-inf")

    def _check_age(self, issued_s: float) -> Verdict | None:
        age_s = self._ctx.wall_s - issued_s
        if age_s < -CALLER_CLOCK_SKEW_MAX_S:
            return Verdict.FUTURE
        # A claim may use a lease that is up to LEASE_SHARED_S old, and then ends that
        # much before the retention time.
        if age_s > CLAIM_RETENTION_S - LEASE_SHARED_S - CALLER_CLOCK_SKEW_MAX_S:
            return Verdict.EXPIRED
        return None

    def _send_claims(self) -> None:
        if self._ctx.now_s - self._lease_requested_s >= LEASE_SHARED_S:
            self._request_lease()
            return
        unsent_ids, self._unsent_ids = self._unsent_ids, []
        for claim_id in unsent_ids:
            open_claim = self._open_claims.get(claim_id)
            if open_claim is not None:
                self._store_claim(claim_id, open_claim)

    def _request_lease(self) -> None:
        if self._lease_pending:
            return
        self._lease_pending = True
        requested_s = self._ctx.now_s

        def on_leased(result: StoreResult) -> None:
            self._lease_pending = False
            leased = result.ok if result.is_ok() else None
            if isinstance(leased, Leased):
                self._lease_id, self._lease_requested_s = leased.lease_id, requested_s
                self._send_claims()
                return
            unsent_ids, self._unsent_ids = self._unsent_ids, []
            for claim_id in unsent_ids:
                self._refuse_claim(claim_id, Verdict.UNREACHABLE)

        self._ctx.call_store(LeaseGrant(CLAIM_RETENTION_S), on_leased)

    def _store_claim(self, claim_id: int, open_claim: OpenClaim) -> None:
        put = Put(open_claim.key, open_claim.claim.to_bytes(), self._lease_id)
        self._ctx.call_store(
            Commit((Expected(open_claim.key, 0),), (put,)),
            lambda result: self._handle_commit_result(claim_id, open_claim, result),
        )

    def _handle_commit_result(
        self, claim_id: int, open_claim: OpenClaim, result: StoreResult
    ) -> None:
        if result.is_ok():
            committed = result.ok
            assert isinstance(committed, Committed)
            self._accept_claim(claim_id, open_claim, committed.revision)
        elif result.error.kind is StoreErrorKind.CONFLICT and result.error.items:
            self._compare_stored_claim(claim_id, open_claim, result.error.items[0])
        elif result.error.kind is StoreErrorKind.REFUSED:
            self._refuse_claim(claim_id, Verdict.UNREACHABLE)
        else:
            # The commit may have succeeded, so read the claim back.
            self._ctx.call_store(
                Get(open_claim.key),
                lambda read: self._handle_read_result(claim_id, open_claim, read),
            )

    def _handle_read_result(
        self, claim_id: int, open_claim: OpenClaim, result: StoreResult
    ) -> None:
        found = result.ok if result.is_ok() else None
        if isinstance(found, Found) and found.item is not None:
            self._compare_stored_claim(claim_id, open_claim, found.item)
        else:
            self._refuse_claim(claim_id, Verdict.UNREACHABLE)

    def _compare_stored_claim(
        self, claim_id: int, open_claim: OpenClaim, item: Item
    ) -> None:
        stored = Claim.from_bytes(item.value)
        if stored is None:
            self._refuse_claim(claim_id, Verdict.UNKNOWN)
        elif stored.nonce == open_claim.claim.nonce:
            self._accept_claim(claim_id, open_claim, item.revision)
        elif stored.digest != open_claim.claim.digest:
            self._refuse_claim(claim_id, Verdict.REUSED)
        elif stored.state is ClaimState.CLAIMED:
            is_live = self._is_process_live(stored.instance, stored.incarnation)
            self._refuse_claim(
                claim_id, Verdict.IN_PROGRESS if is_live else Verdict.UNKNOWN
            )
        else:
            verdict = VERDICT_BY_STATE[stored.state]
            self._refuse_claim(claim_id, verdict, stored.answer)

    def _is_process_live(self, instance: str, incarnation: int) -> bool:
        identity = self._ctx.identity
        if instance == identity.instance:
            return incarnation == identity.incarnation
        member = self._members.get_other_members().get(instance)
        return member is not None and member.incarnation == incarnation

    def _accept_claim(
        self, claim_id: int, open_claim: OpenClaim, revision: int
    ) -> None:
        open_claim.revision = revision
        if claim_id in self._open_claims and self._may_have_been_lost(open_claim):
            on_result = open_claim.on_result
            self.complete_claim(claim_id, ClaimOutcome.UNKNOWN)
            on_result(ClaimResult(Verdict.UNKNOWN))
        elif claim_id in self._open_claims:
            open_claim.on_result(ClaimResult(Verdict.NEW))
        else:
            # The request ended before it was sent, so release its key.
            expected = (Expected(open_claim.key, revision),)
            self._ctx.call_store(
                Commit(expected, removes=(open_claim.key,)), lambda result: None
            )

    def _may_have_been_lost(self, open_claim: OpenClaim) -> bool:
        """Return whether a restore may have lost an earlier claim on the key."""
        restored_for_s = self._ctx.now_s - self._ctx.store_era.began_by_s
        restored_wall_s = self._ctx.wall_s - restored_for_s
        return open_claim.issued_s - CALLER_CLOCK_SKEW_MAX_S <= restored_wall_s

    def _refuse_claim(
        self, claim_id: int, verdict: Verdict, answer: StoredAnswer | None = None
    ) -> None:
        open_claim = self._open_claims.pop(claim_id, None)
        if open_claim is not None:
            open_claim.on_result(ClaimResult(verdict, answer))


def _build_ended_claim(
    claim: Claim, outcome: ClaimOutcome, answer: StoredAnswer | None
) -> Claim:
    if outcome is ClaimOutcome.UNKNOWN or answer is None:
        return attrs.evolve(claim, state=ClaimState.UNKNOWN)
    if len(answer.body) > ANSWER_MAX_BYTES:
        return attrs.evolve(claim, state=ClaimState.NOT_KEPT)
    return attrs.evolve(claim, state=ClaimState.ANSWERED, answer=answer)
