"""Constants of the local mirrors of store keys, and of restores of the store."""

from typing import Final

# A watch can stay silent although there are changes; when it ends it returns them. The
# leases of instances last as long, and the others have to learn that one has ended.
WATCH_WAIT_MAX_S: Final = 2.0
# An instance that others tell what the store last confirmed to them need not ask the
# store itself as often: its watches wait this long.
CONFIRMED_WATCH_WAIT_S: Final = 20.0
# Others count as telling it reliably after this time without a gap.
CONFIRMATIONS_TRUSTED_AFTER_S: Final = 1.0
# Two confirmations in a row may be lost before the store is asked again.
CONFIRMATION_GAP_MAX_S: Final = 1.2
# A watch returns a change of which others know already within this time.
CHANGE_ARRIVES_WITHIN_S: Final = 0.1
# The waits of an instance that confirms to others are shorter by this.
LEADING_WAIT_RATIO: Final = 0.5
# The pause collects changes in quick succession, so that one watch returns them.
WATCH_PAUSE_S: Final = 0.1
# Each change of the fleet's keys ends the watches of all instances. The pause of the
# fleet's mirror grows with their number, so that a start of all costs few calls.
WATCH_PAUSE_PER_MEMBER_S: Final = 0.002
FLEET_WATCH_PAUSE_MAX_S: Final = 0.5
RETRY_INITIAL_S: Final = 0.1
RETRY_MAX_S: Final = 0.6
RETRY_GROWTH_RATIO: Final = 2.0
# After an outage of the store or a restore from a copy, the operator and the running
# backend servers write their keys again within 2 s.
REWRITE_GRACE_S: Final = 2.3
