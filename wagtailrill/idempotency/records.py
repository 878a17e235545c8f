"""Records of one partition at its home."""

import attrs

from ..partitions.directory import Member
from .messages import HandoverRecord
from .models import (
    OUTCOMES,
    ClaimKey,
    ClaimResult,
    Outcome,
    StoredAnswer,
    Verdict,
)


@attrs.define
class Record:
    """A claimed key; `outcome` is None while the claimant has not reported."""

    digest: int
    issued_ms: int
    claimant: Member
    claim_id: int
    outcome: Outcome | None = None
    kept: bool = True
    answer: StoredAnswer = attrs.field(factory=StoredAnswer)

    def result(self) -> ClaimResult:
        """Return the verdict for a repeat of the request."""
        if self.outcome is None:
            return ClaimResult(Verdict.IN_PROGRESS)
        if self.outcome is Outcome.UNKNOWN:
            return ClaimResult(Verdict.UNKNOWN)
        if not self.kept:
            return ClaimResult(Verdict.NOT_KEPT)
        return ClaimResult(Verdict.DONE, self.answer)


@attrs.define
class PartitionRecords:
    """Records of a partition since `complete_since_ms`, a Unix time.

    Keys issued before that time may have been claimed at an earlier home.
    """

    partition: int
    epoch: int
    complete_since_ms: int
    rows: dict[ClaimKey, Record] = attrs.field(factory=dict)
    awaits_handover: bool = False
    handover_parts: int = 0

    def claim(
        self,
        key: ClaimKey,
        digest: int,
        issued_ms: int,
        claimant: Member,
        claim_id: int,
        full: bool = False,
    ) -> ClaimResult:
        """Decide on a claim and record it when it is new; a full home takes no more."""
        row = self.rows.get(key)
        if row is None:
            if issued_ms < self.complete_since_ms:
                return ClaimResult(Verdict.UNKNOWN)
            if full:
                return ClaimResult(Verdict.OVERLOADED)
            self.rows[key] = Record(digest, issued_ms, claimant, claim_id)
            return ClaimResult(Verdict.NEW)
        if row.digest != digest:
            return ClaimResult(Verdict.REUSED)
        same_claim = row.claimant == claimant and row.claim_id == claim_id
        if same_claim and row.outcome is None:
            return ClaimResult(Verdict.NEW)
        return row.result()

    def complete(
        self,
        key: ClaimKey,
        claimant: Member,
        claim_id: int,
        outcome: Outcome,
        answer: StoredAnswer,
        kept: bool,
    ) -> None:
        """Record how a claimed request ended; a request that did not run may repeat."""
        row = self.rows.get(key)
        if row is None or row.claimant != claimant or row.claim_id != claim_id:
            return
        if row.outcome is not None:
            return
        if outcome is Outcome.NOT_RUN:
            del self.rows[key]
            return
        row.outcome, row.kept = outcome, kept
        if kept:
            row.answer = answer

    def claimant_lost(self, member: Member) -> None:
        """Mark the open claims of a lost member as unknown."""
        for row in self.rows.values():
            if row.claimant == member and row.outcome is None:
                row.outcome = Outcome.UNKNOWN

    def expire(self, before_ms: int) -> None:
        """Drop records whose keys were issued before a Unix time."""
        old = [key for key, row in self.rows.items() if row.issued_ms < before_ms]
        for key in old:
            del self.rows[key]

    def export(self) -> list[HandoverRecord]:
        """Return all records in their form for the next home."""
        return [
            HandoverRecord(
                organisation=key.organisation,
                service=key.service,
                key=key.key,
                digest=row.digest,
                issued_ms=row.issued_ms,
                claimant=row.claimant.instance,
                claimant_incarnation=row.claimant.incarnation,
                claim_id=row.claim_id,
                outcome=row.outcome.value if row.outcome else "",
                kept=row.kept,
                status=row.answer.status,
                headers=row.answer.headers,
                body=row.answer.body,
            )
            for key, row in self.rows.items()
        ]

    def merge(self, record: HandoverRecord) -> None:
        """Take over a record of the previous home."""
        key = ClaimKey(record.organisation, record.service, record.key)
        self.rows.setdefault(
            key,
            Record(
                digest=record.digest,
                issued_ms=record.issued_ms,
                claimant=Member(record.claimant, record.claimant_incarnation),
                claim_id=record.claim_id,
                outcome=(
                    OUTCOMES.get(record.outcome, Outcome.UNKNOWN)
                    if record.outcome
                    else None
                ),
                kept=record.kept,
                answer=StoredAnswer(record.status, record.headers, record.body),
            ),
        )
