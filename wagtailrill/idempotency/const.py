"""Constants of idempotency keys and claims."""

from typing import Final

CLAIM_RETRY_INTERVAL_S: Final = 0.1
CLAIM_TIMEOUT_S: Final = 1.0
COMPLETION_RETRY_INTERVAL_S: Final = 0.2
COMPLETION_ATTEMPTS: Final = 5
# A planned change of home sends the records right after the table changes.
HANDOVER_WAIT_S: Final = 0.5
HANDOVER_CHUNK_BYTES: Final = 262_144
HANDOVER_RECORD_OVERHEAD_BYTES: Final = 256
# Records at one instance; a record takes about 700 bytes beside its answer.
RECORDS_MAX: Final = 20_000
STORED_ANSWERS_MAX_BYTES: Final = 8_388_608
EXPIRY_INTERVAL_S: Final = 5.0
EXPIRY_BATCH: Final = 2000
# Difference between the Unix clocks of two instances.
INSTANCE_CLOCK_SKEW_S: Final = 0.5
# How long the records of a vacated home wait for the table that names the next.
HANDOVER_KEEP_S: Final = 3.0
