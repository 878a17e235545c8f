"""The way of a request from its arrival to its answer."""

import attrs

from ..admission.models import Item, QueueSettings
from ..core.commands import RefuseRequest, ReplayAnswer
from ..core.context import Context
from ..core.events import AttemptEnded, CallerLeft, RequestArrived
from ..core.host import ComponentHost
from ..core.refusals import Ran, Refusal, RefusalCode
from ..crash_guard.guard import CrashGuard, request_fingerprint
from ..crash_guard.models import CrashVerdict
from ..declaration.models import Configuration, TenantKeyRule
from ..idempotency.claims import Idempotency
from ..idempotency.keys import issued_ms, request_digest
from ..idempotency.models import ClaimKey, ClaimResult, Outcome, StoredAnswer, Verdict
from ..limits.models import TakeResult
from ..partitions.directory import PartitionDirectory
from ..permits.models import DeniedReason, Permit, PermitResult
from .attempts import AttemptRunner
from .checks import ArrivalChecks, idempotency_key_of
from .interfaces import KeyRouter, PermitPool, RateLimits, Retries, ServerChoice
from .models import PipelineCounters, RequestRow, RequestState, count
from .placement import Placement
from .refusal_texts import (
    CRASHES_SERVERS,
    CRASHES_SERVERS_MAY_HAVE_RUN,
    CUT_OFF,
    DRAINING,
    REFUSAL_BY_VERDICT,
    WITHDRAWN,
)

QUEUE_TICK_S = 0.02
RETRY_AFTER_S = 0.5
ACQUIRE_TIMEOUT_S = 0.05
# Deferrable requests over their organisation's rate ask for a token this often.
DEFERRED_RETRY_S = 1.0


@attrs.frozen
class PipelineParts:
    """The components that the pipeline connects."""

    ctx: Context
    directory: PartitionDirectory
    checks: ArrivalChecks
    limits: RateLimits
    guard: CrashGuard
    claims: Idempotency
    router: KeyRouter
    permits: PermitPool
    balancer: ServerChoice
    retries: Retries
    queues: QueueSettings


