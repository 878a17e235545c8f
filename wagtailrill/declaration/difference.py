"""Describes the differences between two declarations to operators.

The command-line tool uses it.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs

from .models import (
    BackendServerEntry,
    DataCentre,
    Declaration,
    Organisation,
    Route,
    Service,
    TenantKeyHash,
)

_LABEL_FORMATTERS: Final[dict[type, Callable[[Any], str]]] = {
    DataCentre: lambda d: f"data centre {d.name}",
    Service: lambda s: f"service {s.name}",
    BackendServerEntry: lambda b: f"backend server {b.name}",
    Route: lambda r: " ".join(
        filter(None, ("route", r.name, r.method, r.host + r.path))
    ),
    Organisation: lambda o: f"organisation {o.name}",
    TenantKeyHash: lambda k: f"tenant key {k.key_id}",
}


def diff_declarations(old: Declaration, new: Declaration) -> tuple[str, ...]:
    """Return one line for each addition (+), removal (-) and change (~)."""
    return tuple(_compare_entries("", old, new))


def _compare_entries(prefix: str, old: Any, new: Any) -> list[str]:
    if old == new:
        return []
    lines: list[str] = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        lines.extend(_compare_field(prefix, field.name, before, after))
    return lines


def _compare_field(prefix: str, name: str, before: Any, after: Any) -> list[str]:
    if before == after:
        return []
    if _contains_entries(before) or _contains_entries(after):
        return _compare_entry_tuples(prefix, before, after)
    if attrs.has(type(before)):
        return _compare_entries(f"{prefix}{name}: ", before, after)
    return [f"~ {prefix}{name} {_format_value(before)} -> {_format_value(after)}"]


def _compare_entry_tuples(
    prefix: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> list[str]:
    old = {_get_label(entry): entry for entry in before}
    new = {_get_label(entry): entry for entry in after}
    lines = [f"- {prefix}{label}" for label in old if label not in new]
    lines += [f"+ {prefix}{label}" for label in new if label not in old]
    for label in new:
        if label in old:
            lines.extend(_compare_entries(f"{prefix}{label}: ", old[label], new[label]))
    kept_labels = [label for label in old if label in new]
    if kept_labels != [label for label in new if label in old]:
        lines.append(f"~ {prefix}order of entries")
    return lines


def _contains_entries(value: Any) -> bool:
    return (
        isinstance(value, tuple) and bool(value) and type(value[0]) in _LABEL_FORMATTERS
    )


def _get_label(entry: Any) -> str:
    return _LABEL_FORMATTERS[type(entry)](entry)


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value)
