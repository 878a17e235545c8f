"""Times, versions and tables as the platform writes them."""

import re
from collections.abc import Mapping
from typing import Any, Final

_TIME: Final = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s)\s*")
_SECONDS_OF: Final = {"ms": 0.001, "s": 1.0}
# Longer times are taken for malformed, so that sums of them stay finite.
_TIME_MAX_S: Final = 10_000_000.0


class WireError(ValueError):
    """A value does not have the platform's form; the text says where and why."""


def seconds(value: Any, name: str) -> float:
    """Return the seconds of a time such as `1500ms`; raise `WireError`."""
    found = _TIME.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise WireError(f"{name} is not a time: {value!r:.40}")
    time_s = float(found[1]) * _SECONDS_OF[found[2]]
    if time_s > _TIME_MAX_S:
        raise WireError(f"{name} is too long: {value!r:.40}")
    return time_s


def milliseconds(time_s: float) -> str:
    """Return a time as the platform writes it, in whole milliseconds."""
    return f"{round(time_s * 1000.0)}ms"


def text(fields: Mapping[str, Any], name: str) -> str:
    """Return a text that is not empty; raise `WireError`."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise WireError(f"{name} is not a text")
    return value


def whole(fields: Mapping[str, Any], name: str, minimum: int = 0) -> int:
    """Return a whole number; raise `WireError`."""
    value = fields.get(name)
    if type(value) is not int or value < minimum:
        raise WireError(f"{name} is not a whole number of {minimum} or more")
    return value


def number(fields: Mapping[str, Any], name: str, maximum: float = 1e12) -> float:
    """Return a number that is not negative; raise `WireError`."""
    value = fields.get(name)
    if type(value) not in (int, float) or not 0.0 <= value <= maximum:  # type: ignore[operator]
        raise WireError(f"{name} is not a number from 0 to {maximum:g}")
    return float(value)  # type: ignore[arg-type]


def mapping(value: Any, name: str) -> Mapping[str, Any]:
    """Return an object; raise `WireError`."""
    if not isinstance(value, dict):
        raise WireError(f"{name} is not an object")
    return value


def rows(value: Any, name: str) -> list[dict[str, Any]]:
    """Return the rows of a table of `columns` and `rows`; null means omitted."""
    table = mapping(value, name)
    columns, lines = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(lines, list):
        raise WireError(f"{name} is not a table")
    if any(not isinstance(line, list) or len(line) > len(columns) for line in lines):
        raise WireError(f"a row of {name} does not fit its columns")
    return [
        {
            str(column): cell
            for column, cell in zip(columns, line, strict=False)
            if cell is not None
        }
        for line in lines
    ]