class Pipeline:
    """Table of the requests of this instance and the steps that they take."""

    def __init__(self, parts: PipelineParts) -> None:
        self.counters = PipelineCounters()
        self.refuses_new = False
        self._parts = parts
        self._ctx = parts.ctx
        self._rows: dict[int, RequestRow] = {}
        self._attempts = AttemptRunner(parts, self.counters, self)
        self._placement = Placement(
            parts.router, parts.balancer, self._attempts.suspect_on, parts.queues
        )
        self._ticking = False

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of events."""
        host.on_event(RequestArrived, self._arrived)
        host.on_event(AttemptEnded, self._attempts.ended)
        host.on_event(CallerLeft, self._caller_left)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._parts.checks.configure(configuration)
        self._placement.configure(configuration)

    def open_requests(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._rows)

    def queued(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {n: len(q.queue) for n, q in self._placement.queues.items()}

    def refuse(self, row: RequestRow, refusal: Refusal) -> None:
        """Answer a request with an error; attempts that still run are abandoned."""
        if row.attempts:
            row.may_have_run = True
            self._attempts.cancel_all(row)
        if row.may_have_run and refusal.ran is Ran.NO:
            refusal = attrs.evolve(refusal, ran=Ran.UNKNOWN)
        outcome = Outcome.UNKNOWN if row.may_have_run else Outcome.NOT_RUN
        self.finish(row, outcome, None)
        self._emit_refusal(row.req.request_id, refusal)

    def finish(
        self, row: RequestRow, outcome: Outcome, answer: StoredAnswer | None
    ) -> None:
        """Remove a request from the table and end its claim."""
        self._rows.pop(row.req.request_id, None)
        for timer in (row.deadline_timer, row.hedge_timer):
            if timer is not None:
                timer.cancel()
        if row.claim_id is not None:
            self._parts.claims.complete(row.claim_id, outcome, answer)
            row.claim_id = None

    def requeue(self, row: RequestRow) -> None:
        """Find a backend server for a request, now or when one is free."""
        row.state = RequestState.QUEUED
        queue = self._placement.queue_of(row).queue
        if len(queue) == 0 and self._place(row):
            return
        self._wait(row)

    def _wait(self, row: RequestRow) -> None:
        row.state = RequestState.QUEUED
        self._start_ticking()
        refusal = self._placement.push(row)
        if refusal is not None:
            self.refuse(row, refusal)

    def current(self, row: RequestRow) -> bool:
        """Return whether a request still waits for its answer."""
        return self._rows.get(row.req.request_id) is row

    def check_before_order(self, row: RequestRow) -> Refusal | None:
        """Return why a request that has waited may not be sent any more."""
        if not self._parts.directory.has_lease():
            return CUT_OFF
        tenant = row.tenant
        if tenant is not None and not self._parts.checks.keys.still_valid(tenant):
            return WITHDRAWN
        return None

    def pump(self, service: str) -> None:
        """Start waiting requests of a service for which there is room."""
        queue = self._placement.queues[service].queue
        denied: set[int] = set()

        def eligible(item: Item) -> bool:
            return item.request_id not in denied and self._eligible(item)

        while len(queue) > len(denied):
            item = queue.pop(self._ctx.now_s, eligible)
            if item is None:
                return
            row = self._rows[item.request_id]
            if not self._place(row):
                return
            if row.state is RequestState.QUEUED and self.current(row):
                # Denied at once and waiting again; trying it again now would not end.
                denied.add(item.request_id)

    def _arrived(self, event: RequestArrived) -> None:
        req = event.request
        if self.refuses_new:
            self._emit_refusal(req.request_id, DRAINING)
            return
        row = self._parts.checks.check(req)
        if isinstance(row, Refusal):
            self._emit_refusal(req.request_id, row)
            return
        self._rows[req.request_id] = row
        count(self.counters.requests, row.service.name)
        self._parts.retries.on_request(row.service.name)
        row.deadline_timer = self._ctx.timers.call_at(
            row.deadline_s, lambda: self._deadline(row)
        )
        verdict = self.crash_verdict(row)
        if verdict is CrashVerdict.BLOCKED:
            idempotent = row.route.idempotent
            self.refuse(
                row, CRASHES_SERVERS if idempotent else CRASHES_SERVERS_MAY_HAVE_RUN
            )
            return
        if row.route.tenant_key is TenantKeyRule.NONE:
            self._admitted(row)
            return
        self._take_token(row)

    def _take_token(self, row: RequestRow) -> None:
        if self.current(row):
            self._parts.limits.take(
                row.organisation, lambda result: self._limited(row, result)
            )

    def crash_verdict(self, row: RequestRow) -> CrashVerdict:
        """Return whether a request is known to crash backend servers."""
        guard = self._parts.guard
        if not guard.has_suspects():
            return CrashVerdict.CLEAR
        if row.fingerprint is None:
            row.fingerprint = request_fingerprint(row.organisation, row.req)
        verdict = guard.check(row.fingerprint, row.route.idempotent)
        row.suspect = verdict is CrashVerdict.SUSPECT
        return verdict

    def _limited(self, row: RequestRow, result: TakeResult) -> None:
        if not self.current(row):
            return
        if not result.admitted and self._may_wait(row, result):
            delay_s = max(result.retry_after_s, DEFERRED_RETRY_S)
            self._ctx.timers.call_later(delay_s, lambda: self._take_token(row))
            return
        if not result.admitted:
            refusal = Refusal(
                RefusalCode.RATE_LIMITED,
                "The organisation has used its rate and burst.",
                retry_after_s=result.retry_after_s,
            )
            self.refuse(row, refusal)
            return
        self._admitted(row)

    def _may_wait(self, row: RequestRow, result: TakeResult) -> bool:
        """Return whether a deferrable request waits for a token instead of failing."""
        if not row.route.deferrable or len(self._rows) > self._parts.queues.deferrable:
            return False
        delay_s = max(result.retry_after_s, DEFERRED_RETRY_S)
        return self._ctx.now_s + delay_s < row.deadline_s

    def _admitted(self, row: RequestRow) -> None:
        if row.route.idempotent:
            self.requeue(row)
            return
        row.state = RequestState.CLAIMING
        key = idempotency_key_of(row.req)
        claim_key = ClaimKey(row.organisation, row.service.name, key)
        row.claim_id = self._parts.claims.claim(
            claim_key,
            request_digest(row.req),
            issued_ms(key) or 0,
            lambda result: self._claimed(row, result),
        )

    def _claimed(self, row: RequestRow, result: ClaimResult) -> None:
        if not self.current(row):
            return
        if result.verdict is Verdict.NEW:
            self.requeue(row)
            return
        row.claim_id = None
        if result.verdict is Verdict.DONE:
            self.finish(row, Outcome.ANSWERED, None)
            answer = result.answer
            headers = tuple((field.name, field.value) for field in answer.headers)
            replay = ReplayAnswer(
                row.req.request_id, answer.status, headers, answer.body
            )
            self._ctx.emit(replay)
            return
        self.refuse(row, REFUSAL_BY_VERDICT[result.verdict])

    def _eligible(self, item: Item) -> bool:
        row = self._rows.get(item.request_id)
        if row is None:
            return False
        row.target = self._placement.target(row) or ""
        return bool(row.target)

    def _place(self, row: RequestRow) -> bool:
        """Ask for a permit; return whether a backend server was found to ask for."""
        server = row.target or self._placement.target(row)
        row.target = ""
        if not server:
            return False
        row.state = RequestState.ACQUIRING
        row.asked = server
        queue = self._placement.queue_of(row)
        queue.started(server)
        self._parts.permits.acquire(
            server,
            row.req.request_id,
            row.organisation,
            self._acquire_deadline_s(row),
            lambda result: self._permitted(row, server, result),
        )
        return True

    def _permitted(self, row: RequestRow, server: str, result: PermitResult) -> None:
        self._placement.queue_of(row).ended(server)
        row.state = RequestState.QUEUED
        if isinstance(result, Permit):
            self._attempts.start(row, result)
            return
        if not self.current(row):
            return
        if result.reason is DeniedReason.NO_LEASE:
            self.refuse(row, CUT_OFF)
        elif self._ctx.now_s >= row.deadline_s:
            self._deadline(row)
        elif result.reason is DeniedReason.DEADLINE:
            row.tried |= {server}
            self.requeue(row)
        else:
            # The next tick finds another backend server; asking again at once could
            # be denied again without end.
            self._wait(row)

    def _acquire_deadline_s(self, row: RequestRow) -> float:
        """Return until when a request waits for one backend server's permit.

        A request without a key may find another backend server free by then.
        """
        if row.service.keyed:
            return row.deadline_s
        return min(row.deadline_s, self._ctx.now_s + ACQUIRE_TIMEOUT_S)

    def _deadline(self, row: RequestRow) -> None:
        if not self.current(row):
            return
        if row.state in (RequestState.RUNNING, RequestState.JUDGING):
            return  # the attempts have the same deadline
        self._stop_waiting(row)
        if row.may_have_run or row.wait_reason is RefusalCode.NO_BACKEND_SERVER:
            message = "The request was not answered within its deadline."
            self.refuse(row, Refusal(RefusalCode.DEADLINE_EXCEEDED, message))
            return
        message = "No backend server could take the request within its deadline."
        self.refuse(row, Refusal(row.wait_reason, message, retry_after_s=RETRY_AFTER_S))

    def _stop_waiting(self, row: RequestRow) -> None:
        self._placement.queue_of(row).queue.remove(row.req.request_id)
        if row.state is RequestState.ACQUIRING:
            self._parts.permits.cancel(row.req.request_id)
            self._placement.queue_of(row).ended(row.asked)

    def _caller_left(self, event: CallerLeft) -> None:
        row = self._rows.get(event.request_id)
        if row is None:
            return
        self._stop_waiting(row)
        # The answer of a claimed request is kept for the caller's repeat.
        if row.claim_id is not None and row.attempts:
            return
        self._attempts.cancel_all(row)
        outcome = Outcome.UNKNOWN if row.may_have_run else Outcome.NOT_RUN
        self.finish(row, outcome, None)

    def _start_ticking(self) -> None:
        """Tick while requests wait; an idle instance does not wake up for it."""
        if not self._ticking:
            self._ticking = True
            self._ctx.timers.call_later(QUEUE_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        for name, service in self._placement.queues.items():
            if len(service.queue) == 0:
                continue
            for item in service.queue.expire(self._ctx.now_s):
                row = self._rows.get(item.request_id)
                if row is not None:
                    self._deadline(row)
            self.pump(name)
            if len(service.queue):
                self._start_ticking()

    def _emit_refusal(self, request_id: int, refusal: Refusal) -> None:
        count(self.counters.refusals, refusal.code.value)
        self._ctx.emit(RefuseRequest(request_id, refusal))
