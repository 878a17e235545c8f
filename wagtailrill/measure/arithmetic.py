"""Arithmetic of the measures."""

import math
from collections.abc import Iterable, Mapping, Sequence

from .models import Figures

MS_PER_S = 1000.0


def quantile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank quantile, or NaN when there are no values."""
    ranked = sorted(values)
    if not ranked:
        return math.nan
    return ranked[max(math.ceil(share * len(ranked)) - 1, 0)]


def ratio(part: float, whole: float) -> float:
    """Return a quotient, or NaN when the divisor is 0."""
    return part / whole if whole else math.nan


def latency_figures(latencies_s: Sequence[float], prefix: str = "") -> Figures:
    """Return p50, p99 and p99.9 in milliseconds."""
    return {
        f"{prefix}p50_ms": MS_PER_S * quantile(latencies_s, 0.5),
        f"{prefix}p99_ms": MS_PER_S * quantile(latencies_s, 0.99),
        f"{prefix}p99.9_ms": MS_PER_S * quantile(latencies_s, 0.999),
    }


def imbalance(loads: Mapping[str, float], servers: Sequence[str]) -> float:
    """Return the highest over the mean load; servers without load count."""
    values = [loads.get(name, 0.0) for name in servers]
    return ratio(max(values, default=0.0) * len(values), sum(values))


def moved(before: Sequence[str], after: Sequence[str]) -> int:
    """Return how many slots have another owner."""
    return sum(a != b for a, b in zip(before, after, strict=True))
