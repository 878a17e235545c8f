"""Sends attempts at requests to backend servers and handles their results."""

import itertools
from collections.abc import Callable

from ..core.commands import CancelAttempt, SendBackendRequest
from ..core.context import Context
from ..core.events import AttemptEnded
from ..core.request_models import (
    NO_NOTICE,
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
)
from ..placement.models import ServerAssignment
from ..servers.choice import ServerChoice
from ..servers.models import ServerRow
from ..servers.notices import ServerNotices
from ..servers.table import ServerTable
from .models import (
    Attempt,
    RequestCounters,
    RequestRow,
    RequestState,
    increment_counter,
)
from .queries import build_traits

OnAttemptEnded = Callable[[RequestRow, Attempt, AttemptResult], None]
# Receives service, route, server and result of an attempt.
ResultObserver = Callable[[str, str, ServerRow, AttemptResult], None]

# Part of a server's connection limit that the instances divide among themselves.
DIVIDED_CONNECTIONS_RATIO = 0.9
BACKEND_REQUEST_TIMEOUT_MIN_S = 0.001
NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.SHED,
        AttemptOutcome.FENCED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.CONNECT_FAILED,
    }
)
# After these outcomes an attempt may be retried if the request is idempotent.
IDEMPOTENT_RETRY_OUTCOMES = frozenset(
    {AttemptOutcome.LOST, AttemptOutcome.BAD_ANSWER, AttemptOutcome.FAILED}
)
# After these the server's process may have restarted without notice.
POSSIBLE_RESTART_OUTCOMES = frozenset(
    {AttemptOutcome.LOST, AttemptOutcome.CONNECT_FAILED}
)


class AttemptRunner:
    """Table of running attempts; calls `on_attempt_ended` with the result of each."""

    def __init__(
        self,
        ctx: Context,
        servers: ServerTable,
        server_choice: ServerChoice,
        counters: RequestCounters,
        notices: ServerNotices,
        list_instances: Callable[[], tuple[str, ...]],
    ) -> None:
        self.on_attempt_ended: OnAttemptEnded = lambda row, attempt, result: None
        self.observe_result: ResultObserver = lambda service, route, server, result: (
            None
        )
        self._ctx = ctx
        self._servers = servers
        self._server_choice = server_choice
        self._counters = counters
        self._notices = notices
        self._list_instances = list_instances
        self._attempt_ids = itertools.count(1)
        self._running_by_id: dict[int, tuple[RequestRow, Attempt]] = {}

    def start_attempt(
        self, row: RequestRow, assignment: ServerAssignment, is_hedge: bool = False
    ) -> None:
        """Send a request to the backend server that was chosen for it."""
        self._ctx.invariants.check(
            row.route.idempotent or not row.may_have_run,
            "non_idempotent_sent_once",
            f"request {row.req.request_id}",
        )
        attempt = Attempt(
            next(self._attempt_ids), assignment, self._ctx.now_s, is_hedge
        )
        row.state = RequestState.RUNNING
        row.attempts[attempt.attempt_id] = attempt
        row.attempt_history.append(attempt)
        row.tried_servers |= {assignment.server.name}
        self._running_by_id[attempt.attempt_id] = (row, attempt)
        self._server_choice.record_send(assignment.server)
        self._ctx.emit_command(
            SendBackendRequest(self._build_backend_request(row, attempt))
        )

    def cancel_attempts(self, row: RequestRow) -> None:
        """Cancel the attempts at a request that are still running."""
        for attempt_id in row.attempts:
            self._ctx.emit_command(CancelAttempt(attempt_id))

    def count_running(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self._running_by_id)

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        result = event.result
        row, attempt = self._running_by_id.pop(result.attempt_id)
        row.attempts.pop(result.attempt_id, None)
        increment_counter(self._counters.attempts, result.outcome.value)
        attempt.outcome, attempt.latency_s = result.outcome, result.latency_s
        if result.sent and result.outcome not in NOT_RUN_OUTCOMES:
            row.possible_runs += 1
        if result.outcome in POSSIBLE_RESTART_OUTCOMES:
            self._servers.doubt_warmth(attempt.assignment.server, result.outcome.value)
        elif result.outcome is AttemptOutcome.ANSWERED:
            self._servers.confirm_warmth(attempt.assignment.server, attempt.started_s)
        self._server_choice.record_result(
            attempt.assignment.server, result, build_traits(row)
        )
        if result.notice is not NO_NOTICE:
            self._notices.record_notice(attempt.assignment.server, result.notice)
        self.observe_result(
            row.service.name, row.route.name, attempt.assignment.server, result
        )
        self.on_attempt_ended(row, attempt, result)

    def _get_connection_limit(self, server: ServerRow) -> int:
        """Return this instance's part of the connections that a server accepts."""
        server_limit = self._servers.get_connections_max(server)
        if not server_limit:
            return 0
        return max(
            1,
            int(server_limit * DIVIDED_CONNECTIONS_RATIO / len(self._list_instances())),
        )

    def _build_backend_request(
        self, row: RequestRow, attempt: Attempt
    ) -> BackendRequest:
        req = row.req
        time_left_s = row.deadline_s - self._ctx.now_s
        if req.time_left_s is not None:
            # The server may use all the time that the caller still waits, even if this
            # instance needs the answer sooner.
            time_left_s = row.arrived_s + req.time_left_s - self._ctx.now_s
        return BackendRequest(
            attempt_id=attempt.attempt_id,
            request_id=req.request_id,
            backend_server=attempt.assignment.server.name,
            method=req.method,
            target=req.target,
            headers=row.headers,
            body=req.body,
            expires_unix_s=self._ctx.wall_s + time_left_s,
            timeout_s=max(time_left_s, BACKEND_REQUEST_TIMEOUT_MIN_S),
            caller_request_id=req.caller_request_id,
            organisation=row.organisation,
            connections_max=self._get_connection_limit(attempt.assignment.server),
            key_position=row.key_position,
            attempt_number=req.attempt_number + row.attempts_made - 1,
        )
