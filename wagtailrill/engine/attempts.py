"""Attempts at requests: orders, their outcomes, retries and hedges."""

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..core.backend import BackendErrorKind, BackendResult, Health, Probe
from ..core.commands import AnswerRequest, CancelAttempt, SendOrder
from ..core.events import AttemptEnded
from ..core.orders import AttemptOutcome, AttemptResult, Order
from ..core.refusals import Ran, Refusal, RefusalCode
from ..crash_guard.guard import request_fingerprint
from ..crash_guard.models import CrashVerdict
from ..idempotency.messages import HeaderField
from ..idempotency.models import Outcome, StoredAnswer
from ..ownership.models import SlotRoute
from ..permits.models import Permit
from .models import Attempt, PipelineCounters, RequestRow, RequestState, count
from .order_headers import order_headers
from .refusal_texts import CRASHES_SERVERS_MAY_HAVE_RUN

if TYPE_CHECKING:
    from .pipeline import Pipeline, PipelineParts

OutcomeHandler = Callable[[RequestRow, Attempt, AttemptResult], None]

# A backend server stops a cancelled request soon after its connection closes; one
# that did not answer in time may go on with it.
CANCELLED_RUNS_ON_S = 0.1
TIMED_OUT_RUNS_ON_S = 1.0
ORDER_TIMEOUT_MIN_S = 0.001
RETRY_AFTER_S = 0.5

RUNS_ON_S = {
    AttemptOutcome.CANCELLED: CANCELLED_RUNS_ON_S,
    AttemptOutcome.TIMED_OUT: TIMED_OUT_RUNS_ON_S,
}
NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.FENCED, AttemptOutcome.CONNECT_FAILED}
)
MAY_STILL_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.LOST,
        AttemptOutcome.BAD_ANSWER,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CANCELLED,
    }
)
UNREACHABLE_OUTCOMES = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT}
)

REFUSAL_BY_OUTCOME = {
    AttemptOutcome.SHED: Refusal(
        RefusalCode.NO_BACKEND_SERVER,
        "The backend servers have no room for the request.",
        retry_after_s=RETRY_AFTER_S,
    ),
    AttemptOutcome.FENCED: Refusal(
        RefusalCode.KEY_MOVING,
        "The key is moving to another backend server.",
        retry_after_s=RETRY_AFTER_S,
    ),
    AttemptOutcome.CONNECT_FAILED: Refusal(
        RefusalCode.NO_BACKEND_SERVER,
        "The backend server cannot be reached.",
        retry_after_s=RETRY_AFTER_S,
    ),
    AttemptOutcome.LOST: Refusal(
        RefusalCode.BACKEND_LOST,
        "The connection to the backend server ended before its answer.",
        Ran.UNKNOWN,
    ),
    AttemptOutcome.BAD_ANSWER: Refusal(
        RefusalCode.BACKEND_BAD_ANSWER,
        "The backend server's answer was cut or belonged to another request.",
        Ran.UNKNOWN,
    ),
    AttemptOutcome.TIMED_OUT: Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        "The backend server did not answer within the deadline.",
        Ran.UNKNOWN,
    ),
}


