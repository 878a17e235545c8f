"""Constants of placement."""

from typing import Final

# An instance that gets no answer from the dispatcher within this time chooses a
# server itself.
ANSWER_TIMEOUT_S: Final = 0.03
# After this many timeouts in a row an instance chooses the servers itself during
# LOCAL_CHOICE_PERIOD_S, without asking the dispatcher.
CONSECUTIVE_TIMEOUTS_MAX: Final = 2
LOCAL_CHOICE_PERIOD_S: Final = 0.5
# An assigned request whose end was not reported still counts for this long after its
# deadline.
UNREPORTED_END_GRACE_S: Final = 0.5
# For this long after a change of the dispatcher its requests tell it what costs the
# sender knows; by then it has seen most routes itself.
NEW_DISPATCHER_PERIOD_S: Final = 10.0
TICK_INTERVAL_S: Final = 0.02
# The cost of a server without events is estimated again after this time.
COST_REFRESH_INTERVAL_S: Final = 0.2
# A server keeps its place in the order while its cost changes by less; estimates are
# not that exact, and moving it takes most of the time of an update.
COST_TOLERANCE_RATIO: Final = 0.01
# A request that has run for longer than its expected work has about this part of it
# left, as requests with long tails are among them.
REMAINING_WORK_RATIO_MIN: Final = 0.3
# Requests with a particular choice of servers that are tried when a slot is free.
PLACEMENTS_TRIED_MAX: Final = 8
# Requests that a key's owner gets beyond its slots, so that a slot that becomes free
# need not wait for a message to the dispatcher and back.
OVERCOMMIT_REQUESTS_MAX: Final = 1
# Owners that need longer for a request get none beyond their slots: the message takes
# some milliseconds, while the request would wait there for as long as a slot is busy,
# behind requests that are late by then.
OVERCOMMIT_WORK_MAX_S: Final = 0.2
