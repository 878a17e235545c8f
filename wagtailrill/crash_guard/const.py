"""Constants of the crash guard."""

from typing import Final

BLOCK_S: Final = 600.0
CRASHES_IDEMPOTENT_MAX: Final = 2
CRASHES_OTHER_MAX: Final = 1
# The caller's error answer waits this long for all members to know the suspect.
NOTICE_TIMEOUT_S: Final = 0.1
SUSPECTS_MAX: Final = 10_000
EXPIRY_INTERVAL_S: Final = 5.0
