"""The steps that a request takes."""

from collections.abc import Callable

import attrs

from ..claims.claims import Claims
from ..claims.models import (
    ClaimEnd,
    ClaimKey,
    ClaimResult,
    StoredAnswer,
    Verdict,
    issued_ms,
    request_digest,
)
from ..core.commands import AnswerRequest, RefuseRequest, ReplayAnswer
from ..core.context import Context
from ..core.events import AttemptEnded, CallerLeft, RequestArrived
from ..core.host import ComponentHost
from ..core.orders import AttemptOutcome, AttemptResult
from ..core.refusals import Ran, Refusal, RefusalCode
from ..crash_guard.guard import CrashGuard
from ..crash_guard.models import request_fingerprint
from ..declaration.models import Configuration
from ..placement.component import Placement
from ..placement.models import NoServerAvailable, PlacementQuery, ServerAssignment
from ..servers.choice import ServerChoice
from ..servers.table import ServerTable
from .attempts import NOT_RUN_OUTCOMES, AttemptRunner
from .checks import ArrivalChecks
from .const import (
    DEFERRED_RETRY_S,
    MISDIRECTED_PAUSE_S,
    USEFUL_TIME_MIN_S,
    WAIT_PART_OF_TARGET,
)
from .hedging import NOT_STARTED, Hedging, HedgingParts
from .interfaces import KeyRouter, RateLimits, Retries, TakeResult
from .models import Attempt, RequestCounters, RequestRow, RequestState, count
from .refusals import (
    CRASHES_SERVERS,
    DEADLINE_EXCEEDED,
    DRAINING,
    RATE_LIMITED_TEXT,
    REFUSAL_BY_OUTCOME,
    REFUSAL_BY_VERDICT,
    WITHDRAWN,
    no_room,
)
from .request_log import RequestLog
from .waiting import WaitingRequests

# An attempt that failed like this may be repeated if the request is idempotent.
REPEATED_IF_IDEMPOTENT = frozenset(
    {AttemptOutcome.LOST, AttemptOutcome.BAD_ANSWER, AttemptOutcome.FAILED}
)


@attrs.frozen
class PipelineParts:
    """The components that requests pass through."""

    ctx: Context
    checks: ArrivalChecks
    limits: RateLimits
    router: KeyRouter
    servers: ServerTable
    choice: ServerChoice
    retries: Retries
    placement: Placement
    guard: CrashGuard
    claims: Claims
    instances: Callable[[], tuple[str, ...]]


