"""Reads the JSON log lines of several processes."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs

LINE_MAX_BYTES = 1_048_576


@attrs.frozen
class LogLine:
    """One log line; `at_s` is Unix time by the clock of the instance."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


@attrs.frozen
class LogLines:
    """Lines in order of time, and how many could not be read."""

    lines: tuple[LogLine, ...]
    unreadable: int


def read_lines(content: Iterable[bytes]) -> LogLines:
    """Return the lines of log files; what is no log line is counted and left out.

    Text before the JSON object, as a collector of logs puts there, is ignored.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for raw in content:
        if not raw.strip():
            continue
        line = _read(raw)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return LogLines(tuple(lines), unreadable)


def _read(raw: bytes) -> LogLine | None:
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
