"""Constants of key slot ownership."""

from typing import Final

from ..core.const import GRANT_DURATION_S, GRANT_RENEW_INTERVAL_S

GRANT_S: Final = GRANT_DURATION_S
RENEW_INTERVAL_S: Final = GRANT_RENEW_INTERVAL_S
# Longest time for which an order of a keyed service may run. It bounds how long a
# member may hold back its acknowledgement of a move.
ORDER_VALIDITY_S: Final = 1.5
# Allowed difference between the wall clocks of two hosts. It lengthens every wait for
# an absolute expiry.
WALL_CLOCK_ERROR_S: Final = 0.05
TICK_S: Final = 0.05
# Three of these and one renewal interval give the detection time of 1.15 s.
PROBE_TIMEOUT_S: Final = 0.25
PROBE_FAILURES: Final = 3
# A lost server is announced at this interval, and believed lost for `LOST_HOLD_S`, so
# that the announcement outlives a change of the probing member. The first ones follow
# each other quickly: a single lost message delayed the move by 0.4 s.
LOST_ANNOUNCE_INTERVAL_S: Final = 0.5
LOST_FIRST_ANNOUNCE_INTERVAL_S: Final = 0.1
LOST_FIRST_ANNOUNCEMENTS: Final = 3
LOST_HOLD_S: Final = 1.5
# A returned server gets key slots only after it was reachable for this long.
RETURN_DELAY_S: Final = 5.0
# A leaving server gets no new work after 3 s; its key slots move well before.
WITHDRAWN_GRACE_S: Final = 2.0
# Below this lease a grant or an order would end before it is of use.
LEASE_MARGIN_S: Final = 0.02

HOT_KEYS_MAX: Final = 230
# Counters kept per service; three times the hot keys keeps the sketch's error below
# the load of the last hot key.
SKETCH_KEYS: Final = 690
# A report has about 4 KB; at 15 s the coordinator of 12 members receives 3.3 KB/s per
# keyed service.
LOAD_REPORT_INTERVAL_S: Final = 15.0
LOAD_HALF_LIFE_S: Final = 20.0
# A report older than this does not count: its sender stopped or has no traffic.
LOAD_REPORT_MAX_AGE_S: Final = 40.0
# A key is promoted above this share of an average server's load and demoted below
# the lower one, so that a key at the border does not flap.
HOT_PROMOTE_SHARE: Final = 0.02
HOT_DEMOTE_SHARE: Final = 0.01

REBALANCE_INTERVAL_S: Final = 10.0
REBALANCE_MOVES_MAX: Final = 64
# Rebalancing starts outside the outer band and ends inside the inner one.
IMBALANCE_HIGH: Final = 1.10
IMBALANCE_LOW: Final = 0.85
BALANCED_HIGH: Final = 1.04
BALANCED_LOW: Final = 0.95
SLOT_COUNT_EXCESS: Final = 1.1
# Requests/s per server from which measured loads say more than their noise: at 1 the
# noise moves 4 slots per interval, at 4 it moves 2 and the imbalance falls below 1.15.
LOAD_MODE_RATE_PER_SERVER: Final = 5.0
CAPACITY_MODE_RATE_PER_SERVER: Final = 2.5
# Share of the mean key slot load that an idle key slot counts for.
IDLE_SLOT_SHARE: Final = 0.1
