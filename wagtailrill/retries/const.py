"""Constants of retries and hedges."""

from typing import Final

# Histogram buckets: 20 per factor of ten from 0.1 ms to 100 s.
BUCKETS_PER_DECADE: Final = 20
BUCKET_COUNT: Final = 120
LATENCY_MIN_S: Final = 0.0001
# All counts are halved at this total, so that quantiles follow recent answers.
SAMPLES_MAX: Final = 4000.0
# Cached quantiles are computed again after this many answers.
QUANTILE_REFRESH_SAMPLES: Final = 64
