"""Parses JSON log lines of several instances; used by `explain-request`."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs

LINE_MAX_BYTES = 1_048_576


@attrs.frozen
class LogLine:
    """A log line; `at_s` is Unix time in seconds by the clock of the instance.

    `fields` holds the fields that have no attribute here, without the level.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def get_text(self, name: str) -> str:
        """Return a field as text, or an empty text if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


@attrs.frozen
class LogLines:
    """Log lines in order of time, and the number of lines that are not log lines."""

    lines: tuple[LogLine, ...]
    unreadable_count: int


def parse_log_lines(raw_lines: Iterable[bytes]) -> LogLines:
    """Parse the lines of log files; lines that are not log lines are only counted.

    Text before the JSON object, as log collectors add it, is ignored.
    """
    lines: list[LogLine] = []
    unreadable_count = 0
    for raw in raw_lines:
        if not raw.strip():
            continue
        line = _parse_log_line(raw)
        if line is None:
            unreadable_count += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return LogLines(tuple(lines), unreadable_count)


def _parse_log_line(raw: bytes) -> LogLine | None:
    start = raw.find(b"{")
    if start < 0 or len(raw) > LINE_MAX_BYTES:
        return None
    try:
        fields = json.loads(raw[start:])
        at_s = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
        instance, event = fields.pop("instance"), fields.pop("event")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    if not isinstance(instance, str) or not isinstance(event, str):
        return None
    fields.pop("level", None)
    return LogLine(at_s, instance, event, fields)
