"""Summary of a load test: counts by service and code, and latency percentiles."""

from collections.abc import Sequence
from typing import Any

from .models import LoadResult

MS_PER_S = 1000.0


def compute_percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the percentile of sorted values at a fraction, None for no values."""
    if not values:
        return None
    return values[min(int(len(values) * fraction), len(values) - 1)]


def compute_latency_ms(results: Sequence[LoadResult]) -> dict[str, float | None]:
    """Return the 50th, 99th and 99.9th latency percentiles in milliseconds."""
    values = sorted(result.latency_s * MS_PER_S for result in results)
    return {
        "p50": compute_percentile(values, 0.50),
        "p99": compute_percentile(values, 0.99),
        "p99.9": compute_percentile(values, 0.999),
    }


def summarise_results(results: Sequence[LoadResult]) -> dict[str, Any]:
    """Return counts by service and code, and the latency of answered requests."""
    services: dict[str, Any] = {}
    for name in sorted({result.service for result in results}):
        service_results = [result for result in results if result.service == name]
        answered = [row for row in service_results if row.code == "answered"]
        codes: dict[str, int] = {}
        for row in service_results:
            codes[row.code] = codes.get(row.code, 0) + 1
        services[name] = {
            "requests": len(service_results),
            "answered": len(answered),
            "codes": dict(sorted(codes.items())),
            "latency_ms": compute_latency_ms(answered),
        }
    return {
        "requests": len(results),
        "crossed": sum(result.crossed for result in results),
        "services": services,
    }


def format_table(summary: dict[str, Any]) -> str:
    """Return the summary as a text table with a row per service."""
    lines = [
        f"{'service':<14}{'requests':>9}{'answered':>9}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'p99.9 ms':>9}  other codes"
    ]
    for name, row in summary["services"].items():
        latency = {
            name: "-" if value is None else f"{value:.1f}"
            for name, value in row["latency_ms"].items()
        }
        codes = ", ".join(
            f"{code} {number}"
            for code, number in row["codes"].items()
            if code != "answered"
        )
        lines.append(
            f"{name:<14}{row['requests']:>9}{row['answered']:>9}"
            f"{latency['p50']:>9}{latency['p99']:>9}{latency['p99.9']:>9}"
            f"  {codes}"
        )
    return "\n".join(lines)
