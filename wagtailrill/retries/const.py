"""Constants of retries and hedges."""

from typing import Final

# Histogram buckets: 20 per factor of ten from 0.1 ms to 100 s.
BUCKETS_PER_DECADE: Final = 20
BUCKET_COUNT: Final = 120
BUCKET_FIRST_S: Final = 0.0001
# Counts are halved at this total, so that the quantile follows recent answers.
SAMPLES_MAX: Final = 4000.0
# The quantile is computed again after this many answers.
QUANTILE_REFRESH_SAMPLES: Final = 64
