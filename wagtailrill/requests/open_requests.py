"""Table of the requests without an answer, and the ways in which they end."""

import attrs

from ..claims.claims import Claims
from ..claims.models import ClaimOutcome, StoredAnswer
from ..core.commands import AnswerRequest, RefuseRequest, ReplayAnswer
from ..core.context import Context
from ..core.events import CallerLeft
from ..core.refusals import MayHaveRun, Refusal, RefusalCode
from ..core.request_models import AttemptResult
from ..placement.component import Placement
from .attempts import AttemptRunner
from .const import CANCEL_REPORT_MAX_S
from .models import Attempt, RequestCounters, RequestRow, increment_counter
from .refusals import DEADLINE_EXCEEDED, build_unplaced_refusal
from .request_log import RequestLog
from .waiting import WaitingRequests


@attrs.frozen
class OpenRequestsParts:
    """Dependencies of `OpenRequests`."""

    ctx: Context
    placement: Placement
    claims: Claims
    attempts: AttemptRunner
    waiting: WaitingRequests
    counters: RequestCounters
    log: RequestLog


class OpenRequests:
    """The open requests of this instance; each ends by its deadline at the latest."""

    def __init__(self, parts: OpenRequestsParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._rows: dict[int, RequestRow] = {}

    def add(self, row: RequestRow) -> None:
        """Add a request and start its deadline timer."""
        self._rows[row.req.request_id] = row
        row.deadline_timer = self._ctx.timers.call_at(
            row.deadline_s, lambda: self.handle_deadline(row)
        )

    def is_open(self, row: RequestRow) -> bool:
        """Return whether a request has no answer yet."""
        return self._rows.get(row.req.request_id) is row

    def list_rows(self) -> list[RequestRow]:
        """Return the requests in the order of their arrival."""
        return list(self._rows.values())

    def count(self) -> int:
        """Return the number of requests."""
        return len(self._rows)

    def answer_request(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Answer a request with the result of an attempt; cancel the others."""
        self._parts.attempts.cancel_attempts(row)
        if row.claim_id:
            answer = StoredAnswer(result.status, result.headers, result.body)
            self._parts.claims.complete_claim(
                row.claim_id, ClaimOutcome.ANSWERED, answer
            )
            row.claim_id = 0
        self._parts.log.log_answer(row, attempt, result.status)
        self._finish_request(row)
        self._ctx.emit_command(AnswerRequest(row.req.request_id, attempt.attempt_id))

    def replay_answer(self, row: RequestRow, answer: StoredAnswer) -> None:
        """Answer a request with the stored answer to an earlier delivery."""
        self._finish_request(row)
        self._ctx.emit_command(
            ReplayAnswer(row.req.request_id, answer.status, answer.headers, answer.body)
        )

    def refuse_request(self, row: RequestRow, refusal: Refusal) -> None:
        """Answer a request with an error and cancel the attempts that still run.

        If no other attempt may have run it, the answer waits until these tell whether
        they were sent.
        """
        if not row.attempts or row.possible_runs:
            self._end_with_refusal(row, refusal)
        elif row.pending_refusal is None:
            row.pending_refusal = refusal
            row.refusal_timer = self._ctx.timers.call_later(
                CANCEL_REPORT_MAX_S, lambda: self._end_with_refusal(row, refusal)
            )
            self._parts.attempts.cancel_attempts(row)

    def handle_cancelled_attempt(self, row: RequestRow) -> None:
        """Give the refusal that waited for the end of an attempt, if one does."""
        is_known = not row.attempts or row.possible_runs
        if row.pending_refusal is not None and is_known:
            self._end_with_refusal(row, row.pending_refusal)

    def _end_with_refusal(self, row: RequestRow, refusal: Refusal) -> None:
        if row.may_have_run and refusal.may_have_run is MayHaveRun.NO:
            # The status of such a refusal would promise that the request has not run.
            refusal = attrs.evolve(
                refusal,
                code=RefusalCode.BACKEND_LOST,
                may_have_run=MayHaveRun.UNKNOWN,
                retry_after_s=None,
            )
        elif refusal is DEADLINE_EXCEEDED and not row.may_have_run:
            refusal = build_unplaced_refusal(row.wait_reason, 0.0, self._ctx.rng)
        self._parts.attempts.cancel_attempts(row)
        self._parts.log.log_refusal(row, refusal)
        self._finish_request(row)
        self.emit_refusal(row.req.request_id, refusal)

    def emit_refusal(self, request_id: int, refusal: Refusal) -> None:
        """Send and count a refusal; the request need not be in the table."""
        increment_counter(self._parts.counters.refusals, refusal.code.value)
        self._ctx.emit_command(RefuseRequest(request_id, refusal))

    def end_claim(self, row: RequestRow) -> None:
        """Record that a request has no answer, if it has a claim."""
        if row.claim_id:
            outcome = ClaimOutcome.UNKNOWN if row.may_have_run else ClaimOutcome.NOT_RUN
            self._parts.claims.complete_claim(row.claim_id, outcome)
            row.claim_id = 0

    def handle_deadline(self, row: RequestRow) -> None:
        """Refuse a request that can no longer be answered in time."""
        if not self.is_open(row):
            return
        self.refuse_request(row, DEADLINE_EXCEEDED)

    def handle_caller_left(self, event: CallerLeft) -> None:
        """End the request of a caller that has closed its connection."""
        row = self._rows.get(event.request_id)
        # The attempts of a claimed request go on, as its answer is stored for a
        # repeated delivery.
        if row is None or (row.claim_id and row.attempts):
            return
        self._parts.log.log_caller_left(row)
        self._parts.attempts.cancel_attempts(row)
        self._finish_request(row)

    def _finish_request(self, row: RequestRow) -> None:
        self._rows.pop(row.req.request_id, None)
        self._parts.waiting.discard(row)
        self.end_claim(row)
        for placement_id in (row.placement_id, row.hedge_placement_id):
            if placement_id:
                self._parts.placement.cancel_query(placement_id, row.service.name)
        for timer in (row.deadline_timer, row.hedge_timer, row.refusal_timer):
            if timer is not None:
                timer.cancel()
