"""Explains the outcome of one request from the log lines of all instances.

Used by the command `explain-request`.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from ..core.log_events import LogName
from ..core.refusals import RefusalCode
from .log_lines import LogLine, LogLines

# Lines about the backend servers and the key of a request are included if they were
# written at most this long before its arrival or after its last line.
CONTEXT_BEFORE_S: Final = 5.0
CONTEXT_AFTER_S: Final = 1.0
# Related lines per instance, event and backend server; the last ones are shown.
LINES_PER_KIND_MAX: Final = 2

# Events that change the state of an instance: what it can reach and may do. The last
# one before a request still applies during the request.
STATE_EVENTS: Final = frozenset(
    {
        LogName.CONFIGURATION_APPLIED,
        LogName.DATA_CENTRES_CLOSED,
        LogName.SERVER_LIST_LOST,
        LogName.SERVER_LIST_REGAINED,
        LogName.STORE_WATCH_LOST,
        LogName.STORE_WATCH_REGAINED,
        LogName.STORE_LOST,
        LogName.STORE_REGAINED,
        LogName.MEMBER_LEASE_ENDED,
        LogName.DRAIN_STARTED,
    }
)
# Events that end the state which another event began.
LOST_EVENT_BY_REGAINED: Final = {
    LogName.SERVER_LIST_REGAINED: LogName.SERVER_LIST_LOST,
    LogName.STORE_WATCH_REGAINED: LogName.STORE_WATCH_LOST,
    LogName.STORE_REGAINED: LogName.STORE_LOST,
}
OUTCOME_EVENTS: Final = frozenset(
    {
        LogName.REQUEST_REFUSED,
        LogName.INPUT_REFUSED,
        LogName.REQUEST_FAILED,
        LogName.REQUEST_ANSWERED,
        LogName.REQUEST_ANSWERED_LATER,
    }
)


@attrs.frozen
class RequestExplanation:
    """Log lines about a request in order of time, and the cause of its outcome."""

    request_id: str
    lines: tuple[LogLine, ...]
    cause: str

    def format_lines(self) -> tuple[str, ...]:
        """Return the lines as text, followed by the cause.

        Times are seconds since the first line of the request itself.
        """
        if not self.lines:
            return (self.cause,)
        start_s = next(
            line.at_s
            for line in self.lines
            if line.get_text("request_id") == self.request_id
        )
        return (*(_format_line(line, start_s) for line in self.lines), self.cause)


def make_request_explanation(logs: LogLines, request_id: str) -> RequestExplanation:
    """Select the log lines about a request and derive the cause of its outcome."""
    request_lines = [
        line for line in logs.lines if line.get_text("request_id") == request_id
    ]
    if not request_lines:
        cause = f"No line names the request {request_id}."
        return RequestExplanation(request_id, (), cause)
    arrival_s, last_s = request_lines[0].at_s, request_lines[-1].at_s
    waited_s = max(_get_number(line, "waited_s") for line in request_lines)
    arrival_s = min(arrival_s, last_s - waited_s)
    selected = {id(line): line for line in request_lines}
    candidates = [x for x in logs.lines if x.at_s <= last_s + CONTEXT_AFTER_S]
    for line in (
        *_find_state_lines(candidates, request_lines, arrival_s),
        *_find_related_lines(candidates, request_lines, arrival_s),
    ):
        selected[id(line)] = line
    lines = tuple(sorted(selected.values(), key=lambda line: line.at_s))
    return RequestExplanation(request_id, lines, _describe_cause(request_lines, lines))


def _find_state_lines(
    lines: list[LogLine], request_lines: list[LogLine], arrival_s: float
) -> list[LogLine]:
    """Return the state of the request's instances at its arrival, and later changes."""
    instances = {line.instance for line in request_lines}
    active_lines: dict[tuple[str, str, str], LogLine] = {}
    later_lines: list[LogLine] = []
    for line in lines:
        if line.instance not in instances or line.event not in STATE_EVENTS:
            continue
        if line.at_s >= arrival_s:
            later_lines.append(line)
            continue
        prefix = line.get_text("prefix")
        lost_event = LOST_EVENT_BY_REGAINED.get(LogName(line.event))
        if lost_event is not None:
            active_lines.pop((line.instance, lost_event, prefix), None)
        else:
            active_lines[line.instance, line.event, prefix] = line
    return [*active_lines.values(), *later_lines]


def _find_related_lines(
    lines: list[LogLine], request_lines: list[LogLine], arrival_s: float
) -> list[LogLine]:
    """Return lines of all instances about the request's backend servers and key."""
    servers = _collect_server_names(request_lines)
    keys = {
        (x.get_text("service"), x.fields.get("key_position")) for x in request_lines
    }
    related_lines = [
        line
        for line in lines
        if line.at_s >= arrival_s - CONTEXT_BEFORE_S
        and (
            line.get_text("backend_server") in servers
            or any(
                _covers_position(line, service, position) for service, position in keys
            )
        )
        and not line.get_text("request_id")
    ]
    return _keep_last_lines(related_lines)


def _keep_last_lines(lines: list[LogLine]) -> list[LogLine]:
    """Return the last lines of each instance, event and backend server."""
    last_lines: dict[tuple[str, str, str], deque[LogLine]] = {}
    for line in lines:
        kind = (line.instance, line.event, line.get_text("backend_server"))
        last_lines.setdefault(kind, deque(maxlen=LINES_PER_KIND_MAX)).append(line)
    return [line for kind_lines in last_lines.values() for line in kind_lines]


