"""What every run must keep, whatever fails."""

from collections import Counter
from typing import Final

from wagtailrill.servers.const import COLD_WINDOW_S
from wagtailrill.stand_ins.virtual_servers import Execution

from .declaration import COLD_PER_S, EXTRA, ORGANISATIONS, RATES, TIMEOUT_S
from .deployment import Call, Deployment

# A refusal may come this much later than the time that a request has.
ANSWER_SLACK_S: Final = 0.3


def violations(run: Deployment) -> list[str]:
    """Return what a run has broken."""
    by_call: dict[str, list[Execution]] = {}
    for execution in run.servers.executions:
        by_call.setdefault(execution.caller_id, []).append(execution)
    found = list(run.violations)
    for call in run.calls.values():
        found += _of_call(call, by_call.get(call.caller_id, []))
    found += _of_rates(run)
    found += _of_cold_servers(run)
    return found


def unanswered(run: Deployment, end_s: float) -> list[str]:
    """Return the requests that should have an answer by a time, and have none."""
    return [
        f"{call.caller_id} at {call.instance} has no answer"
        for call in run.calls.values()
        if call.ended_s is None
        and not call.lost
        and call.sent_s + TIMEOUT_S + ANSWER_SLACK_S < end_s
    ]


def served_part(run: Deployment, from_s: float, organisation: str = "calm") -> float:
    """Return the part of the requests sent after a time that were answered."""
    calls = [
        call
        for call in run.calls.values()
        if call.sent_s >= from_s and call.organisation == organisation
    ]
    return sum(call.answered for call in calls) / len(calls)


def _of_call(call: Call, executions: list[Execution]) -> list[str]:
    found = []
    if not call.idempotent and len(executions) > 1:
        found.append(f"{call.caller_id} ran {len(executions)} times")
    if call.promised_not_run and executions and not call.idempotent:
        found.append(f"{call.caller_id} ran although {call.refusal}")
    for execution in executions:
        if execution.organisation != call.organisation:
            found.append(f"{call.caller_id} ran for {execution.organisation}")
        if not execution.server.startswith(call.service):
            found.append(f"{call.caller_id} ran at {execution.server}")
    return found


def _of_rates(run: Deployment) -> list[str]:
    found = []
    for name, limit in ORGANISATIONS.items():
        first: dict[str, float] = {}
        for execution in run.servers.executions:
            if execution.organisation == name:
                first.setdefault(execution.caller_id, execution.at_s)
        most = _most_in_window(sorted(first.values()), RATES.window_s)
        if most > RATES.compute_bound(limit):
            found.append(f"{most} requests of {name} in {RATES.window_s} s")
    return found


def _of_cold_servers(run: Deployment) -> list[str]:
    bound = COLD_PER_S * 1.2 + 2.0
    found = []
    times: dict[str, list[float]] = {}
    for execution in run.servers.executions:
        server = run.servers.by_name.get(execution.server)
        if server is None or not server.model.cfg.cold_s:
            continue
        if execution.at_s < server.model.started_s + server.model.cfg.cold_s:
            times.setdefault(execution.server, []).append(execution.at_s)
    for name, at_s in times.items():
        most = _most_in_window(at_s, min(1.0, COLD_WINDOW_S))
        if most > bound:
            found.append(f"{most} requests at cold {name} in a second")
    return found


def extra_arrivals(run: Deployment) -> list[str]:
    """Return the windows in which a service got too many further attempts."""
    found = []
    for service in ("roll", "box"):
        seen: Counter[str] = Counter()
        extra_s = []
        for execution in run.servers.executions:
            if not execution.server.startswith(service):
                continue
            seen[execution.caller_id] += 1
            if seen[execution.caller_id] > 1:
                extra_s.append(execution.at_s)
        requests_s = sorted(
            call.sent_s for call in run.calls.values() if call.service == service
        )
        for at_s in extra_s:
            extra = sum(at_s - EXTRA.window_s < t <= at_s for t in extra_s)
            requests = sum(at_s - EXTRA.window_s < t <= at_s for t in requests_s)
            if extra > EXTRA.share * requests + EXTRA.allowance:
                found.append(f"{extra} extra for {requests} of {service} at {at_s}")
                break
    return found


def _most_in_window(times_s: list[float], window_s: float) -> int:
    most, first = 0, 0
    for number, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, number - first + 1)
    return most
