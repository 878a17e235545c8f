"""Takes each request through checks, rate limit, claim, placement and attempts."""

from collections.abc import Callable

import attrs

from ..claims.claims import Claims
from ..claims.models import (
    ClaimKey,
    ClaimResult,
    Verdict,
    compute_request_digest,
    parse_uuid7_time_ms,
)
from ..configuration.models import ConfigurationStatus
from ..core.context import Context
from ..core.events import AttemptEnded, CallerLeft, RequestArrived
from ..core.host import ComponentHost
from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import AttemptOutcome, AttemptResult
from ..crash_guard.guard import CrashGuard
from ..crash_guard.models import compute_request_fingerprint
from ..declaration.models import Configuration
from ..placement.component import Placement
from ..placement.models import NoServerAvailable, PlacementQuery, ServerAssignment
from ..servers.choice import ServerChoice
from ..servers.notices import ServerNotices
from ..servers.table import ServerTable
from .attempts import (
    IDEMPOTENT_RETRY_OUTCOMES,
    NOT_RUN_OUTCOMES,
    AttemptRunner,
    ResultObserver,
)
from .checks import ArrivalChecks
from .const import (
    DEFERRED_RETRY_MIN_S,
    KEY_WAIT_TARGET_RATIO,
    MISDIRECTED_RETRY_DELAY_S,
    TIME_LEFT_MIN_S,
    TOKEN_WAIT_TARGET_RATIO,
)
from .hedging import NOT_SENT, Hedging, HedgingParts
from .interfaces import KeyRouter, RateLimitResult, RateLimits, RetryBudget
from .models import (
    Attempt,
    RequestCounters,
    RequestRow,
    RequestState,
    increment_counter,
)
from .open_requests import OpenRequests, OpenRequestsParts
from .queries import build_placement_query
from .refusals import (
    CRASHES_SERVERS,
    RATE_LIMITED_MESSAGE,
    REFUSAL_BY_VERDICT,
    build_outcome_refusal,
    build_unplaced_refusal,
)
from .request_log import RequestLog
from .stopping import PlannedStop
from .waiting import WaitingRequests


@attrs.frozen
class PipelineParts:
    """The components that requests pass through."""

    ctx: Context
    checks: ArrivalChecks
    rate_limits: RateLimits
    key_router: KeyRouter
    servers: ServerTable
    server_choice: ServerChoice
    notices: ServerNotices
    retry_budget: RetryBudget
    placement: Placement
    crash_guard: CrashGuard
    claims: Claims
    list_instances: Callable[[], tuple[str, ...]]
    get_configuration_status: Callable[[], ConfigurationStatus | None]
    observe_result: ResultObserver


