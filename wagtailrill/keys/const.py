"""Constants of key ownership."""

from typing import Final

KEY_POSITIONS: Final = 65_536
# A lost granter's successor renews the grants before they end: the member lease of
# 2.0 s, the takeover and one renewal fit into this time.
GRANT_S: Final = 3.6
GRANT_RENEW_S: Final = 0.7
GRANT_RETRY_S: Final = 0.25
RELEASE_RETRY_S: Final = 0.5
STORE_RETRY_S: Final = 0.25
# Backend servers' clocks may run this part slow.
SERVER_CLOCK_BOUND: Final = 0.02
GRANT_MARGIN_S: Final = 0.05
# An owner counts as lost after so many failed grants in a row, if it has answered
# nothing else for the time below.
GRANT_FAILURES_MAX: Final = 2
OWNER_SILENT_S: Final = 1.0
OWNER_RETRY_S: Final = 4.0
# Grants to one server at a time: each needs a connection of its own.
CALLS_MAX: Final = 2
# Positions that lie side by side are given out in stripes, since busy keys lie close
# to one another.
STRIPES: Final = 128
# The very first assignment waits until no server has joined for so long.
SETTLE_S: Final = 1.5
SETTLE_MAX_S: Final = 5.0
TICK_S: Final = 0.05
PLAN_INTERVAL_S: Final = 0.3
USAGE_DECAY_S: Final = 1.5
# A key that has become hot is seen after so long, if enough requests for it came.
USAGE_FAST_DECAY_S: Final = 0.4
FAST_SAMPLES_MIN: Final = 5.0
# Lower rates of a position are forgotten, in requests/s.
USAGE_RATE_MIN: Final = 0.02
ANNOUNCE_INTERVAL_S: Final = 1.0
# Members use routes only while the granter does not answer them.
PUBLISH_INTERVAL_S: Final = 1.0
# Without word of the granter for so long, the table is read from the store.
SILENCE_S: Final = 2.5
