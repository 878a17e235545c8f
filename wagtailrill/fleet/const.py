"""Constants of the fleet's membership and duties."""

from typing import Final

# The duties of a lost instance become vacant after this time.
LEASE_TTL_S: Final = 2.0
LEASE_RENEW_INTERVAL_S: Final = 0.6
# The longest delay before the lease is tried again, until REREGISTRATION_GRACE_S after
# its end; the delay is drawn between zero and that.
LEASE_RETRY_MAX_S: Final = 0.4
# The delay later. The lease is regained within a second after the store serves this
# instance again, and until then the tries cost no more than renewals.
ENDED_LEASE_RETRY_MIN_S: Final = 0.35
ENDED_LEASE_RETRY_MAX_S: Final = 0.9
# During an outage of the store a holder keeps its duties for this long after its lease
# ended, since no other instance can take them either.
OUTAGE_DUTY_EXTENSION_S: Final = 8.0
# The clocks that time a lease deviate from real time by at most this ratio.
CLOCK_DRIFT_MAX_RATIO: Final = 0.02
# Longest time, on the clock of a successor, for which a holder acts after its lease
# ended, and after it last renewed it. The successor's clock may be fast and the
# holder's slow.
CLOCK_RATE_RATIO_MAX: Final = (1.0 + CLOCK_DRIFT_MAX_RATIO) / (
    1.0 - CLOCK_DRIFT_MAX_RATIO
)
ENDED_HOLDER_MAX_S: Final = OUTAGE_DUTY_EXTENSION_S * CLOCK_RATE_RATIO_MAX
UNKNOWN_HOLDER_MAX_S: Final = (
    LEASE_TTL_S + OUTAGE_DUTY_EXTENSION_S
) * CLOCK_RATE_RATIO_MAX
# An instance whose key vanished from the store may still run for this long.
VANISHED_MEMBER_RETENTION_S: Final = 12.0
# The fleet's secret and former ones, whose frames are accepted for a while longer.
SECRETS_MAX: Final = 3
# Instances that start together see each other's keys before they take duties.
START_SETTLE_S: Final = 0.3
# An instance waits this long for each instance that is preferred for a vacant duty.
RANK_DELAY_S: Final = 0.2
# Relative load of a duty: one that places all requests of a service or grants its keys,
# one that issues rate limit tokens for a group of organisations, and one that reads
# the server list.
SERVICE_DUTY_WEIGHT: Final = 3
RATES_DUTY_WEIGHT: Final = 1
READER_DUTY_WEIGHT: Final = 1
DUTY_TICK_S: Final = 0.1
# Where every duty has a live holder elsewhere, only a change of the members, which is
# told at once, can make one vacant.
SETTLED_DUTY_TICK_S: Final = 0.5
# After an outage in which leases ended, members register again within this time.
REREGISTRATION_GRACE_S: Final = 0.4
# After a restore of the store, holders write their entries again within this time.
RESTORE_SETTLE_S: Final = 1.0
# The list of earlier holders is removed again if it is still there after this time.
FORGET_INTERVAL_S: Final = 2.0
# An announcement is repeated to instances that have not answered it.
ANNOUNCEMENT_INTERVAL_S: Final = 0.3
