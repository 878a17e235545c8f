"""Measures how control work, store calls, memory and forwarding grow with size.

Prints each series with a least-squares fit and its value at the target size.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import attrs
from capacity_cells import (
    EVENT_MEMBERS,
    EventCost,
    cell_series,
    configuration_in_force_s,
    event_costs,
)
from capacity_documents import document_series, memory_series
from capacity_processes import Forwarding, WireSize, forwarding, process_figures

from wagtailrill.stand_ins.capacity_fit import Series, merge

FORWARD_S: Final = 1.5


@attrs.define
class Results:
    """Everything that a run measured."""

    series: list[Series] = attrs.field(factory=list)
    events: list[EventCost] = attrs.field(factory=list)
    in_force_s: list[float] = attrs.field(factory=list)
    wire: list[WireSize] = attrs.field(factory=list)
    forwarding: list[Forwarding] = attrs.field(factory=list)
    library_bytes: float = 0.0
    seconds_by_part: dict[str, float] = attrs.field(factory=dict)


def measure_cells(results: Results, args: argparse.Namespace) -> None:
    """Measure sizes of cells and fleets."""
    for seed in args.seeds:
        results.series += cell_series(seed, args.seconds)


def measure_events(results: Results, args: argparse.Namespace) -> None:
    """Measure single events."""
    for seed in args.seeds:
        for members in EVENT_MEMBERS:
            results.events += event_costs(seed, members)
        results.in_force_s.append(configuration_in_force_s(seed))


def measure_documents(results: Results, args: argparse.Namespace) -> None:
    """Measure documents and the memory of decision code."""
    results.series += document_series() + memory_series()


def measure_processes(results: Results, args: argparse.Namespace) -> None:
    """Measure daemons."""
    figures = process_figures()
    results.series += figures.series
    results.wire += figures.wire
    results.library_bytes = figures.library_bytes


def measure_forwarding(results: Results, args: argparse.Namespace) -> None:
    """Measure the cost of a forwarded request."""
    results.forwarding += forwarding(FORWARD_S)


PARTS: Final[dict[str, Callable[[Results, argparse.Namespace], None]]] = {
    "cells": measure_cells,
    "events": measure_events,
    "documents": measure_documents,
    "processes": measure_processes,
    "forwarding": measure_forwarding,
}


def series_fields(series: Series) -> dict[str, Any]:
    """Return a series with its fit for JSON."""
    fit = series.fit()
    return {
        **attrs.asdict(series),
        **attrs.asdict(fit),
        "at_target": series.at_target(),
    }


def print_series(series: Series) -> None:
    """Print a series on one line."""
    fit = series.fit()
    points = "  ".join(f"{p.size:g}: {p.value:.4g}" for p in series.means())
    print(
        f"{series.name} [{series.unit}] by {series.size_name}: {points} | "
        f"slope {fit.slope:.4g}, intercept {fit.intercept:.4g}, r2 {fit.r2:.3f}; "
        f"at {series.target_size:g}: {series.at_target():.4g}"
    )


def print_rows(rows: list[Any]) -> None:
    """Print rows of equal classes as a table."""
    for row in rows:
        fields = attrs.asdict(row).items()
        print("  ".join(f"{k}={v:.5g}" if isinstance(v, float) else f"{k}={v}"
                        for k, v in fields))  # fmt: skip


def print_results(results: Results) -> None:
    """Print all results as text."""
    for series in results.series:
        print_series(series)
    for rows in (results.events, results.wire, results.forwarding):
        print_rows(list(rows))
    if results.in_force_s:
        print(f"change in force at 12 members, s: {results.in_force_s}")
    print(f"interpreter with libraries, B: {results.library_bytes:.0f}")
    print(f"seconds by part: {results.seconds_by_part}")


def main() -> None:
    """Run the measurements that were asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", type=int, nargs="*", default=[1])
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="virtual seconds per size"
    )
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--only", choices=tuple(PARTS), action="append")
    args = parser.parse_args()
    results = Results()
    for name, part in PARTS.items():
        if name in (args.only or PARTS):
            start_s = time.monotonic()
            part(results, args)
            results.seconds_by_part[name] = round(time.monotonic() - start_s, 1)
    results.series = list(merge(results.series))
    if not args.json:
        print_results(results)
        return
    document = attrs.asdict(results)
    document["series"] = [series_fields(s) for s in results.series]
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
