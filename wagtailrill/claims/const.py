"""Limits and durations of claims."""

from typing import Final

CLAIM_RETENTION_S: Final = 600.0
# Claims made within this time share a lease, so that a claim costs one store call.
LEASE_SHARED_S: Final = 60.0
CALLER_CLOCK_SKEW_MAX_S: Final = 2.0
ANSWER_MAX_BYTES: Final = 65_536
MS_PER_S: Final = 1000.0
