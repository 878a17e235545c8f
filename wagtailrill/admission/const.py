"""Constants of admission control."""

from typing import Final

# A request counts as late when the time left until its target is less than the usual
# request time multiplied by this margin, but not before it has waited for
# LATE_WAIT_RATIO_MIN of its target, and at the latest after LATE_WAIT_RATIO_MAX of it.
REQUEST_TIME_MARGIN_RATIO: Final = 1.2
LATE_WAIT_RATIO_MIN: Final = 0.3
LATE_WAIT_RATIO_MAX: Final = 0.45
# A request goes before one of the next lower priority that gets late up to this much
# earlier. More would let urgent requests hold back the others until these are late.
PRIORITY_STEP_S: Final = 0.3
# Late requests are assumed to get at least this share of the servers' total rate.
SPARE_RATE_RATIO_MIN: Final = 0.05
RETRY_AFTER_MIN_S: Final = 0.15
# Rejected callers are told to come back within this time, so that capacity which
# returns is in use soon; they follow it up to this part of the time they have left.
RETURN_HORIZON_S: Final = 2.0
CALLER_WAIT_RATIO: Final = 1 / 3
# Part of the rate at which slots get free that is given out to callers that come back;
# the rest is for those that come for the first time.
RETURN_SHARE: Final = 0.5
RETURN_JITTER_RATIO: Final = 0.5
# How long a service stays closed is not known; callers ask again after this time.
OUT_OF_SERVICE_RETRY_AFTER_S: Final = 1.0
# How long a key stays without an owner is known: after a restore of the store, up to
# 10 s until no predecessor may act, and 4.1 s until its grants have ended.
UNOWNED_RETRY_AFTER_MAX_S: Final = 15.0
