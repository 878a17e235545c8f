"""Limits, delays and ratios of request handling."""

from typing import Final

# A backend server needs this long for any answer; with less time left, sending a
# request is of no use.
TIME_LEFT_MIN_S: Final = 0.02
RETRY_AFTER_S: Final = 0.3
# A fault hits many callers at once; they come back spread by this part of the time.
RETRY_SPREAD_RATIO: Final = 0.5
# Another instance can take the request at once.
DRAINING_RETRY_AFTER_S: Final = 0.05
# At most this part of its target latency a request waits for an issuer that starts.
TOKEN_WAIT_TARGET_RATIO: Final = 0.4
# A request whose key has no owner is refused after this part of its target latency.
KEY_WAIT_TARGET_RATIO: Final = 0.5
PLACEMENT_RETRY_INTERVAL_S: Final = 0.06
MISDIRECTED_RETRY_DELAY_S: Final = 0.1
# Deferrable requests over their organisation's rate ask for a token at most this often.
DEFERRED_RETRY_MIN_S: Final = 1.0
# The end of a cancelled attempt is reported in the next iteration of the event loop;
# this limits the wait for it if the process is slow.
CANCEL_REPORT_MAX_S: Final = 0.1
