"""Claimant side of idempotency keys."""

import itertools
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..partitions.directory import PartitionDirectory, partition_of
from ..partitions.forwarding import HomeForwarder
from ..peer.registry import Envelope
from .const import (
    CLAIM_RETRY_INTERVAL_S,
    CLAIM_TIMEOUT_S,
    COMPLETION_ATTEMPTS,
    COMPLETION_RETRY_INTERVAL_S,
)
from .home import ClaimHome
from .messages import ClaimReply, ClaimRequest, Completion, CompletionReply, Handover
from .models import (
    VERDICTS,
    ClaimCallback,
    ClaimKey,
    ClaimResult,
    IdempotencySettings,
    Outcome,
    StoredAnswer,
    Verdict,
)


@attrs.define(eq=False)
class Claim:
    """A claim of this instance."""

    claim_id: int
    key: ClaimKey
    partition: int
    digest: int
    issued_ms: int
    deadline_s: float
    on_result: ClaimCallback | None


class Idempotency(HomeForwarder):
    """Claims requests at the home of their idempotency key before they are sent."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: IdempotencySettings
    ) -> None:
        self.home = ClaimHome(ctx, directory, cfg)
        super().__init__(self.home)
        self._ctx = ctx
        self._directory = directory
        self._claim_ids = itertools.count(1)
        self._claims: dict[int, Claim] = {}
        self._completions: dict[int, Completion] = {}

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        handlers: dict[type, Callable[[Envelope], None]] = {
            ClaimRequest: self.home.claim_requested,
            Completion: self.home.completed,
            Handover: self.home.handed_over,
            ClaimReply: self._claim_answered,
            CompletionReply: self._completion_answered,
        }
        for cls, handler in handlers.items():
            host.on_messages([cls], handler)

    def claim(
        self, key: ClaimKey, digest: int, issued_ms: int, on_result: ClaimCallback
    ) -> int:
        """Ask whether a request may be sent; return the claim's number.

        A claim with the verdict `NEW` must be ended with `complete`.
        """
        claim = Claim(
            claim_id=next(self._claim_ids),
            key=key,
            partition=claim_partition(key),
            digest=digest,
            issued_ms=issued_ms,
            deadline_s=self._ctx.now_s + CLAIM_TIMEOUT_S,
            on_result=on_result,
        )
        self._claims[claim.claim_id] = claim
        self._ask(claim)
        return claim.claim_id

    def complete(
        self, claim_id: int, outcome: Outcome, answer: StoredAnswer | None = None
    ) -> None:
        """Tell the home how the request ended; ends the claim at this instance."""
        claim = self._claims.pop(claim_id, None)
        if claim is None:
            return
        answer = answer or StoredAnswer()
        completion = Completion(
            claim_id=claim_id,
            partition=claim.partition,
            organisation=claim.key.organisation,
            service=claim.key.service,
            key=claim.key.key,
            outcome=outcome.value,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )
        self._completions[claim_id] = completion
        self._report(claim_id, COMPLETION_ATTEMPTS)

    def table_changed(self, *_: object) -> None:
        """Learn that a new cell table is in force."""
        self.home.table_changed()

    def handing_over(self) -> bool:
        """Return whether records still wait for their next home."""
        return self.home.handing_over()

    def _ask(self, claim: Claim) -> None:
        if claim.on_result is None or claim.claim_id not in self._claims:
            return
        if self._ctx.now_s >= claim.deadline_s:
            self._give_up(claim)
            return
        home = self._directory.home_of(claim.partition)
        if home is not None:
            message = ClaimRequest(
                claim_id=claim.claim_id,
                partition=claim.partition,
                epoch=home.epoch,
                organisation=claim.key.organisation,
                service=claim.key.service,
                key=claim.key.key,
                digest=claim.digest,
                issued_ms=claim.issued_ms,
            )
            self._ctx.send(home.instance, message)
        self._ctx.timers.call_later(CLAIM_RETRY_INTERVAL_S, lambda: self._ask(claim))

    def _give_up(self, claim: Claim) -> None:
        on_result, claim.on_result = claim.on_result, None
        # The home may have recorded the claim; the request is not sent.
        self.complete(claim.claim_id, Outcome.NOT_RUN)
        if on_result is not None:
            on_result(ClaimResult(Verdict.UNREACHABLE))

    def _claim_answered(self, envelope: Envelope) -> None:
        reply: ClaimReply = envelope.message
        claim = self._claims.get(reply.claim_id)
        verdict = VERDICTS.get(reply.verdict, Verdict.NOT_HOME)
        if claim is None or claim.on_result is None or verdict is Verdict.NOT_HOME:
            return
        on_result, claim.on_result = claim.on_result, None
        if verdict is not Verdict.NEW:
            del self._claims[reply.claim_id]
        answer = StoredAnswer(reply.status, reply.headers, reply.body)
        on_result(ClaimResult(verdict, answer))

    def _report(self, claim_id: int, attempts: int) -> None:
        completion = self._completions.get(claim_id)
        if completion is None:
            return
        if attempts == 0:
            del self._completions[claim_id]
            return
        home = self._directory.home_of(completion.partition)
        if home is not None:
            self._ctx.send(home.instance, completion)
        self._ctx.timers.call_later(
            COMPLETION_RETRY_INTERVAL_S, lambda: self._report(claim_id, attempts - 1)
        )

    def _completion_answered(self, envelope: Envelope) -> None:
        self._completions.pop(envelope.message.claim_id, None)


def claim_partition(key: ClaimKey) -> int:
    """Return the partition of an idempotency key."""
    return partition_of("claim", f"{key.organisation}\0{key.service}\0{key.key}")
