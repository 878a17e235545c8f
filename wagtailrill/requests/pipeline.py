"""The steps that a request takes."""

import attrs

from ..core.commands import AnswerRequest, RefuseRequest
from ..core.context import Context
from ..core.events import AttemptEnded, CallerLeft, RequestArrived
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..core.orders import AttemptOutcome, AttemptResult
from ..core.refusals import Ran, Refusal, RefusalCode
from ..declaration.models import Configuration
from ..servers.choice import ServerChoice
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .attempts import NOT_RUN_OUTCOMES, AttemptRunner
from .checks import ArrivalChecks
from .const import USEFUL_TIME_MIN_S, WAIT_PART_OF_TARGET, WAIT_TICK_S
from .interfaces import KeyOwner, KeyRouter, RateLimits, Retries, TakeResult
from .models import Attempt, RequestCounters, RequestRow, RequestState, count
from .refusals import (
    DEADLINE_EXCEEDED,
    RATE_LIMITED_TEXT,
    REFUSAL_BY_OUTCOME,
    WITHDRAWN,
    waited_too_long,
)

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


class Pipeline:
    """Table of the requests of this instance and the steps that they take."""

    def __init__(self, parts: PipelineParts) -> None:
        self.counters = RequestCounters()
        self._parts = parts
        self._ctx = parts.ctx
        self._rows: dict[int, RequestRow] = {}
        self._waiting: dict[int, RequestRow] = {}
        self._ticking = False
        self._attempts = AttemptRunner(
            parts.ctx, parts.servers, parts.choice, self.counters
        )
        self._attempts.on_ended = self._attempt_ended

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of events."""
        host.on_event(RequestArrived, self._arrived)
        host.on_event(AttemptEnded, self._attempts.ended)
        host.on_event(CallerLeft, self._caller_left)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._parts.checks.configure(configuration)

    def open_requests(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._rows)

    # Arrival

    def _arrived(self, event: RequestArrived) -> None:
        req = event.request
        row = self._parts.checks.check(req)
        if isinstance(row, Refusal):
            self._emit_refusal(req.request_id, row, req.caller_id)
            return
        self._rows[req.request_id] = row
        count(self.counters.requests, row.service.name)
        self._parts.retries.on_request(row.service.name)
        row.deadline_timer = self._ctx.timers.call_at(
            row.deadline_s, lambda: self._deadline(row)
        )
        if row.tenant is None:
            self._admitted(row)
        else:
            self._parts.limits.take(
                row.organisation, lambda result: self._limited(row, result)
            )

    def _limited(self, row: RequestRow, result: TakeResult) -> None:
        if not self._current(row):
            return
        if result.admitted:
            self._admitted(row)
            return
        refusal = Refusal(
            RefusalCode.RATE_LIMITED,
            RATE_LIMITED_TEXT,
            retry_after_s=result.retry_after_s,
        )
        self._refuse(row, refusal)

    def _admitted(self, row: RequestRow) -> None:
        if row.service.keyed and row.key_position is not None:
            self._parts.router.record(row.service.name, row.key_position)
        if not self._place(row):
            self._wait(row)

    # Placement

    def _place(self, row: RequestRow) -> bool:
        """Send a request to a backend server; return whether there was one."""
        if row.tenant is not None and not self._parts.checks.keys.still_valid(
            row.tenant
        ):
            self._refuse(row, WITHDRAWN)
            return True
        if row.deadline_s - self._ctx.now_s < USEFUL_TIME_MIN_S:
            self._deadline(row)
            return True
        server = self._server_for(row)
        if server is None:
            return False
        self._attempts.start(row, server)
        self._arm_hedge(row)
        return True

    def _server_for(self, row: RequestRow) -> ServerRow | None:
        service = row.service
        if not service.keyed or row.key_position is None:
            row.wait_reason = RefusalCode.NO_BACKEND_SERVER
            server = self._parts.choice.choose(service.name, row.tried)
            if server is None and row.tried:
                server = self._parts.choice.choose(service.name, frozenset())
            return server
        owner = self._parts.router.owner(service.name, row.key_position)
        if not isinstance(owner, KeyOwner):
            row.wait_reason = owner
            return None
        row.wait_reason = RefusalCode.KEY_MOVING
        return self._parts.choice.keyed(owner.backend_server)

    def _wait(self, row: RequestRow) -> None:
        row.state = RequestState.WAITING
        self._waiting[row.req.request_id] = row
        if not self._ticking:
            self._ticking = True
            self._ctx.timers.call_later(WAIT_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        ordered = sorted(
            self._waiting.values(), key=lambda row: (row.priority, row.arrived_s)
        )
        for row in ordered:
            if self._place(row):
                self._waiting.pop(row.req.request_id, None)
            elif self._waited_too_long(row):
                self._waiting.pop(row.req.request_id, None)
                self._refuse(row, waited_too_long(row.wait_reason))
        if self._waiting and not self._ticking:
            self._ticking = True
            self._ctx.timers.call_later(WAIT_TICK_S, self._tick)

    def _waited_too_long(self, row: RequestRow) -> bool:
        waited_s = self._ctx.now_s - row.arrived_s
        return waited_s >= row.route.target_s * WAIT_PART_OF_TARGET

    # Attempts

    def _attempt_ended(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        outcome = result.outcome
        if outcome is AttemptOutcome.ANSWERED:
            self._parts.retries.record(row.service.name, result.latency_s)
        if row.service.keyed and outcome is AttemptOutcome.MISDIRECTED:
            assert row.key_position is not None
            self._parts.router.misdirected(
                row.service.name, row.key_position, attempt.server.name
            )
        if not self._current(row) or outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is AttemptOutcome.ANSWERED:
            self._answer(row, attempt)
            return
        if row.attempts:
            return  # another attempt is still running
        if self._may_repeat(row, outcome):
            self.counters.retries += 1
            self._ctx.log(
                LogName.REQUEST_RETRIED,
                request_id=row.req.caller_id,
                backend_server=attempt.server.name,
                outcome=outcome.value,
                attempts=row.attempts_made,
            )
            if not self._place(row):
                self._wait(row)
            return
        if outcome is AttemptOutcome.FAILED:
            self._answer(row, attempt)
            return
        self._refuse(row, REFUSAL_BY_OUTCOME[outcome])

    def _may_repeat(self, row: RequestRow, outcome: AttemptOutcome) -> bool:
        not_run = outcome in NOT_RUN_OUTCOMES
        if not not_run:
            if not row.route.idempotent or outcome not in REPEATED_IF_IDEMPOTENT:
                return False
            if row.runs >= row.route.attempts_max:
                return False
        if row.runs and not row.route.idempotent:
            return False
        if row.deadline_s - self._ctx.now_s < USEFUL_TIME_MIN_S:
            return False
        return self._parts.retries.take(row.service.name)

    def _arm_hedge(self, row: RequestRow) -> None:
        if not row.route.idempotent or row.service.keyed:
            return
        delay_s = self._parts.retries.hedge_delay_s(row.service.name)
        if delay_s is not None:
            row.hedge_timer = self._ctx.timers.call_later(
                delay_s, lambda: self._hedge(row)
            )

    def _hedge(self, row: RequestRow) -> None:
        """Send a second attempt to another server."""
        if not self._current(row) or len(row.attempts) != 1:
            return
        if row.runs + len(row.attempts) >= row.route.attempts_max:
            return
        server = self._parts.choice.choose(row.service.name, row.tried)
        if server is None:
            return
        left_s = row.arrived_s + row.route.target_s - self._ctx.now_s
        if self._parts.choice.expected_s(server) > left_s:
            return
        if not self._parts.retries.take(row.service.name):
            return
        self.counters.hedges += 1
        self._attempts.start(row, server, hedge=True)

    # Ends

    def _answer(self, row: RequestRow, attempt: Attempt) -> None:
        self._attempts.cancel_all(row)
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
        self._finish(row)
        self._emit_refusal(row.req.request_id, refusal, row.req.caller_id)

    def _finish(self, row: RequestRow) -> None:
        self._rows.pop(row.req.request_id, None)
        self._waiting.pop(row.req.request_id, None)
        for timer in (row.deadline_timer, row.hedge_timer):
            if timer is not None:
                timer.cancel()

    def _deadline(self, row: RequestRow) -> None:
        if not self._current(row):
            return
        if row.may_have_run:
            self._refuse(row, DEADLINE_EXCEEDED)
        else:
            self._refuse(row, waited_too_long(row.wait_reason))

    def _caller_left(self, event: CallerLeft) -> None:
        row = self._rows.get(event.request_id)
        if row is None:
            return
        self._attempts.cancel_all(row)
        self._finish(row)

    def _current(self, row: RequestRow) -> bool:
        return self._rows.get(row.req.request_id) is row

    def _emit_refusal(self, request_id: int, refusal: Refusal, caller_id: str) -> None:
        count(self.counters.refusals, refusal.code.value)
        self._ctx.log(
            LogName.REQUEST_REFUSED
            if refusal.ran is Ran.NO
            else LogName.REQUEST_FAILED,
            request_id=caller_id,
            code=refusal.code.value,
            status=refusal.status,
            ran=refusal.ran.value,
        )
        self._ctx.emit(RefuseRequest(request_id, refusal))