class Pipeline:
    """Moves each open request of this instance to its next step."""

    def __init__(self, parts: PipelineParts) -> None:
        self.counters = RequestCounters()
        self._parts = parts
        self._ctx = parts.ctx
        self._log = RequestLog(parts.ctx, parts.checks, parts.get_configuration_status)
        self._waiting = WaitingRequests(parts.ctx, self._request_placement)
        self._attempts = AttemptRunner(
            parts.ctx,
            parts.servers,
            parts.server_choice,
            self.counters,
            parts.notices,
            parts.list_instances,
        )
        self._attempts.on_attempt_ended = self._handle_attempt_result
        self._attempts.observe_result = parts.observe_result
        self._open_requests = OpenRequests(
            OpenRequestsParts(
                parts.ctx,
                parts.placement,
                parts.claims,
                self._attempts,
                self._waiting,
                self.counters,
                self._log,
            )
        )
        self._stop = PlannedStop(
            parts.ctx, self._open_requests.is_open, self._open_requests.refuse_request
        )
        self._hedging = Hedging(
            HedgingParts(
                parts.ctx,
                parts.retry_budget,
                parts.placement,
                self._attempts,
                self.counters,
                self._log,
                self._may_be_sent,
                self._build_placement_query,
            )
        )

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of events."""
        host.register_event_handler(RequestArrived, self._handle_arrival)
        host.register_event_handler(AttemptEnded, self._attempts.handle_attempt_ended)
        host.register_event_handler(CallerLeft, self._open_requests.handle_caller_left)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._parts.checks.configure(configuration)

    def set_stop_time(self, stops_at_s: float) -> None:
        """End all requests by this monotonic time."""
        self._stop.begin(stops_at_s, self._open_requests.list_rows())

    def count_open_requests(self) -> int:
        """Return the number of requests without an answer."""
        return self._open_requests.count()

    # Arrival

    def _handle_arrival(self, event: RequestArrived) -> None:
        req = event.request
        row = self._parts.checks.check_request(req)
        if isinstance(row, Refusal):
            self._log.log_failed_checks(req, row)
            self._open_requests.emit_refusal(req.request_id, row)
            return
        self._open_requests.add(row)
        increment_counter(self.counters.requests, row.service.name)
        self._parts.retry_budget.count_request(row.service.name)
        if self._stop.refuse_if_late(row) or self._refuse_if_blocked(row):
            return
        if row.tenant is None:
            self._claim_or_place(row)
        else:
            self._take_token(row)

    def _take_token(self, row: RequestRow) -> None:
        if self._open_requests.is_open(row):
            waited_s = self._ctx.now_s - row.arrived_s
            self._parts.rate_limits.take_token(
                row.organisation,
                lambda result: self._handle_token_result(row, result),
                row.route.target_s * TOKEN_WAIT_TARGET_RATIO - waited_s,
            )

    def _refuse_if_blocked(self, row: RequestRow) -> bool:
        """Refuse a request that crashes backend servers; return whether it is one."""
        guard = self._parts.crash_guard
        if not guard.has_suspects():
            return False
        if guard.is_blocked(self._get_fingerprint(row)):
            self._open_requests.refuse_request(row, CRASHES_SERVERS)
            return True
        return False

    def _get_fingerprint(self, row: RequestRow) -> int:
        if row.fingerprint is None:
            row.fingerprint = compute_request_fingerprint(row.organisation, row.req)
        return row.fingerprint

    def _handle_token_result(self, row: RequestRow, result: RateLimitResult) -> None:
        if not self._open_requests.is_open(row):
            return
        if result.admitted:
            self._claim_or_place(row)
            return
        delay_s = max(result.retry_after_s, DEFERRED_RETRY_MIN_S)
        if row.route.deferrable and self._ctx.now_s + delay_s < row.deadline_s:
            self._ctx.timers.call_later(delay_s, lambda: self._take_token(row))
            return
        row.decided_by = result.decided_by
        refusal = Refusal(
            RefusalCode.RATE_LIMITED,
            RATE_LIMITED_MESSAGE,
            retry_after_s=result.retry_after_s,
        )
        self._open_requests.refuse_request(row, refusal)

    def _claim_or_place(self, row: RequestRow) -> None:
        if row.idempotency_key is None:
            self._request_placement(row)
            return
        row.state = RequestState.CLAIMING
        row.claim_id = self._parts.claims.create_claim(
            ClaimKey(row.organisation, row.service.name, row.idempotency_key),
            compute_request_digest(row.req),
            parse_uuid7_time_ms(row.idempotency_key) or 0,
            lambda result: self._handle_claim_result(row, result),
        )

    def _handle_claim_result(self, row: RequestRow, result: ClaimResult) -> None:
        if not self._open_requests.is_open(row):
            return
        if result.verdict is Verdict.NEW:
            self._request_placement(row)
            return
        row.claim_id = 0
        if result.answer is not None:
            self._open_requests.replay_answer(row, result.answer)
            return
        self._open_requests.refuse_request(row, REFUSAL_BY_VERDICT[result.verdict])

    # Placement

    def _request_placement(self, row: RequestRow) -> None:
        """Ask for a backend server, unless the request may no longer be sent."""
        if not self._parts.checks.is_tenant_valid(row):
            self._authenticate_again(row)
            return
        if row.deadline_s - self._ctx.now_s < TIME_LEFT_MIN_S:
            self._open_requests.handle_deadline(row)
            return
        if self._stop.refuse_if_late(row):
            return
        row.state = RequestState.PLACING
        row.placement_id = 0
        row.placement_id = self._parts.placement.find_server(
            self._build_placement_query(row),
            lambda result: self._handle_placement_result(row, result),
        )

    def _handle_placement_result(
        self, row: RequestRow, result: ServerAssignment | NoServerAvailable
    ) -> None:
        row.placement_id = 0
        if isinstance(result, ServerAssignment):
            self._send_or_return(row, result)
            return
        if not self._open_requests.is_open(row):
            return
        if result.may_wait and not self._has_waited_too_long(row, result):
            self._log.log_wait(row)
            self._waiting.add(row)
            return
        row.decided_by = result.decided_by
        row.wait_reason = (
            RefusalCode.KEY_MOVING
            if result.key_moving
            else RefusalCode.NO_BACKEND_SERVER
        )
        refusal = build_unplaced_refusal(
            row.wait_reason, result.retry_after_s, self._ctx.rng
        )
        self._open_requests.refuse_request(row, refusal)

    def _send_or_return(self, row: RequestRow, assignment: ServerAssignment) -> None:
        """Send a request to its server, or return the server's slot."""
        if self._may_be_sent(row):
            self._attempts.start_attempt(row, assignment)
            self._hedging.schedule_hedge(row)
            return
        self._parts.placement.report_end(row.service.name, assignment, NOT_SENT)
        self._place_if_open(row)

    def _may_be_sent(self, row: RequestRow) -> bool:
        is_open = self._open_requests.is_open(row)
        return is_open and self._parts.checks.is_tenant_valid(row)

    def _authenticate_again(self, row: RequestRow) -> None:
        """Admit a request for the organisation that has its key now, if there is one.

        The token and the claim of the former organisation do not count for it.
        """
        former_organisation = row.organisation
        refusal = self._parts.checks.authenticate_again(row)
        if refusal is not None:
            self._open_requests.refuse_request(row, refusal)
            return
        if row.organisation == former_organisation:
            self._request_placement(row)
            return
        self._log.log_moved_key(row, former_organisation)
        self._open_requests.end_claim(row)
        if not self._refuse_if_blocked(row):
            self._take_token(row)

    def _build_placement_query(
        self, row: RequestRow, extra: bool = False
    ) -> PlacementQuery:
        return build_placement_query(row, self._ctx.now_s, extra)

    def _has_waited_too_long(self, row: RequestRow, result: NoServerAvailable) -> bool:
        waited_s = self._ctx.now_s - row.arrived_s
        waited_long = waited_s >= row.route.target_s * KEY_WAIT_TARGET_RATIO
        return waited_long and not result.pause_left_s

    # Attempts

    def _handle_attempt_result(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        outcome = result.outcome
        self._report_attempt_result(row, attempt, result)
        if not self._open_requests.is_open(row):
            return
        if outcome is AttemptOutcome.CANCELLED:
            self._open_requests.handle_cancelled_attempt(row)
        elif outcome is AttemptOutcome.ANSWERED:
            self._open_requests.answer_request(row, attempt, result)
        elif row.attempts or self._refuse_if_blocked(row):
            return  # another attempt still runs, or the request was refused
        elif self._may_retry(row, outcome):
            self._retry_request(row, outcome)
        elif outcome is AttemptOutcome.FAILED:
            self._open_requests.answer_request(row, attempt, result)
        else:
            owner = attempt.assignment.server.name if row.service.keyed else ""
            choice = self._parts.server_choice
            pause_left_s = choice.get_pause_left_s(row.service.name, owner)
            refusal = build_outcome_refusal(outcome, pause_left_s, self._ctx.rng)
            self._open_requests.refuse_request(row, refusal)

    def _report_attempt_result(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Tell the other components how an attempt ended."""
        parts, service = self._parts, row.service
        self._log.log_unusual_responses(row, attempt, result)
        parts.placement.report_end(service.name, attempt.assignment, result)
        if result.outcome is AttemptOutcome.ANSWERED:
            parts.retry_budget.record_latency(service.name, result.latency_s)
            if parts.crash_guard.has_suspects():
                parts.crash_guard.record_answer(self._get_fingerprint(row))
        elif result.outcome is AttemptOutcome.LOST:
            parts.crash_guard.record_connection_loss(
                self._get_fingerprint(row), attempt.assignment.server
            )
        elif result.outcome is AttemptOutcome.MISDIRECTED and service.keyed:
            assert row.key_position is not None
            parts.key_router.report_misdirection(
                service.name, row.key_position, attempt.assignment.server.name
            )

    def _retry_request(self, row: RequestRow, outcome: AttemptOutcome) -> None:
        self.counters.retries += 1
        self._log.log_retry(row, outcome.value)
        if outcome is AttemptOutcome.MISDIRECTED and row.service.keyed:
            # The key will soon be granted to this server, or the routes will name
            # another owner; an immediate retry would fail again.
            row.state = RequestState.WAITING
            self._ctx.timers.call_later(
                MISDIRECTED_RETRY_DELAY_S, lambda: self._place_if_open(row)
            )
            return
        self._request_placement(row)

    def _place_if_open(self, row: RequestRow) -> None:
        if self._open_requests.is_open(row):
            self._request_placement(row)

    def _may_retry(self, row: RequestRow, outcome: AttemptOutcome) -> bool:
        if row.pending_refusal is not None:
            return False
        not_run = outcome in NOT_RUN_OUTCOMES
        if not not_run:
            if not row.route.idempotent or outcome not in IDEMPOTENT_RETRY_OUTCOMES:
                return False
            if row.possible_runs >= row.route.attempts_max:
                return False
        if row.possible_runs and not row.route.idempotent:
            return False
        if row.deadline_s - self._ctx.now_s < TIME_LEFT_MIN_S or row.req.attempt_number:
            return False
        return self._parts.retry_budget.take_attempt(row.service.name)
