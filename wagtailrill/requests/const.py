"""Constants of requests."""

from typing import Final

# A backend server needs this long for any answer; less time left is not worth sending.
USEFUL_TIME_MIN_S: Final = 0.02
RETRY_AFTER_S: Final = 0.3
# Another instance can take the request at once.
DRAINING_RETRY_AFTER_S: Final = 0.05
# A request whose key has no owner is refused after this part of its target latency.
WAIT_PART_OF_TARGET: Final = 0.5
WAIT_TICK_S: Final = 0.06
MISDIRECTED_PAUSE_S: Final = 0.1
# Deferrable requests over their organisation's rate ask for a token this often.
DEFERRED_RETRY_S: Final = 1.0
