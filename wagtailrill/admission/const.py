"""Constants of admission queues."""

from typing import Final

ORGANISATION_QUEUE_MAX: Final = 64
TOTAL_QUEUE_MAX: Final = 512
DEFERRABLE_ORGANISATION_QUEUE_MAX: Final = 1024
DEFERRABLE_QUEUE_MAX: Final = 4096
# Deferrable requests get at least this fraction of the pops while any wait.
DEFERRABLE_FRACTION: Final = 0.05
DEFAULT_WEIGHT: Final = 1.0
# Bounds how far an organisation whose requests were not eligible for a while
# gets ahead of the others afterwards, in requests at weight 1.
SKIPPED_LAG_MAX: Final = 4.0
RETRY_AFTER_S: Final = 0.5
DEFERRABLE_RETRY_AFTER_S: Final = 10.0
# The estimate falls faster than it rises, so it stays near the short service
# times and only requests that cannot succeed are dropped for their deadline.
SERVICE_TIME_RISE: Final = 0.01
SERVICE_TIME_FALL: Final = 0.1
# Removed items stay in the deadline heap until they outnumber the waiting ones.
STALE_DEADLINES_MIN: Final = 64
