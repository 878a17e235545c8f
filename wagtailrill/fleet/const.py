"""Constants of the fleet."""

from typing import Final

# A lost instance's duties are free after this time.
LEASE_TTL_S: Final = 2.0
LEASE_RENEW_S: Final = 0.6
LEASE_RETRY_S: Final = 0.25
# A duty goes on without the store for this long after the lease, since an outage of
# the store lets nobody else take it either.
OUTAGE_AUTHORITY_S: Final = 8.0
# Clocks that count a lease run at most this part too fast or too slow.
CLOCK_RATE_BOUND: Final = 0.02
# An instance that vanished from the store may still run for this long.
VANISHED_COUNTS_S: Final = 12.0
# Instances that start together see each other before they take duties.
SETTLE_S: Final = 0.3
RANK_DELAY_S: Final = 0.2
# Work of a duty: one that places all requests of a service, or issues tokens of some
# organisations.
SERVICE_DUTY_WEIGHT: Final = 3
RATES_DUTY_WEIGHT: Final = 1
READER_DUTY_WEIGHT: Final = 1
DUTY_TICK_S: Final = 0.1
# After an outage in which leases ended, members register again within this time.
ABSENCE_GRACE_S: Final = 0.4