class AttemptRunner:
    """Starts attempts and decides what follows from their outcome."""

    def __init__(
        self, parts: "PipelineParts", counters: PipelineCounters, pipeline: "Pipeline"
    ) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._counters = counters
        self._pipeline = pipeline
        self._attempt_ids = itertools.count(1)
        self._by_id: dict[int, tuple[RequestRow, Attempt]] = {}
        self._suspects_running: dict[str, int] = {}
        self._handlers: dict[AttemptOutcome, OutcomeHandler] = {
            AttemptOutcome.ANSWERED: self._answered,
            AttemptOutcome.LOST: self._lost,
        }
        self._start_ids: dict[str, str] = {}
        identity = parts.ctx.identity
        self._name = f"{identity.instance}-{identity.incarnation:x}"

    def start(self, row: RequestRow, permit: Permit, hedge: bool = False) -> None:
        """Send a request to the backend server of a permit."""
        refusal = self._pipeline.check_before_order(row)
        if refusal is not None:
            self._parts.permits.release(permit, connection_open=not permit.may_connect)
            if not hedge:  # the first attempt of a hedged request goes on
                self._pipeline.refuse(row, refusal)
            return
        route = self._route(row, permit)
        if row.service.keyed and route is None:
            self._parts.permits.release(permit, connection_open=not permit.may_connect)
            self._pipeline.requeue(row)
            return
        self._ctx.invariants.check(
            row.route.idempotent or not (row.may_have_run or row.attempts),
            "non_idempotent_sent_once",
            f"request {row.req.request_id}",
        )
        attempt = Attempt(
            attempt_id=next(self._attempt_ids),
            permit=permit,
            route=route,
            started_s=self._ctx.now_s,
            start_id=self._start_ids.get(permit.backend_server, ""),
            hedge=hedge,
            suspect=row.suspect,
        )
        if row.suspect:
            self._count_suspect(permit.backend_server, 1)
        row.state = RequestState.RUNNING
        row.attempts_made += 1
        row.attempts[attempt.attempt_id] = attempt
        if route is not None:
            self._parts.router.order_started(attempt.attempt_id, route)
        row.tried |= {permit.backend_server}
        self._by_id[attempt.attempt_id] = (row, attempt)
        self._ctx.emit(SendOrder(self._order(row, attempt)))
        if not hedge:
            self._arm_hedge(row)

    def suspect_on(self, backend_server: str) -> bool:
        """Return whether a suspected request runs on a backend server."""
        return self._suspects_running.get(backend_server, 0) > 0

    def cancel_all(self, row: RequestRow) -> None:
        """Abandon the attempts that are still running."""
        for attempt_id in row.attempts:
            self._ctx.emit(CancelAttempt(attempt_id))

    def ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        result = event.result
        row, attempt = self._by_id.pop(result.attempt_id)
        row.attempts.pop(result.attempt_id, None)
        self._record(row, attempt, result)
        if result.outcome not in NOT_RUN_OUTCOMES:
            row.may_have_run = True
        if (
            self._pipeline.current(row)
            and result.outcome is not AttemptOutcome.CANCELLED
        ):
            handler = self._handlers.get(result.outcome, self._failed)
            handler(row, attempt, result)
        self._pipeline.pump(row.service.name)

    def _count_suspect(self, backend_server: str, change: int) -> None:
        running = self._suspects_running.get(backend_server, 0) + change
        self._suspects_running[backend_server] = running

    def _route(self, row: RequestRow, permit: Permit) -> SlotRoute | None:
        if not row.service.keyed:
            return None
        route = self._parts.router.route(row.service.name, row.key or b"")
        if not isinstance(route, SlotRoute):
            return None
        return route if route.backend_server == permit.backend_server else None

    def _order(self, row: RequestRow, attempt: Attempt) -> Order:
        timeout_s = max(row.deadline_s - self._ctx.now_s, ORDER_TIMEOUT_MIN_S)
        expires_unix_s = row.expires_unix_s
        if attempt.route is not None:
            expires_unix_s = min(expires_unix_s, attempt.route.expires_unix_s)
        req = row.req
        name = f"{self._name}-{attempt.attempt_id:x}"
        return Order(
            attempt_id=attempt.attempt_id,
            request_id=req.request_id,
            backend_server=attempt.permit.backend_server,
            method=req.method,
            target=f"{req.path}?{req.query}" if req.query else req.path,
            headers=order_headers(row, name, timeout_s, expires_unix_s, attempt.route),
            body=req.body,
            expires_unix_s=expires_unix_s,
            timeout_s=timeout_s,
            may_connect=attempt.permit.may_connect,
        )

    def _record(self, row: RequestRow, attempt: Attempt, result: AttemptResult) -> None:
        server = attempt.permit.backend_server
        count(self._counters.attempts, result.outcome.value)
        if attempt.suspect:
            self._count_suspect(server, -1)
        if attempt.route is not None:
            may_run = result.outcome in MAY_STILL_RUN_OUTCOMES
            self._parts.router.order_ended(attempt.attempt_id, may_run)
        if result.start_id:
            self._start_ids[server] = result.start_id
        self._parts.permits.release(
            attempt.permit,
            connection_open=result.connection_open,
            start_id=result.start_id,
            still_runs_s=RUNS_ON_S.get(result.outcome, 0.0),
        )
        self._parts.balancer.record(server, result.outcome, result.latency_s)
        retries = self._parts.retries
        if attempt.hedge:
            retries.hedge_ended(row.service.name, result.latency_s)
        elif row.attempts_made == 1 or row.hedged:
            retries.record(row.service.name, result.outcome, result.latency_s)
        if result.outcome in UNREACHABLE_OUTCOMES:
            self._parts.router.report_unreachable(server)

    def _answered(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        self.cancel_all(row)
        headers = tuple(HeaderField(name, value) for name, value in result.headers)
        answer = StoredAnswer(result.status, headers, result.body)
        self._pipeline.finish(row, Outcome.ANSWERED, answer)
        if row.suspect and row.fingerprint is not None:
            self._parts.guard.ran_whole(row.fingerprint)
        self._ctx.emit(AnswerRequest(row.req.request_id, attempt.attempt_id))

    def _failed(self, row: RequestRow, attempt: Attempt, result: AttemptResult) -> None:
        if row.attempts:
            return  # a hedge is still running
        self._retry_or_refuse(row, result.outcome)

    def _lost(self, row: RequestRow, attempt: Attempt, result: AttemptResult) -> None:
        """Find out whether the backend server crashed before anything else is done."""
        row.state = RequestState.JUDGING
        self._ctx.call_backend(
            attempt.permit.backend_server,
            Probe(),
            lambda probed: self._judge(row, attempt, probed),
        )

    def _judge(self, row: RequestRow, attempt: Attempt, probed: BackendResult) -> None:
        server = attempt.permit.backend_server
        if probed.is_ok() and isinstance(probed.ok, Health):
            health = probed.ok
            self._start_ids[server] = health.start_id
            self._parts.balancer.report_load(server, health.load)
            self._parts.permits.start_id_seen(server, health.start_id, health.uptime_s)
        if not self._crashed(attempt, probed):
            self._after_loss(row)
            return
        if row.fingerprint is None:
            row.fingerprint = request_fingerprint(row.organisation, row.req)
        self._parts.guard.report_crash(
            row.fingerprint, server, attempt.start_id, lambda: self._after_loss(row)
        )

    def _crashed(self, attempt: Attempt, probed: BackendResult) -> bool:
        if not probed.is_ok():
            # A server that does not answer may be cut off or stalled.
            return probed.error.kind is BackendErrorKind.UNREACHABLE
        if not isinstance(probed.ok, Health):
            return False
        if attempt.start_id:
            return probed.ok.start_id != attempt.start_id
        return probed.ok.uptime_s < self._ctx.now_s - attempt.started_s

    def _after_loss(self, row: RequestRow) -> None:
        if not self._pipeline.current(row) or row.attempts:
            return
        if row.state is not RequestState.JUDGING:
            return  # a hedge has failed meanwhile and the request was queued again
        if self._pipeline.crash_verdict(row) is CrashVerdict.BLOCKED:
            self._pipeline.refuse(row, CRASHES_SERVERS_MAY_HAVE_RUN)
            return
        self._retry_or_refuse(row, AttemptOutcome.LOST)

    def _retry_or_refuse(self, row: RequestRow, outcome: AttemptOutcome) -> None:
        time_left = self._ctx.now_s < row.deadline_s
        # A request that is not idempotent goes to a backend server at most once, so
        # only an attempt that sent nothing may be repeated.
        repeatable = row.route.idempotent or outcome is AttemptOutcome.CONNECT_FAILED
        if (
            time_left
            and repeatable
            and self._parts.retries.may_retry(
                row.service.name,
                row.route,
                row.attempt_header,
                outcome,
                row.attempts_made,
            )
        ):
            self._counters.retries += 1
            row.state = RequestState.QUEUED
            delay_s = self._parts.retries.backoff_s(row.attempts_made)
            self._ctx.timers.call_later(delay_s, lambda: self._repeat(row))
            return
        refusal = REFUSAL_BY_OUTCOME[outcome]
        if refusal.ran is Ran.NO and row.may_have_run:
            refusal = attrs.evolve(refusal, ran=Ran.UNKNOWN)
        self._pipeline.refuse(row, refusal)

    def _repeat(self, row: RequestRow) -> None:
        if self._pipeline.current(row):
            self._pipeline.requeue(row)

    def _arm_hedge(self, row: RequestRow) -> None:
        if not row.route.idempotent or row.service.keyed or row.attempt_header:
            return
        delay_s = self._parts.retries.hedge_delay_s(row.service.name)
        if delay_s is not None:
            row.hedge_timer = self._ctx.timers.call_later(
                delay_s, lambda: self._hedge(row)
            )

    def _hedge(self, row: RequestRow) -> None:
        """Send a second attempt to another server that has an idle permit here."""
        if not self._pipeline.current(row) or len(row.attempts) != 1 or row.suspect:
            return
        server = self._parts.balancer.choose(row.service.name, row.tried)
        if server is None or self._parts.permits.idle(server) == 0:
            return
        if not self._parts.retries.take_hedge(row.service.name):
            return
        row.hedged = True
        self._parts.permits.acquire(
            server,
            row.req.request_id,
            row.organisation,
            self._ctx.now_s,
            lambda result: self._hedge_permitted(row, result),
        )

    def _hedge_permitted(self, row: RequestRow, result: object) -> None:
        if isinstance(result, Permit):
            self._counters.hedges += 1
            self.start(row, result, hedge=True)
        else:
            self._parts.retries.hedge_ended(row.service.name, 0.0)