def _collect_server_names(request_lines: list[LogLine]) -> set[str]:
    """Return the backend servers that the lines name, also in lists of attempts."""
    names = {line.get_text("backend_server") for line in request_lines}
    for line in request_lines:
        for attempt in line.get_text("attempts").split():
            names.add(attempt.partition(":")[0])
    return names - {""}


def _covers_position(line: LogLine, service: str, position: object) -> bool:
    """Return whether a line is about a range of key positions with this position."""
    first, last = line.fields.get("first"), line.fields.get("last")
    if not isinstance(position, int) or line.get_text("service") != service:
        return False
    if not isinstance(first, int) or not isinstance(last, int):
        return False
    return first <= position <= last


def _describe_cause(request_lines: list[LogLine], lines: tuple[LogLine, ...]) -> str:
    outcome = next(
        (line for line in reversed(request_lines) if line.event in OUTCOME_EVENTS), None
    )
    if outcome is None:
        return "Cause: no log line shows how the request ended."
    if not outcome.get_text("code"):
        return f"The request was answered with status {outcome.get_text('status')}."
    describe = CAUSE_DESCRIBERS.get(outcome.get_text("code"))
    reason = (
        describe(outcome, lines) if describe is not None else outcome.get_text("code")
    )
    return f"Cause: {reason}."


def _describe_rate_limit(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    return (
        f"organisation {outcome.get_text('organisation')} was over its rate of "
        f"{outcome.get_text('rate_per_s')}/s "
        f"({outcome.get_text('decided_by')})"
    )


def _describe_no_server(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    if outcome.get_text("attempts"):
        return (
            f"no backend server of {outcome.get_text('service')} ran it "
            f"(attempts: {outcome.get_text('attempts')})"
        )
    return (
        f"{outcome.get_text('decided_by')} expected no free slot of "
        f"{outcome.get_text('service')} in time; "
        f"retry after {outcome.get_text('retry_after_s')} s"
    )


def _describe_key_move(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    move_lines = [x for x in lines if x.event == LogName.KEYS_MOVED]
    loss_lines = [
        x for x in lines if x.event in (LogName.STORE_LOST, LogName.DUTY_LOST)
    ]
    reason = f"the key at position {outcome.get_text('key_position')} had no owner"
    if move_lines:
        last_move = move_lines[-1]
        reason += (
            f": {last_move.instance} moved it from "
            f"{last_move.get_text('former_owner')} to "
            f"{last_move.get_text('owner')}"
        )
    elif loss_lines:
        reason += f": {loss_lines[-1].event} at {loss_lines[-1].instance}"
    return reason


def _describe_lost_answer(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    reason = (
        "an attempt may have run and brought no answer "
        f"({outcome.get_text('attempts')})"
    )
    loss_lines = [x for x in lines if x.event == LogName.SERVER_GONE]
    if loss_lines:
        last_loss = loss_lines[-1]
        reason += (
            f"; {last_loss.get_text('backend_server')} was unavailable "
            f"({last_loss.get_text('reason')})"
        )
    return reason


def _describe_expired_deadline(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    return (
        f"its deadline expired after {outcome.get_text('waited_s')} s "
        f"(attempts: {outcome.get_text('attempts') or 'none'})"
    )


def _describe_refused_key(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    key_id = outcome.get_text("key_id")
    name = f"tenant key {key_id}" if key_id else "tenant key"
    return (
        f"{name}: {outcome.get_text('key_fault')}, {_describe_configuration(outcome)}"
    )


def _describe_unknown_route(outcome: LogLine, lines: tuple[LogLine, ...]) -> str:
    return (
        f"no route for {outcome.get_text('host')}{outcome.get_text('path')}, "
        f"{_describe_configuration(outcome)}"
    )


def _describe_configuration(outcome: LogLine) -> str:
    """Return which configuration a refusal is based on, and how current it was."""
    return (
        f"by configuration {outcome.get_text('configuration_version')} of revision "
        f"{outcome.get_text('configuration')}, in force for "
        f"{outcome.get_text('in_force_s')} s and confirmed "
        f"{outcome.get_text('configuration_age_s')} s before"
    )


CAUSE_DESCRIBERS: Final[dict[str, Callable[[LogLine, tuple[LogLine, ...]], str]]] = {
    RefusalCode.TENANT_KEY_MISSING: _describe_refused_key,
    RefusalCode.TENANT_KEY_INVALID: _describe_refused_key,
    RefusalCode.ROUTE_UNKNOWN: _describe_unknown_route,
    RefusalCode.RATE_LIMITED: _describe_rate_limit,
    RefusalCode.NO_BACKEND_SERVER: _describe_no_server,
    RefusalCode.KEY_MOVING: _describe_key_move,
    RefusalCode.BACKEND_LOST: _describe_lost_answer,
    RefusalCode.BACKEND_BAD_ANSWER: _describe_lost_answer,
    RefusalCode.DEADLINE_EXCEEDED: _describe_expired_deadline,
}


def _get_number(line: LogLine, name: str) -> float:
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _format_line(line: LogLine, start_s: float) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value != ""
    )
    return f"{line.at_s - start_s:+8.3f} {line.instance} {line.event} {fields}"
