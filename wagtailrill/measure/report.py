"""Tables, targets and JSON of the measures."""

import json
import math
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from . import const
from .models import Figures, Measured, RouterKind

Check = Callable[[Figures], bool]


@attrs.frozen
class Target:
    """A target of one measure."""

    text: str
    met: Check


TARGETS: dict[str, tuple[Target, ...]] = {
    "loss": (
        Target(
            "unavailable at most 4 s",
            lambda f: f["unavailable_max_s"] <= const.UNAVAILABLE_TARGET_S,
        ),
        Target(
            "imbalance at most 1.15",
            lambda f: f["imbalance_settled_max"] <= const.IMBALANCE_TARGET,
        ),
    ),
    "data_centre": (
        Target(
            "no order 3 s after the data centre is out",
            lambda f: f["orders_3s_after_out"] == 0,
        ),
    ),
    "stragglers": (
        Target(
            "idempotent p99 at most twice the healthy p99",
            lambda f: f["p99_ratio_idempotent"] <= const.STRAGGLER_TARGET,
        ),
        Target(
            "extra work at most 5%",
            lambda f: f["slow_extra_work"] <= const.HEDGE_WORK_TARGET,
        ),
    ),
    "noisy": (
        Target(
            "success of every other organisation at least 99.9%",
            lambda f: f["worst_success"] >= const.OTHERS_SUCCESS_TARGET,
        ),
        Target(
            "worst p99 at most 1.2 times its p99 alone",
            lambda f: f["worst_p99_ratio"] <= const.OTHERS_P99_TARGET,
        ),
    ),
    "wrongful": (
        Target(
            "refused within rate at most 0.1%",
            lambda f: f["refused"] <= const.WRONGFUL_TARGET,
        ),
    ),
}


def missed(row: Measured) -> list[str]:
    """Return the targets that a row misses."""
    texts = [t.text for t in TARGETS[row.measure] if not t.met(row.figures)]
    counts = attrs.asdict(row.counts)
    return texts + [f"{name} is {n}, not 0" for name, n in counts.items() if n]


def table(rows: list[Measured]) -> str:
    """Return one measure of one deployment as text, a column per router."""
    head = rows[0]
    values = [{**r.figures, **attrs.asdict(r.counts)} for r in rows]
    names = list(dict.fromkeys(name for column in values for name in column))
    lines = [f"{head.deployment}: {head.measure}"]
    lines.append(f"{'':28}" + "".join(f"{r.router.value:>14}" for r in rows))
    for name in names:
        cells = "".join(f"{_text(column.get(name)):>14}" for column in values)
        lines.append(f"  {name:26}{cells}")
    for row in rows:
        if row.router is RouterKind.ENGINE:
            lines += [f"  missed: {text}" for text in missed(row)]
    return "\n".join(lines)


def write_json(path: Path, seeds: list[int], rows: list[Measured]) -> None:
    """Write all figures to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {"seeds": seeds, "rows": [_row(r) for r in rows]}
    path.write_text(json.dumps(document, indent=2) + "\n")


def _row(row: Measured) -> dict[str, Any]:
    figures = {k: None if math.isnan(v) else v for k, v in row.figures.items()}
    return {**attrs.asdict(row), "figures": figures, "missed": missed(row)}


def _text(value: float | int | None) -> str:
    if value is None:
        return "-"
    return str(value) if isinstance(value, int) else f"{value:.5g}"
