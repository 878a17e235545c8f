"""Home side: decides on claims and keeps records in memory."""

import attrs

from ..core.context import Context
from ..partitions.directory import (
    SUCCESSOR_EPOCH_STEP,
    Home,
    Member,
    PartitionDirectory,
)
from ..peer.registry import Envelope
from .const import (
    EXPIRY_INTERVAL_S,
    HANDOVER_CHUNK_BYTES,
    HANDOVER_KEEP_S,
    HANDOVER_RECORD_OVERHEAD_BYTES,
    HANDOVER_WAIT_S,
    INSTANCE_CLOCK_SKEW_S,
    RECORDS_MAX,
    STORED_ANSWERS_MAX_BYTES,
)
from .messages import (
    ClaimReply,
    ClaimRequest,
    Completion,
    CompletionReply,
    Handover,
    HandoverRecord,
)
from .models import (
    OUTCOMES,
    ClaimKey,
    ClaimResult,
    IdempotencySettings,
    Outcome,
    StoredAnswer,
    Verdict,
)
from .records import PartitionRecords

MS_PER_S = 1000


@attrs.frozen
class _Departing:
    """Records of a home that was given up, kept until a time in seconds."""

    records: PartitionRecords
    end_s: float


class ClaimHome:
    """Claims of the partitions whose home this instance is."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: IdempotencySettings
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._cfg = cfg
        self._partitions: dict[int, PartitionRecords] = {}
        self._held: dict[int, list[Envelope]] = {}
        self._early_handovers: dict[int, list[Handover]] = {}
        self._departing: dict[int, _Departing] = {}
        self._answer_bytes = 0
        ctx.timers.subscribe(EXPIRY_INTERVAL_S, self._expire, EXPIRY_INTERVAL_S)

    def record_count(self) -> int:
        """Return the number of records kept."""
        return sum(len(p.rows) for p in self._partitions.values())

    def home_gained(self, partition: int, epoch: int) -> None:
        """Start with no records: keys issued before now get `UNKNOWN`."""
        skew_s = self._cfg.caller_clock_skew_s + INSTANCE_CLOCK_SKEW_S
        since_ms = self._now_ms() + int(skew_s * MS_PER_S)
        records = PartitionRecords(partition, epoch, since_ms, awaits_handover=True)
        self._partitions[partition] = records
        for message in self._early_handovers.pop(partition, []):
            self._take_over(records, message)
        self._ctx.timers.call_later(
            HANDOVER_WAIT_S, lambda: self._stop_waiting(records)
        )

    def home_lost(self, partition: int) -> None:
        """Keep the records until the next home is known and has them."""
        records = self._partitions.pop(partition, None)
        self._held.pop(partition, None)
        if records is None:
            return
        end_s = self._ctx.now_s + HANDOVER_KEEP_S
        self._departing[partition] = _Departing(records, end_s)
        self.table_changed()

    def table_changed(self) -> None:
        """Hand over records whose next home is known by now.

        Only the direct successor may get them: after another home in between they
        would miss the claims of that home.
        """
        now_s = self._ctx.now_s
        for partition, departing in list(self._departing.items()):
            home = self._directory.home_of(partition)
            epoch = departing.records.epoch + SUCCESSOR_EPOCH_STEP
            if home is not None and home.epoch == epoch:
                self._hand_over(departing.records, home)
            elif home is None and now_s < departing.end_s:
                continue
            del self._departing[partition]

    def handing_over(self) -> bool:
        """Return whether records still wait for their next home."""
        return bool(self._departing)

    def member_dropped(self, member: Member) -> None:
        """Mark the open claims of a lost member as unknown."""
        for records in self._partitions.values():
            records.claimant_lost(member)

    def lease_lost(self) -> None:
        """Forget everything: another instance may be the home by now."""
        self._partitions.clear()
        self._held.clear()
        self._answer_bytes = 0
        # Departing records stay: they were whole when this home was vacated.

    def claim_requested(self, envelope: Envelope) -> None:
        """Answer a claim; one for an old key waits for a handover that may come."""
        req: ClaimRequest = envelope.message
        records = self._partitions.get(req.partition)
        if records is None or not self._directory.is_home(req.partition):
            self._reply(envelope, ClaimResult(Verdict.NOT_HOME))
            return
        if not self._directory.is_member(envelope.sender, envelope.incarnation):
            return
        if records.awaits_handover and req.issued_ms < records.complete_since_ms:
            self._held.setdefault(req.partition, []).append(envelope)
            return
        self._decide(records, envelope)

    def completed(self, envelope: Envelope) -> None:
        """Record how a claimed request ended."""
        message: Completion = envelope.message
        records = self._partitions.get(message.partition)
        if records is None:
            return
        size = len(message.body)
        kept = (
            message.outcome == Outcome.ANSWERED
            and size <= self._cfg.stored_answer_max_bytes
            and self._answer_bytes + size <= STORED_ANSWERS_MAX_BYTES
        )
        if kept:
            self._answer_bytes += size
        records.complete(
            key=ClaimKey(message.organisation, message.service, message.key),
            claimant=Member(envelope.sender, envelope.incarnation),
            claim_id=message.claim_id,
            outcome=OUTCOMES.get(message.outcome, Outcome.UNKNOWN),
            answer=StoredAnswer(message.status, message.headers, message.body),
            kept=kept,
        )
        reply = CompletionReply(message.claim_id)
        self._ctx.send(envelope.sender, reply, envelope.incarnation)

    def handed_over(self, envelope: Envelope) -> None:
        """Take over records; a series may arrive before the table that names us."""
        message: Handover = envelope.message
        records = self._partitions.get(message.partition)
        if records is not None:
            self._take_over(records, message)
        else:
            self._early_handovers.setdefault(message.partition, []).append(message)

    def _decide(self, records: PartitionRecords, envelope: Envelope) -> None:
        req: ClaimRequest = envelope.message
        verdict = self._verdict_by_age(req.issued_ms)
        if verdict is not None:
            self._reply(envelope, ClaimResult(verdict))
            return
        result = records.claim(
            key=ClaimKey(req.organisation, req.service, req.key),
            digest=req.digest,
            issued_ms=req.issued_ms,
            claimant=Member(envelope.sender, envelope.incarnation),
            claim_id=req.claim_id,
            full=self.record_count() >= RECORDS_MAX,
        )
        self._reply(envelope, result)

    def _verdict_by_age(self, issued_ms: int) -> Verdict | None:
        age_s = (self._now_ms() - issued_ms) / MS_PER_S
        if age_s > self._cfg.retention_s:
            return Verdict.EXPIRED
        # A home of a later epoch relies on this bound to tell new keys from old ones.
        if age_s < -self._cfg.caller_clock_skew_s:
            return Verdict.FUTURE
        return None

    def _reply(self, envelope: Envelope, result: ClaimResult) -> None:
        answer = result.answer
        reply = ClaimReply(
            claim_id=envelope.message.claim_id,
            verdict=result.verdict.value,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )
        self._ctx.send(envelope.sender, reply, envelope.incarnation)

    def _take_over(self, records: PartitionRecords, message: Handover) -> None:
        in_order = (
            message.epoch == records.epoch and message.part == records.handover_parts
        )
        if not records.awaits_handover or not in_order:
            return
        records.handover_parts += 1
        for record in message.records:
            records.merge(record)
        if message.final:
            records.complete_since_ms = message.since_ms
            self._stop_waiting(records)

    def _stop_waiting(self, records: PartitionRecords) -> None:
        if not records.awaits_handover:
            return
        records.awaits_handover = False
        if self._partitions.get(records.partition) is not records:
            return
        for envelope in self._held.pop(records.partition, []):
            self.claim_requested(envelope)

    def _hand_over(self, records: PartitionRecords, home: Home) -> None:
        chunks: list[list[HandoverRecord]] = [[]]
        size = 0
        for record in records.export():
            size += len(record.body) + HANDOVER_RECORD_OVERHEAD_BYTES
            if size > HANDOVER_CHUNK_BYTES:
                chunks.append([])
                size = 0
            chunks[-1].append(record)
        # A home that itself still waits for records can't vouch for older keys.
        since_ms = records.complete_since_ms
        for part, chunk in enumerate(chunks):
            final = part == len(chunks) - 1
            message = Handover(
                partition=records.partition,
                epoch=home.epoch,
                part=part,
                final=final,
                since_ms=since_ms,
                records=tuple(chunk),
            )
            self._ctx.send(home.instance, message)

    def _expire(self) -> None:
        before_ms = self._now_ms() - int(self._cfg.retention_s * MS_PER_S)
        for records in self._partitions.values():
            records.expire(before_ms)
        self._early_handovers.clear()
        self.table_changed()
        self._answer_bytes = sum(
            len(row.answer.body)
            for records in self._partitions.values()
            for row in records.rows.values()
        )

    def _now_ms(self) -> int:
        return int(self._ctx.wall_s * MS_PER_S)
