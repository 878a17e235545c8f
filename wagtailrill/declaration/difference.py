"""Difference of two declarations, for a person."""

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

_LABELS: Final[dict[type, Callable[[Any], str]]] = {
    DataCentre: lambda d: f"data centre {d.name}",
    Service: lambda s: f"service {s.name}",
    BackendServerEntry: lambda b: f"backend server {b.name}",
    Route: lambda r: f"route {r.method} {r.path}",
    Organisation: lambda o: f"organisation {o.name}",
    TenantKeyHash: lambda k: f"tenant key {k.key_id}",
}


def difference(old: Declaration, new: Declaration) -> tuple[str, ...]:
    """Return one line for each addition (+), removal (-) and change (~)."""
    return tuple(_compare("", old, new))


def _compare(where: str, old: Any, new: Any) -> list[str]:
    if old == new:
        return []
    lines: list[str] = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        lines.extend(_compare_field(where, field.name, before, after))
    return lines


def _compare_field(where: str, name: str, before: Any, after: Any) -> list[str]:
    if before == after:
        return []
    if _is_table(before) or _is_table(after):
        return _compare_tables(where, before, after)
    if attrs.has(type(before)):
        return _compare(f"{where}{name}: ", before, after)
    return [f"~ {where}{name} {_shown(before)} -> {_shown(after)}"]


def _compare_tables(
    where: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> list[str]:
    old = {_label(entry): entry for entry in before}
    new = {_label(entry): entry for entry in after}
    lines = [f"- {where}{label}" for label in old if label not in new]
    lines += [f"+ {where}{label}" for label in new if label not in old]
    for label in new:
        if label in old:
            lines.extend(_compare(f"{where}{label}: ", old[label], new[label]))
    order = [label for label in old if label in new]
    if order != [label for label in new if label in old]:
        lines.append(f"~ {where}order of entries")
    return lines


def _is_table(value: Any) -> bool:
    return isinstance(value, tuple) and bool(value) and type(value[0]) in _LABELS


def _label(entry: Any) -> str:
    return _LABELS[type(entry)](entry)


def _shown(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value)
