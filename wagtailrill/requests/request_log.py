"""Log lines about requests, with the inputs of each decision."""

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..core.orders import CallerRequest
from ..core.refusals import Ran, Refusal, RefusalCode
from ..declaration.models import Configuration
from ..placement.models import ServerAssignment
from .checks import ArrivalChecks
from .models import Attempt, RequestRow

Fields = dict[str, str | int | float]


@attrs.frozen
class RequestLog:
    """Writes one line for each decision that touches a request."""

    ctx: Context
    checks: ArrivalChecks

    def turned_away(self, req: CallerRequest, refusal: Refusal) -> None:
        """Tell that a request was refused by the checks of its arrival."""
        self.ctx.log(
            LogName.REQUEST_REFUSED,
            request_id=req.caller_id,
            **_outcome(refusal),
            configuration=self._revision(),
            host=req.host,
            path=req.path[:200],
        )

    def refused(self, row: RequestRow, refusal: Refusal) -> None:
        """Tell how a request ended without an answer, and why."""
        fields = self._fields(row) | {"decided_by": row.decided_by}
        if refusal.code is RefusalCode.RATE_LIMITED:
            fields |= self._rate(row)
        self.ctx.log(
            LogName.REQUEST_REFUSED
            if refusal.ran is Ran.NO
            else LogName.REQUEST_FAILED,
            **fields,
            **_outcome(refusal),
        )

    def answered(self, row: RequestRow, attempt: Attempt, status: int) -> None:
        """Tell which server has answered a request."""
        name = (
            LogName.REQUEST_ANSWERED
            if row.attempts_made == 1
            else LogName.REQUEST_ANSWERED_LATER
        )
        server = attempt.placed.server.name
        self.ctx.log(name, **self._fields(row), backend_server=server, status=status)

    def repeated(self, row: RequestRow, outcome: str) -> None:
        """Tell that a request goes to another server."""
        self.ctx.log(LogName.REQUEST_RETRIED, **self._fields(row), outcome=outcome)

    def hedged(self, row: RequestRow, placed: ServerAssignment) -> None:
        """Tell that a second server is asked while the first has not answered."""
        server = placed.server.name
        self.ctx.log(LogName.REQUEST_HEDGED, **self._fields(row), backend_server=server)

    def waits(self, row: RequestRow) -> None:
        """Tell, once, that a request waits because its key has no owner."""
        if not row.has_waited:
            row.has_waited = True
            self.ctx.log(LogName.REQUEST_WAITS, **self._fields(row))

    def caller_left(self, row: RequestRow) -> None:
        """Tell that a caller has closed its connection."""
        self.ctx.log(LogName.CALLER_LEFT, **self._fields(row))

    def _fields(self, row: RequestRow) -> Fields:
        now_s = self.ctx.now_s
        fields: Fields = {
            "request_id": row.req.caller_id,
            "service": row.service.name,
            "route": row.route.name,
            "organisation": row.organisation,
            "waited_s": round(now_s - row.arrived_s, 3),
            "left_s": round(row.deadline_s - now_s, 3),
            "configuration": self._revision(),
            "attempts": " ".join(map(_attempt, row.past)),
        }
        if row.key_position is not None:
            fields["key_position"] = row.key_position
        return fields

    def _rate(self, row: RequestRow) -> Fields:
        configuration = self.checks.configuration
        assert configuration is not None
        organisation = configuration.organisations.get(row.organisation)
        if organisation is None:
            return {}
        return {"rate_per_s": organisation.rate_per_s, "burst": organisation.burst}

    def _revision(self) -> int:
        configuration: Configuration | None = self.checks.configuration
        return configuration.version if configuration is not None else 0


def _outcome(refusal: Refusal) -> Fields:
    fields: Fields = {
        "code": refusal.code.value,
        "status": refusal.status,
        "ran": refusal.ran.value,
    }
    if refusal.retry_after_s is not None:
        fields["retry_after_s"] = round(refusal.retry_after_s, 3)
    return fields


def _attempt(attempt: Attempt) -> str:
    """Return server, outcome, seconds and the instance that chose the server."""
    outcome = attempt.outcome.value if attempt.outcome is not None else "running"
    placed_by = attempt.placed.placement_ref.dispatcher or "own_choice"
    name = attempt.placed.server.name
    return f"{name}:{outcome}:{attempt.latency_s:.3f}:{placed_by}"
