"""Constants of the limits."""

from typing import Final

from ..core.const import CLOCK_RATE_BOUND

# Shares are whole numbers of this fraction, so that sums are exact.
SHARE_UNITS: Final = 1_000_000_000
TOKEN_UNITS: Final = 1_000_000
FILL_FACTOR: Final = 1.0 - CLOCK_RATE_BOUND
CELL_MEMBERS_MAX: Final = 24

WAIT_MAX_S: Final = 0.05
WAITERS_MAX: Final = 256
TICK_INTERVAL_S: Final = 0.5
COLLECT_INTERVAL_S: Final = 0.1
IDLE_AFTER_S: Final = 2.0
# A report or its answer was probably lost when no answer came for so long.
ASK_TIMEOUT_S: Final = 0.03
# A denied holder asks again after the first, then after twice the time.
ASK_BACKOFF_MIN_S: Final = 0.02
ASK_BACKOFF_MAX_S: Final = 0.32
# Recalls that bring nothing back are repeated less and less often.
RECALL_WAIT_S: Final = 0.02
RECALL_INTERVAL_MAX_S: Final = 0.64
RETRY_AFTER_MIN_S: Final = 0.1
RETRY_AFTER_MAX_S: Final = 5.0
# Bounds the periodic messages of a node whatever the number of organisations.
REPORTED_ACCOUNTS_MAX: Final = 24

FAST_TIME_CONSTANT_S: Final = 0.5
SLOW_TIME_CONSTANT_S: Final = 3.0
# A difference of the averages beyond this number of standard deviations of a
# Poisson stream is a jump.
DEMAND_JUMP_DEVIATIONS: Final = 3.0
# Demand that differs less from the reported one is not reported again.
DEMAND_CHANGE: Final = 0.2
DEMAND_CHANGE_DEVIATIONS: Final = 1.5

# Total of the shares that are lent in advance to a full cell.
PREPLACED_RATE: Final = 0.05
PREPLACED_BURST: Final = 0.25
# What the home does not lend for demand, so that it can lend tokens at once.
RESERVED_RATE: Final = 0.05
RESERVED_BURST: Final = 0.4
RATE_HEADROOM_MAX: Final = 1.1
# Smaller shares lose more tokens to full buckets than they save messages.
SHARED_TOKENS_MIN: Final = 16.0
RAISE_BELOW: Final = 0.9
LOWER_ABOVE: Final = 1.15
# A holder that asks gets tokens in advance: for this much of its demand, or this
# fraction of the reserve's tokens if that is more.
LEND_AHEAD_S: Final = 0.1
LEND_AHEAD_FRACTION: Final = 0.1
# A holder that is recalled keeps tokens for this much of its demand.
KEEP_AHEAD_S: Final = 0.2
