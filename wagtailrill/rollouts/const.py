"""Constants of roll-outs."""

from typing import Final

# The decider looks at the evidence and grants exposure, and dispatchers report it, in
# this interval; what was placed in it is what a lost decider or dispatcher can cost.
DECIDER_TICK_S: Final = 0.1
SAMPLES_INTERVAL_S: Final = 0.2
# The exposure ends when the decider has been silent for this long: a pause of the
# decider beyond it would delay a roll-back.
GRANT_VALID_S: Final = 1.0
# A grant covers the requests of this time, so that a lost dispatcher wastes few.
GRANT_AHEAD_S: Final = 0.5
GRANT_AHEAD_MIN: Final = 4
STORE_RETRY_S: Final = 0.3
# Attempts at the old version that an instance reports at most per message; attempts at
# the version under test are never left out.
OLD_SAMPLES_MAX: Final = 60
SAMPLES_MAX: Final = 400
# What is allowed is used within about this time, at no less than this pace.
USE_ALLOWED_IN_S: Final = 1.0
PACE_MIN: Final = 0.02
# Servers under test, so that a few slow machines do not stand for the version. Requests
# of the old version, too, find fast servers free.
CANARY_SERVERS_MIN: Final = 8
SPARE_RATIO: Final = 2.0
CANARY_OWNERS_MIN: Final = 4
# In a keyed service the share of the requests follows from the keys that the servers
# under test have: their number changes by this ratio while less or more than these
# parts of the allowed requests go there.
SERVERS_GROWTH_RATIO: Final = 1.5
SERVERS_RATIO_MAX: Final = 20.0
SERVERS_CHANGE_INTERVAL_S: Final = 0.7
USED_MIN_RATIO: Final = 0.5
USED_MAX_RATIO: Final = 0.9

# Parts of the ordered time: when the canary phase ends, and when it ends at the latest
# although some evidence is pending or there are too few answers.
PROMOTE_FROM_RATIO: Final = 0.62
DECIDE_BY_RATIO: Final = 0.85
# Requests at the old version end and its keys move during the promotion.
PROMOTION_RATIO: Final = 0.08
PROMOTION_MIN_S: Final = 1.0
# The promotion lasts until then at the latest while some evidence is pending.
COMPLETE_BY_RATIO: Final = 0.92
# Judged answers of the target that a promotion needs.
ANSWERS_MIN: Final = 20
# Enough from DECIDE_BY_RATIO on, as at low rates no more come in the ordered time.
FEW_ANSWERS_MIN: Final = 5
# The promotion waits until the new servers have this share of the old ones' warm slots.
WARM_SLOTS_RATIO: Final = 0.5

# Weight of the duty among those of an instance.
ROLLOUT_DUTY_WEIGHT: Final = 1
