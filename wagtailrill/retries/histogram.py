"""Bounded histogram of recent latencies, from which the hedging delay is computed."""

import math

import attrs

from .const import (
    BUCKET_COUNT,
    BUCKETS_PER_DECADE,
    LATENCY_MIN_S,
    QUANTILE_REFRESH_SAMPLES,
    SAMPLES_MAX,
)


@attrs.define
class LatencyHistogram:
    """Counts latencies in logarithmic buckets.

    All counts are halved when their total reaches a limit, so that old latencies lose
    weight.
    """

    counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    total: float = 0.0
    _samples_since_refresh: int = 0
    _quantiles_s: dict[float, float] = attrs.field(factory=dict)

    def record_latency(self, latency_s: float) -> None:
        """Count a latency in seconds."""
        ratio = max(latency_s, LATENCY_MIN_S) / LATENCY_MIN_S
        bucket = int(math.log10(ratio) * BUCKETS_PER_DECADE)
        self.counts[min(bucket, BUCKET_COUNT - 1)] += 1.0
        self.total += 1.0
        self._samples_since_refresh += 1
        if self.total >= SAMPLES_MAX:
            self.counts = [c / 2.0 for c in self.counts]
            self.total /= 2.0
        if self._samples_since_refresh >= QUANTILE_REFRESH_SAMPLES:
            self._samples_since_refresh = 0
            self._quantiles_s.clear()

    def get_quantile_s(self, quantile: float) -> float:
        """Return the upper bound in seconds of the bucket that holds a quantile.

        `quantile` is between 0 and 1. The result is cached and may leave out the latest
        latencies, fewer than `QUANTILE_REFRESH_SAMPLES`.
        """
        cached_s = self._quantiles_s.get(quantile)
        if cached_s is None:
            cached_s = self._quantiles_s[quantile] = self._compute_quantile_s(quantile)
        return cached_s

    def _compute_quantile_s(self, quantile: float) -> float:
        wanted_count, cumulative_count, bucket = quantile * self.total, 0.0, 0
        for bucket, count in enumerate(self.counts):  # noqa: B007
            cumulative_count += count
            if cumulative_count >= wanted_count:
                break
        return LATENCY_MIN_S * math.pow(10.0, (bucket + 1) / BUCKETS_PER_DECADE)
