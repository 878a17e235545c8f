"""Parses and formats the platform's durations and tables.

Used by the decoders of this package and by the store stand-in.
"""

import re
from typing import Any, Final

from ..core.json_fields import FieldError, parse_object

_DURATION_PATTERN: Final = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s)\s*")
_SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}
# Sums of durations up to this one stay finite.
_DURATION_MAX_S: Final = 10_000_000.0


def parse_duration_s(value: Any, name: str) -> float:
    """Return the seconds of a duration such as `1500ms`; raise `FieldError`."""
    duration_s = _parse_any_duration_s(value, name)
    if duration_s > _DURATION_MAX_S:
        raise FieldError(f"{name} is too long: {value!r:.40}")
    return duration_s


def parse_capped_duration_s(value: Any, name: str) -> float:
    """Return the seconds of a duration, a longer one as the longest allowed one.

    Raise `FieldError` if it is malformed.
    """
    return min(_parse_any_duration_s(value, name), _DURATION_MAX_S)


def _parse_any_duration_s(value: Any, name: str) -> float:
    match = _DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise FieldError(f"{name} is not a duration: {value!r:.40}")
    return float(match[1]) * _SECONDS_PER_UNIT[match[2]]


def format_duration(duration_s: float) -> str:
    """Return a duration in the platform's format, in whole milliseconds."""
    return f"{round(duration_s * 1000.0)}ms"


def parse_rows(value: Any, name: str) -> list[dict[str, Any]]:
    """Return each row of a table as a mapping from column to value.

    The table is an object with the lists `columns` and `rows`. A null, or a row that
    is shorter than the columns, leaves fields out. Raise `FieldError` for a malformed
    table.
    """
    table = parse_object(value, name)
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise FieldError(f"{name} is not a table")
    if any(not isinstance(row, list) or len(row) > len(columns) for row in rows):
        raise FieldError(f"a row of {name} does not fit its columns")
    return [
        {
            str(column): cell
            for column, cell in zip(columns, row, strict=False)
            if cell is not None
        }
        for row in rows
    ]