class Pipeline:
    """Table of the requests of this instance and the steps that they take."""

    def __init__(self, parts: PipelineParts) -> None:
        self.counters = RequestCounters()
        self._parts = parts
        self._ctx = parts.ctx
        self._log = RequestLog(parts.ctx, parts.checks)
        self._rows: dict[int, RequestRow] = {}
        self._waiting = WaitingRequests(parts.ctx, self._place)
        self._stops_at_s = float("inf")
        self._attempts = AttemptRunner(
            parts.ctx, parts.servers, parts.choice, self.counters, parts.instances
        )
        self._attempts.on_ended = self._attempt_ended
        self._hedging = Hedging(
            HedgingParts(
                parts.ctx,
                parts.retries,
                parts.placement,
                self._attempts,
                self.counters,
                self._log,
                self._current,
                self._wanted,
            )
        )

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of events."""
        host.on_event(RequestArrived, self._arrived)
        host.on_event(AttemptEnded, self._attempts.ended)
        host.on_event(CallerLeft, self._caller_left)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._parts.checks.configure(configuration)

    def stop_at(self, stops_at_s: float) -> None:
        """Take only requests that end before this instance stops."""
        self._stops_at_s = stops_at_s

    def open_requests(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._rows)

    # Arrival

    def _arrived(self, event: RequestArrived) -> None:
        req = event.request
        row = self._parts.checks.check(req)
        if isinstance(row, Refusal):
            self._log.turned_away(req, row)
            self._emit_refusal(req.request_id, row)
            return
        self._rows[req.request_id] = row
        count(self.counters.requests, row.service.name)
        self._parts.retries.count_request(row.service.name)
        row.deadline_timer = self._ctx.timers.call_at(
            row.deadline_s, lambda: self._deadline(row)
        )
        if row.deadline_s > self._stops_at_s:
            self._refuse(row, DRAINING)
            return
        if self._blocked(row):
            return
        if row.tenant is None:
            self._admitted(row)
        else:
            self._take_token(row)

    def _take_token(self, row: RequestRow) -> None:
        if self._current(row):
            self._parts.limits.take(
                row.organisation, lambda result: self._limited(row, result)
            )

    def _blocked(self, row: RequestRow) -> bool:
        """Refuse a request that crashes backend servers; return whether it is one."""
        guard = self._parts.guard
        if not guard.has_suspects():
            return False
        if guard.blocked(self._fingerprint(row)):
            self._refuse(row, CRASHES_SERVERS)
            return True
        return False

    def _fingerprint(self, row: RequestRow) -> int:
        if row.fingerprint is None:
            row.fingerprint = request_fingerprint(row.organisation, row.req)
        return row.fingerprint

    def _limited(self, row: RequestRow, result: TakeResult) -> None:
        if not self._current(row):
            return
        if result.admitted:
            self._admitted(row)
            return
        delay_s = max(result.retry_after_s, DEFERRED_RETRY_S)
        if row.route.deferrable and self._ctx.now_s + delay_s < row.deadline_s:
            self._ctx.timers.call_later(delay_s, lambda: self._take_token(row))
            return
        row.decided_by = result.decided_by
        refusal = Refusal(
            RefusalCode.RATE_LIMITED,
            RATE_LIMITED_TEXT,
            retry_after_s=result.retry_after_s,
        )
        self._refuse(row, refusal)

    def _admitted(self, row: RequestRow) -> None:
        if row.claim_key is None:
            self._place(row)
            return
        row.state = RequestState.CLAIMING
        row.claim_id = self._parts.claims.claim(
            ClaimKey(row.organisation, row.service.name, row.claim_key),
            request_digest(row.req),
            issued_ms(row.claim_key) or 0,
            lambda result: self._claimed(row, result),
        )

    def _claimed(self, row: RequestRow, result: ClaimResult) -> None:
        if not self._current(row):
            return
        if result.verdict is Verdict.NEW:
            self._place(row)
            return
        row.claim_id = 0
        if result.answer is not None:
            self._finish(row)
            answer = result.answer
            self._ctx.emit(
                ReplayAnswer(
                    row.req.request_id, answer.status, answer.headers, answer.body
                )
            )
            return
        self._refuse(row, REFUSAL_BY_VERDICT[result.verdict])

    # Placement

    def _place(self, row: RequestRow) -> None:
        """Ask for a backend server, unless the request may not go on."""
        if row.tenant is not None and not self._parts.checks.keys.still_valid(
            row.tenant
        ):
            self._refuse(row, WITHDRAWN)
            return
        if row.deadline_s - self._ctx.now_s < USEFUL_TIME_MIN_S:
            self._deadline(row)
            return
        row.state = RequestState.PLACING
        row.question = 0
        row.question = self._parts.placement.find_server(
            self._wanted(row), lambda result: self._placed(row, result)
        )

    def _placed(
        self, row: RequestRow, result: ServerAssignment | NoServerAvailable
    ) -> None:
        row.question = 0
        if isinstance(result, ServerAssignment):
            if self._current(row):
                self._attempts.start(row, result)
                self._hedging.arm(row)
            else:
                self._parts.placement.report_end(row.service.name, result, NOT_STARTED)
            return
        if not self._current(row):
            return
        if result.may_wait and not self._waited_too_long(row):
            self._log.waits(row)
            self._waiting.add(row)
            return
        row.decided_by = result.decided_by
        row.wait_reason = (
            RefusalCode.KEY_MOVING
            if result.key_moving
            else RefusalCode.NO_BACKEND_SERVER
        )
        self._refuse(row, no_room(row.wait_reason, result.retry_after_s))

    def _wanted(self, row: RequestRow, extra: bool = False) -> PlacementQuery:
        now_s = self._ctx.now_s
        return PlacementQuery(
            service=row.service.name,
            keyed=row.service.keyed,
            key_position=row.key_position,
            priority=row.priority,
            waited_s=now_s - row.arrived_s,
            target_s=row.route.target_s,
            left_s=row.deadline_s - now_s,
            excluded=row.tried,
            extra=extra,
        )

    def _waited_too_long(self, row: RequestRow) -> bool:
        waited_s = self._ctx.now_s - row.arrived_s
        return waited_s >= row.route.target_s * WAIT_PART_OF_TARGET

    # Attempts

    def _attempt_ended(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        outcome = result.outcome
        self._record(row, attempt, result)
        if not self._current(row) or outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is AttemptOutcome.ANSWERED:
            self._answer(row, attempt, result)
        elif row.attempts or self._blocked(row):
            return  # another attempt is still running, or there will be none
        elif self._may_repeat(row, outcome):
            self._repeat(row, outcome)
        elif outcome is AttemptOutcome.FAILED:
            self._answer(row, attempt, result)
        else:
            self._refuse(row, REFUSAL_BY_OUTCOME[outcome])

    def _record(self, row: RequestRow, attempt: Attempt, result: AttemptResult) -> None:
        """Tell the other components how an attempt ended."""
        parts, service = self._parts, row.service
        parts.placement.report_end(service.name, attempt.placed, result)
        if result.outcome is AttemptOutcome.ANSWERED:
            parts.retries.record_latency(service.name, result.latency_s)
            if parts.guard.has_suspects():
                parts.guard.answered(self._fingerprint(row))
        elif result.outcome is AttemptOutcome.LOST:
            parts.guard.lost(self._fingerprint(row), attempt.placed.server)
        elif result.outcome is AttemptOutcome.MISDIRECTED and service.keyed:
            assert row.key_position is not None
            parts.router.misdirected(
                service.name, row.key_position, attempt.placed.server.name
            )

    def _repeat(self, row: RequestRow, outcome: AttemptOutcome) -> None:
        self.counters.retries += 1
        self._log.repeated(row, outcome.value)
        if outcome is AttemptOutcome.MISDIRECTED and row.service.keyed:
            # The owner is told soon, or another one; asking at once is no use.
            row.state = RequestState.WAITING
            self._ctx.timers.call_later(MISDIRECTED_PAUSE_S, lambda: self._again(row))
            return
        self._place(row)

    def _again(self, row: RequestRow) -> None:
        if self._current(row):
            self._place(row)

    def _may_repeat(self, row: RequestRow, outcome: AttemptOutcome) -> bool:
        not_run = outcome in NOT_RUN_OUTCOMES
        if not not_run:
            if not row.route.idempotent or outcome not in REPEATED_IF_IDEMPOTENT:
                return False
            if row.runs >= row.route.attempts_max:
                return False
        if row.runs and not row.route.idempotent:
            return False
        if row.deadline_s - self._ctx.now_s < USEFUL_TIME_MIN_S or row.req.attempt:
            return False
        return self._parts.retries.take_attempt(row.service.name)

    # Ends

    def _answer(self, row: RequestRow, attempt: Attempt, result: AttemptResult) -> None:
        self._attempts.cancel_all(row)
        if row.claim_id:
            answer = StoredAnswer(result.status, result.headers, result.body)
            self._parts.claims.complete(row.claim_id, ClaimEnd.ANSWERED, answer)
            row.claim_id = 0
        self._log.answered(row, attempt, result.status)
        self._finish(row)
        self._ctx.emit(AnswerRequest(row.req.request_id, attempt.attempt_id))

    def _refuse(self, row: RequestRow, refusal: Refusal) -> None:
        """Answer a request with an error; attempts that still run are abandoned."""
        if row.may_have_run and refusal.ran is Ran.NO:
            # The statuses of such refusals promise that nothing has run.
            refusal = attrs.evolve(
                refusal,
                code=RefusalCode.BACKEND_LOST,
                ran=Ran.UNKNOWN,
                retry_after_s=None,
            )
        self._attempts.cancel_all(row)
        self._log.refused(row, refusal)
        self._finish(row)
        self._emit_refusal(row.req.request_id, refusal)

    def _finish(self, row: RequestRow) -> None:
        self._rows.pop(row.req.request_id, None)
        self._waiting.discard(row)
        if row.claim_id:
            end = ClaimEnd.UNKNOWN if row.may_have_run else ClaimEnd.NOT_RUN
            self._parts.claims.complete(row.claim_id, end)
            row.claim_id = 0
        for question in (row.question, row.hedge_question):
            if question:
                self._parts.placement.cancel_query(question, row.service.name)
        for timer in (row.deadline_timer, row.hedge_timer):
            if timer is not None:
                timer.cancel()

    def _deadline(self, row: RequestRow) -> None:
        if not self._current(row):
            return
        if row.may_have_run:
            self._refuse(row, DEADLINE_EXCEEDED)
        else:
            self._refuse(row, no_room(row.wait_reason, 0.0))

    def _caller_left(self, event: CallerLeft) -> None:
        row = self._rows.get(event.request_id)
        # The answer of a claimed request is kept for the caller's repeat.
        if row is None or (row.claim_id and row.attempts):
            return
        self._log.caller_left(row)
        self._attempts.cancel_all(row)
        self._finish(row)

    def _current(self, row: RequestRow) -> bool:
        return self._rows.get(row.req.request_id) is row

    def _emit_refusal(self, request_id: int, refusal: Refusal) -> None:
        count(self.counters.refusals, refusal.code.value)
        self._ctx.emit(RefuseRequest(request_id, refusal))
