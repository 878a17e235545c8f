"""Constants of the spread of configurations."""

from typing import Final

# The name of this component's payloads on heartbeats.
PAYLOAD_NAME: Final = "configuration"
TICK_INTERVAL_S: Final = 0.1
# Two watchers in each of 246 cells make 328 calls/s of the store's 2,000. A watch
# whose answer is lost is given up after 2.0 s, which leaves 1 s of the 3 s within
# which a change has to be in force.
WATCH_TIMEOUT_S: Final = 1.5
WATCH_GIVE_UP_S: Final = 2.0
WATCH_RETRY_S: Final = 0.2
WATCH_RETRY_MAX_S: Final = 0.5
# A deputy watches for this long after a heartbeat that names it; it spans the
# takeover by another coordinator.
DEPUTY_S: Final = 4.0
# The deputy leaves the push to the coordinator unless that is still behind by then.
DEPUTY_PUSH_DELAY_S: Final = 0.5
# An instance that knows nothing first waits for the coordinator, then reads the store.
FIRST_READ_S: Final = 0.5
FIRST_READ_MAX_S: Final = 8.0
# A member that reports an old version is sent the text again after this time.
REPEAT_PUSH_S: Final = 0.3
VERSION_BYTES: Final = 8
# Without a notice of a coordinator that has read the store, a change may have been
# missed for this long; a new coordinator has 0.6 s after the takeover for its read.
CONFIRMED_MAX_AGE_S: Final = 2.8
