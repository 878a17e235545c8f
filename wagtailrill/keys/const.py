"""Constants of key ownership."""

from typing import Final

KEY_POSITIONS: Final = 65_536
# Covers a member lease of 2.0 s, the takeover of the duty and one renewal, so that a
# lost granter's successor renews the grants before they end.
GRANT_DURATION_S: Final = 3.6
GRANT_RENEWAL_INTERVAL_S: Final = 0.7
GRANT_RETRY_INTERVAL_S: Final = 0.25
RELEASE_RETRY_INTERVAL_S: Final = 0.5
# Backend servers' clocks may run slow by up to this ratio.
SERVER_CLOCK_DRIFT_MAX_RATIO: Final = 0.02
GRANT_MARGIN_S: Final = 0.05
# An owner counts as lost after this many failed grants in a row, provided that it has
# answered nothing else for `OWNER_SILENCE_MAX_S`.
GRANT_FAILURES_MAX: Final = 2
OWNER_SILENCE_MAX_S: Final = 1.0
OWNER_RETRY_DELAY_S: Final = 4.0
# Concurrent grant calls to one server: each needs a connection of its own.
GRANT_CALLS_PER_SERVER_MAX: Final = 2
# Parts of the key space that are assigned to servers one by one, so that busy keys,
# which lie close to one another, are spread over several servers.
STRIPE_COUNT: Final = 128
STRIPE_POSITIONS: Final = KEY_POSITIONS // STRIPE_COUNT
# The very first assignment waits until no server has joined for this time.
FIRST_ASSIGNMENT_QUIET_S: Final = 1.5
FIRST_ASSIGNMENT_WAIT_MAX_S: Final = 5.0
TICK_INTERVAL_S: Final = 0.05
PLAN_INTERVAL_S: Final = 0.3
# Time constants of the exponentially decayed request rates. Over the long one, the
# load of a server with some requests per second is known to about 15%; the recent rate
# replaces it where the load has changed. The fast rate detects a key that has become
# hot, once enough requests for it have come.
USAGE_LONG_TIME_CONSTANT_S: Final = 6.0
USAGE_RECENT_TIME_CONSTANT_S: Final = 1.5
USAGE_FAST_TIME_CONSTANT_S: Final = 0.4
USAGE_FAST_REQUESTS_MIN: Final = 5.0
# A load has changed if recent requests differ from the expected ones by this many
# standard deviations, plus one request: 128 stripes are compared several times each
# second.
USAGE_CHANGE_DEVIATIONS: Final = 4.0
USAGE_CHANGE_REQUESTS: Final = 1.0
# While a load rises, its fast rate is too low as well: by this ratio 0.5 s after a
# step.
USAGE_RISE_RATIO: Final = 1.4
# Positions with a lower rate are dropped from the usage table.
USAGE_RATE_MIN_PER_S: Final = 0.02
ANNOUNCE_INTERVAL_S: Final = 1.0
# Minimum time between updates: members use the published routes only while the granter
# does not answer them.
PUBLISH_INTERVAL_S: Final = 1.0
# After this time without a message from the granter, the table is read from the store.
GRANTER_SILENCE_MAX_S: Final = 2.5
SILENCE_CHECK_INTERVAL_S: Final = 0.2
