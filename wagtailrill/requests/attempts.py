"""Attempts at requests: orders to backend servers and their ends."""

import itertools
from collections.abc import Callable

from ..core.commands import CancelAttempt, SendOrder
from ..core.context import Context
from ..core.events import AttemptEnded
from ..core.orders import AttemptOutcome, AttemptResult, Order
from ..placement.models import ServerAssignment
from ..servers.choice import ServerChoice
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .models import Attempt, RequestCounters, RequestRow, RequestState, count

OnEnded = Callable[[RequestRow, Attempt, AttemptResult], None]

# Part of a server's connections that is divided among the instances.
CONNECTIONS_PART = 0.9
ORDER_TIMEOUT_MIN_S = 0.001
NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.SHED,
        AttemptOutcome.FENCED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.CONNECT_FAILED,
    }
)
# After these the server may have started again without notice.
DOUBTFUL_OUTCOMES = frozenset({AttemptOutcome.LOST, AttemptOutcome.CONNECT_FAILED})


class AttemptRunner:
    """Table of running attempts; tells `on_ended` what became of each."""

    def __init__(
        self,
        ctx: Context,
        servers: ServerTable,
        choice: ServerChoice,
        counters: RequestCounters,
        instances: Callable[[], tuple[str, ...]],
    ) -> None:
        self.on_ended: OnEnded = lambda row, attempt, result: None
        self._ctx = ctx
        self._servers = servers
        self._choice = choice
        self._counters = counters
        self._instances = instances
        self._attempt_ids = itertools.count(1)
        self._by_id: dict[int, tuple[RequestRow, Attempt]] = {}

    def start(
        self, row: RequestRow, placed: ServerAssignment, hedge: bool = False
    ) -> None:
        """Send a request to the backend server that was chosen for it."""
        self._ctx.invariants.check(
            row.route.idempotent or not row.may_have_run,
            "non_idempotent_sent_once",
            f"request {row.req.request_id}",
        )
        attempt = Attempt(next(self._attempt_ids), placed, self._ctx.now_s, hedge)
        row.state = RequestState.RUNNING
        row.attempts[attempt.attempt_id] = attempt
        row.past.append(attempt)
        row.tried |= {placed.server.name}
        self._by_id[attempt.attempt_id] = (row, attempt)
        self._choice.sent(placed.server)
        self._ctx.emit(SendOrder(self._order(row, attempt)))

    def cancel_all(self, row: RequestRow) -> None:
        """Abandon the attempts that are still running."""
        for attempt_id in row.attempts:
            self._ctx.emit(CancelAttempt(attempt_id))

    def running(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self._by_id)

    def ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        result = event.result
        row, attempt = self._by_id.pop(result.attempt_id)
        row.attempts.pop(result.attempt_id, None)
        count(self._counters.attempts, result.outcome.value)
        attempt.outcome, attempt.latency_s = result.outcome, result.latency_s
        if result.outcome not in NOT_RUN_OUTCOMES:
            row.runs += 1
        if result.outcome in DOUBTFUL_OUTCOMES:
            self._servers.doubt_warmth(attempt.placed.server, result.outcome.value)
        elif result.outcome is AttemptOutcome.ANSWERED:
            self._servers.answered(attempt.placed.server, attempt.started_s)
        self._choice.ended(attempt.placed.server, result)
        self.on_ended(row, attempt, result)

    def _connections_max(self, server: ServerRow) -> int:
        """Return this instance's part of the connections that a server takes."""
        everyone = self._servers.connections_max(server)
        if not everyone:
            return 0
        return max(1, int(everyone * CONNECTIONS_PART / len(self._instances())))

    def _order(self, row: RequestRow, attempt: Attempt) -> Order:
        req = row.req
        time_left_s = row.deadline_s - self._ctx.now_s
        if req.time_left_s is not None:
            # The server may use what the caller still waits, not only the time in
            # which this instance wants an answer.
            time_left_s = row.arrived_s + req.time_left_s - self._ctx.now_s
        return Order(
            attempt_id=attempt.attempt_id,
            request_id=req.request_id,
            backend_server=attempt.placed.server.name,
            method=req.method,
            target=f"{req.path}?{req.query}" if req.query else req.path,
            headers=row.headers,
            body=req.body,
            expires_unix_s=self._ctx.wall_s + time_left_s,
            timeout_s=max(time_left_s, ORDER_TIMEOUT_MIN_S),
            caller_id=req.caller_id,
            organisation=row.organisation,
            connections_max=self._connections_max(attempt.placed.server),
            key_position=row.key_position,
            attempt=req.attempt + row.attempts_made - 1,
        )
