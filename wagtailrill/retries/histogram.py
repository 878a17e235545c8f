"""Bounded histogram of recent latencies."""

import math

import attrs

from .const import (
    BUCKET_COUNT,
    BUCKET_FIRST_S,
    BUCKETS_PER_DECADE,
    QUANTILE_REFRESH_SAMPLES,
    SAMPLES_MAX,
)


@attrs.define
class LatencyHistogram:
    """Counts in logarithmic buckets, halved when there are many."""

    counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    total: float = 0.0
    _fresh: int = 0
    _cached: dict[float, float] = attrs.field(factory=dict)

    def record(self, latency_s: float) -> None:
        """Count a latency in seconds."""
        ratio = max(latency_s, BUCKET_FIRST_S) / BUCKET_FIRST_S
        bucket = int(math.log10(ratio) * BUCKETS_PER_DECADE)
        self.counts[min(bucket, BUCKET_COUNT - 1)] += 1.0
        self.total += 1.0
        self._fresh += 1
        if self.total >= SAMPLES_MAX:
            self.counts = [c / 2.0 for c in self.counts]
            self.total /= 2.0
        if self._fresh >= QUANTILE_REFRESH_SAMPLES:
            self._fresh = 0
            self._cached.clear()

    def quantile_s(self, quantile: float) -> float:
        """Return the upper bound in seconds of the bucket that holds a quantile."""
        known = self._cached.get(quantile)
        if known is None:
            known = self._cached[quantile] = self._compute(quantile)
        return known

    def _compute(self, quantile: float) -> float:
        wanted, seen, bucket = quantile * self.total, 0.0, 0
        for bucket, count in enumerate(self.counts):  # noqa: B007
            seen += count
            if seen >= wanted:
                break
        return BUCKET_FIRST_S * math.pow(10.0, (bucket + 1) / BUCKETS_PER_DECADE)
