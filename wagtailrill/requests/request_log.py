"""Log lines about requests, with what each decision was based on."""

from collections.abc import Callable
from typing import Final

import attrs

from ..configuration.models import ConfigurationStatus
from ..core.context import Context
from ..core.log_events import LogName
from ..core.refusals import MayHaveRun, Refusal, RefusalCode
from ..core.request_models import (
    AttemptOutcome,
    AttemptResult,
    CallerRequest,
    ResponseMarks,
)
from ..placement.models import ServerAssignment
from .checks import ArrivalChecks
from .models import Attempt, RequestRow

LogFields = dict[str, str | int | float]

CLIENT_ERROR_STATUSES: Final = range(400, 500)


@attrs.frozen
class RequestLog:
    """Writes one log line for each decision about a request.

    `get_configuration_status` returns the configuration that decisions are based on,
    None before the first one.
    """

    ctx: Context
    checks: ArrivalChecks
    get_configuration_status: Callable[[], ConfigurationStatus | None]

    def log_failed_checks(self, req: CallerRequest, refusal: Refusal) -> None:
        """Log that a request was refused by the checks on arrival."""
        self.ctx.log(
            LogName.REQUEST_REFUSED,
            request_id=req.caller_request_id,
            **_build_refusal_fields(refusal),
            configuration=self._get_configuration_revision(),
            **self._build_status_fields(refusal),
            host=req.host,
            path=req.path[:200],
        )

    def log_refusal(self, row: RequestRow, refusal: Refusal) -> None:
        """Log that a request ended without an answer, and why."""
        fields = self._build_fields(row) | {"decided_by": row.decided_by}
        if refusal.code is RefusalCode.RATE_LIMITED:
            fields |= self._build_rate_fields(row)
        self.ctx.log(
            LogName.REQUEST_REFUSED
            if refusal.may_have_run is MayHaveRun.NO
            else LogName.REQUEST_FAILED,
            **fields,
            **_build_refusal_fields(refusal),
            **self._build_status_fields(refusal),
        )

    def log_answer(self, row: RequestRow, attempt: Attempt, status: int) -> None:
        """Log which backend server answered a request, and its HTTP status."""
        name = (
            LogName.REQUEST_ANSWERED
            if row.attempts_made == 1
            else LogName.REQUEST_ANSWERED_LATER
        )
        server = attempt.assignment.server.name
        self.ctx.log(
            name, **self._build_fields(row), backend_server=server, status=status
        )

    def log_unusual_responses(
        self, row: RequestRow, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Log an answer that blames the request, and responses that were discarded."""
        marks = result.marks
        if (
            marks is not None
            and marks.is_client_error
            and result.outcome is AttemptOutcome.ANSWERED
        ):
            self._log_response(LogName.BACKEND_CLIENT_ERROR, row, attempt, marks)
        if result.discarded is not None:
            self._log_response(
                LogName.BACKEND_RESPONSE_DISCARDED,
                row,
                attempt,
                result.discarded.first,
                count=result.discarded.count,
                outcome=result.outcome.value,
            )

    def log_retry(self, row: RequestRow, outcome: str) -> None:
        """Log that a request is retried, and the outcome of the attempt before."""
        self.ctx.log(
            LogName.REQUEST_RETRIED, **self._build_fields(row), outcome=outcome
        )

    def log_moved_key(self, row: RequestRow, former_organisation: str) -> None:
        """Log that another organisation has the key of a request since its arrival."""
        self.ctx.log(
            LogName.REQUEST_KEY_MOVED,
            **self._build_fields(row),
            former_organisation=former_organisation,
        )

    def log_hedge(self, row: RequestRow, assignment: ServerAssignment) -> None:
        """Log that a request is also sent to a second server."""
        server = assignment.server.name
        self.ctx.log(
            LogName.REQUEST_HEDGED, **self._build_fields(row), backend_server=server
        )

    def log_wait(self, row: RequestRow) -> None:
        """Log, once for a request, that it waits for a usable owner of its key."""
        if not row.wait_logged:
            row.wait_logged = True
            self.ctx.log(LogName.REQUEST_WAITS, **self._build_fields(row))

    def log_caller_left(self, row: RequestRow) -> None:
        """Log that a caller closed its connection before the answer."""
        self.ctx.log(LogName.CALLER_LEFT, **self._build_fields(row))

    def _log_response(
        self,
        name: LogName,
        row: RequestRow,
        attempt: Attempt,
        marks: ResponseMarks,
        **fields: str | int,
    ) -> None:
        self.ctx.log(
            name,
            **self._build_fields(row),
            backend_server=attempt.assignment.server.name,
            **marks.build_log_fields(),
            **fields,
        )

    def _build_fields(self, row: RequestRow) -> LogFields:
        now_s = self.ctx.now_s
        fields: LogFields = {
            "request_id": row.req.caller_request_id,
            "service": row.service.name,
            "route": row.route.name,
            "organisation": row.organisation,
            "waited_s": round(now_s - row.arrived_s, 3),
            "left_s": round(row.deadline_s - now_s, 3),
            "configuration": self._get_configuration_revision(),
            "attempts": " ".join(map(_format_attempt, row.attempt_history)),
        }
        if row.key_position is not None:
            fields["key_position"] = row.key_position
        if row.attempt_history:
            work_s = row.attempt_history[-1].assignment.expected_work_s
            fields["expected_work_s"] = round(work_s, 3)
        return fields

    def _build_rate_fields(self, row: RequestRow) -> LogFields:
        configuration = self.checks.configuration
        assert configuration is not None
        organisation = configuration.organisations.get(row.organisation)
        if organisation is None:
            return {}
        return {"rate_per_s": organisation.rate_per_s, "burst": organisation.burst}

    def _get_configuration_revision(self) -> int:
        status = self.get_configuration_status()
        return status.revision if status is not None else 0

    def _build_status_fields(self, refusal: Refusal) -> LogFields:
        """Return the version and age of the configuration that a 4xx is based on."""
        status = self.get_configuration_status()
        if status is None or refusal.status not in CLIENT_ERROR_STATUSES:
            return {}
        return {
            "configuration_version": status.version,
            "in_force_s": round(status.in_force_s, 3),
            "configuration_age_s": round(status.age_s, 3),
        }


def _build_refusal_fields(refusal: Refusal) -> LogFields:
    fields: LogFields = {
        "code": refusal.code.value,
        "status": refusal.status,
        "ran": refusal.may_have_run.value,
    }
    if refusal.retry_after_s is not None:
        fields["retry_after_s"] = round(refusal.retry_after_s, 3)
    if refusal.key_failure is not None:
        fields["key_fault"] = refusal.key_failure.fault.value
        fields["key_id"] = refusal.key_failure.key_id
    return fields


def _format_attempt(attempt: Attempt) -> str:
    """Return server, outcome, latency in seconds and the instance that chose it."""
    outcome = attempt.outcome.value if attempt.outcome is not None else "running"
    placed_by = attempt.assignment.placement_ref.dispatcher or "own_choice"
    name = attempt.assignment.server.name
    return f"{name}:{outcome}:{attempt.latency_s:.3f}:{placed_by}"
