"""What the logs of all instances say of one request, and the cause of its end."""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from ..core.log_events import LogName
from ..core.refusals import RefusalCode
from .log_lines import LogLine, LogLines

# Lines about backend servers and keys of a request are shown from so long before it
# until so long after it.
BEFORE_S: Final = 5.0
AFTER_S: Final = 1.0
SAME_KIND_MAX: Final = 2

# Lines that say what an instance could reach or had the right to do; the last one
# before a request still holds during it.
STANDING: Final = frozenset(
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
# Pairs of which the later line takes back the earlier one.
TAKEN_BACK: Final = {
    LogName.SERVER_LIST_REGAINED: LogName.SERVER_LIST_LOST,
    LogName.STORE_WATCH_REGAINED: LogName.STORE_WATCH_LOST,
    LogName.STORE_REGAINED: LogName.STORE_LOST,
}
ENDS: Final = frozenset(
    {
        LogName.REQUEST_REFUSED,
        LogName.REQUEST_FAILED,
        LogName.REQUEST_ANSWERED,
        LogName.REQUEST_ANSWERED_LATER,
    }
)


@attrs.frozen
class Story:
    """Lines that concern a request, and one sentence on why it ended as it did."""

    request_id: str
    lines: tuple[LogLine, ...]
    cause: str

    def text(self) -> tuple[str, ...]:
        """Return the story for a person, in time order."""
        if not self.lines:
            return (self.cause,)
        start_s = next(
            line.at_s
            for line in self.lines
            if line.text("request_id") == self.request_id
        )
        return (*(_shown(line, start_s) for line in self.lines), self.cause)


def tell(logs: LogLines, request_id: str) -> Story:
    """Return what the logs say of a request."""
    own = [line for line in logs.lines if line.text("request_id") == request_id]
    if not own:
        cause = f"No line names the request {request_id}."
        return Story(request_id, (), cause)
    first_s, last_s = own[0].at_s, own[-1].at_s
    waited_s = max(_number(line, "waited_s") for line in own)
    first_s = min(first_s, last_s - waited_s)
    found = {id(line): line for line in own}
    around = [x for x in logs.lines if x.at_s <= last_s + AFTER_S]
    for line in (*_standing(around, own, first_s), *_related(around, own, first_s)):
        found[id(line)] = line
    lines = tuple(sorted(found.values(), key=lambda line: line.at_s))
    return Story(request_id, lines, _cause(own, lines))


def _standing(
    lines: list[LogLine], own: list[LogLine], first_s: float
) -> list[LogLine]:
    """Return what held at the instances of a request when it came, and later."""
    instances = {line.instance for line in own}
    held: dict[tuple[str, str, str], LogLine] = {}
    found: list[LogLine] = []
    for line in lines:
        if line.instance not in instances or line.event not in STANDING:
            continue
        if line.at_s >= first_s:
            found.append(line)
            continue
        prefix = line.text("prefix")
        taken_back = TAKEN_BACK.get(LogName(line.event))
        if taken_back is not None:
            held.pop((line.instance, taken_back, prefix), None)
        else:
            held[line.instance, line.event, prefix] = line
    return [*held.values(), *found]


def _related(lines: list[LogLine], own: list[LogLine], first_s: float) -> list[LogLine]:
    """Return what any instance said of the servers and the key of a request."""
    servers = _servers(own)
    keys = {(x.text("service"), x.fields.get("key_position")) for x in own}
    found = [
        line
        for line in lines
        if line.at_s >= first_s - BEFORE_S
        and (
            line.text("backend_server") in servers
            or any(_covers(line, service, position) for service, position in keys)
        )
        and not line.text("request_id")
    ]
    return _last_of_each(found)


def _last_of_each(lines: list[LogLine]) -> list[LogLine]:
    """Return the last lines of each kind that an instance wrote of a server."""
    kept: dict[tuple[str, str, str], deque[LogLine]] = {}
    for line in lines:
        kind = (line.instance, line.event, line.text("backend_server"))
        kept.setdefault(kind, deque(maxlen=SAME_KIND_MAX)).append(line)
    return [line for same in kept.values() for line in same]


def _servers(own: list[LogLine]) -> set[str]:
    names = {line.text("backend_server") for line in own}
    for line in own:
        for attempt in line.text("attempts").split():
            names.add(attempt.partition(":")[0])
    return names - {""}


def _covers(line: LogLine, service: str, position: object) -> bool:
    first, last = line.fields.get("first"), line.fields.get("last")
    if not isinstance(position, int) or line.text("service") != service:
        return False
    if not isinstance(first, int) or not isinstance(last, int):
        return False
    return first <= position <= last


# Causes


def _cause(own: list[LogLine], lines: tuple[LogLine, ...]) -> str:
    end = next((line for line in reversed(own) if line.event in ENDS), None)
    if end is None:
        return "Cause: no line tells how the request ended."
    if not end.text("code"):
        return f"The request was answered with status {end.text('status')}."
    describe = CAUSES.get(end.text("code"))
    said = describe(end, lines) if describe is not None else end.text("code")
    return f"Cause: {said}."


def _rate_limited(end: LogLine, lines: tuple[LogLine, ...]) -> str:
    return (
        f"organisation {end.text('organisation')} was over its rate of "
        f"{end.text('rate_per_s')}/s ({end.text('decided_by')})"
    )


def _no_server(end: LogLine, lines: tuple[LogLine, ...]) -> str:
    if end.text("attempts"):
        return (
            f"no server of {end.text('service')} had run it after the attempts "
            f"{end.text('attempts')}"
        )
    return (
        f"{end.text('decided_by')} expected no free slot of {end.text('service')} "
        f"in time; retry after {end.text('retry_after_s')} s"
    )


def _key_moving(end: LogLine, lines: tuple[LogLine, ...]) -> str:
    moved = [x for x in lines if x.event == LogName.KEYS_MOVED]
    lost = [x for x in lines if x.event in (LogName.STORE_LOST, LogName.DUTY_LOST)]
    said = f"the key at position {end.text('key_position')} had no owner"
    if moved:
        last = moved[-1]
        said += (
            f": {last.instance} moved it from {last.text('former_owner')} to "
            f"{last.text('owner')}"
        )
    elif lost:
        said += f": {lost[-1].event} at {lost[-1].instance}"
    return said


def _lost(end: LogLine, lines: tuple[LogLine, ...]) -> str:
    said = f"an attempt may have run and brought no answer ({end.text('attempts')})"
    gone = [x for x in lines if x.event == LogName.SERVER_GONE]
    if gone:
        last = gone[-1]
        said += f"; {last.text('backend_server')} was gone ({last.text('reason')})"
    return said


def _late(end: LogLine, lines: tuple[LogLine, ...]) -> str:
    return (
        f"its time ended after {end.text('waited_s')} s "
        f"(attempts: {end.text('attempts') or 'none'})"
    )


CAUSES: Final[dict[str, Callable[[LogLine, tuple[LogLine, ...]], str]]] = {
    RefusalCode.RATE_LIMITED: _rate_limited,
    RefusalCode.NO_BACKEND_SERVER: _no_server,
    RefusalCode.KEY_MOVING: _key_moving,
    RefusalCode.BACKEND_LOST: _lost,
    RefusalCode.BACKEND_BAD_ANSWER: _lost,
    RefusalCode.DEADLINE_EXCEEDED: _late,
}


def _number(line: LogLine, name: str) -> float:
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _shown(line: LogLine, start_s: float) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value != ""
    )
    return f"{line.at_s - start_s:+8.3f} {line.instance} {line.event} {fields}"
