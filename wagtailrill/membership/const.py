"""Constants of membership that no other package shares."""

from typing import Final

CELL_SIZE_LIMIT: Final = 24
# A granted lease ends at most this long after the coordinator's authority, which
# bounds what a new coordinator has to wait for.
LEASE_CAP_S: Final = 0.8
# Unanswered store calls count as failed after this time, so that outage mode starts
# before the store lease of 2.0 s runs out.
STORE_ANSWER_TIMEOUT_S: Final = 0.3
# At 3.0 s, 5,900 members stay below 2,000 reads a second when the store returns.
OUTAGE_PROBE_INTERVAL_S: Final = 3.0
# A coordinator that hears no majority for this long stops renewing its store lease,
# so that the larger side of a partition can take over within the 4 s budget.
MAJORITY_CONTACT_S: Final = 0.4
# Time that a new coordinator that never heard a majority keeps its store lease
# before it gives the other members a chance to take over.
MINORITY_TERM_S: Final = 6.0
# Members take turns by rank, so that usually one of them calls the store.
RANK_DELAY_S: Final = 0.06
RANK_DELAYS_MAX: Final = 12
# Members of the first ranks wait for the store lease to expire; the others follow
# only if none of these takes over.
WATCHING_RANKS: Final = 3
LATE_RANKS_WAIT_S: Final = 2.0
ELECTION_RETRY_S: Final = 0.5
WATCH_TIMEOUT_S: Final = 2.5
CONTROL_TICK_S: Final = 0.1
# The coordinator sends unasked after this silence; members report every 0.4 s.
UNASKED_AFTER_S: Final = 0.5
HEARTBEATS_REMEMBERED: Final = 8
LEAVE_TIMEOUT_S: Final = 8.0
GATE_POLL_S: Final = 0.05
