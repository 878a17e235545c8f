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
# What others confirm is relied on for this time after the store confirmed it to them,
# which they do at intervals of 1.6 s at most while the store answers.
CONFIRMATION_GAP_MAX_S: Final = 1.8
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
# The longest delay before a call is repeated, after the first failure and after many.
# The delay is drawn between zero and that, so that instances do not ask together. A
# lease has to be regained within a second after the store answers again.
BACKOFF_INITIAL_S: Final = 0.2
BACKOFF_GROWTH_RATIO: Final = 2.0
BACKOFF_MAX_S: Final = 0.9
# More failures do not change the delay; the bound keeps the power of two small.
BACKOFF_STEPS_MAX: Final = 10
# Repeated calls of all instances together, in reads per second. It is a few per cent of
# what the store serves when it is well.
FLEET_RETRIES_PER_S: Final = 4.0
# An instance of a large fleet still asks again within some minutes.
INSTANCE_RETRIES_MIN_PER_S: Final = 0.01
# Reads that an instance may repeat at once, as after a single failure.
RETRY_BURST: Final = 2.0
# A call waits for the budget no longer than this.
RETRY_WAIT_MAX_S: Final = 8.0
# A granter asks the store again this long after it was refused or got no answer.
STORE_RETRY_DELAY_S: Final = 0.25
# The store turns an instance away when so many calls in a row have failed, over this
# time: a reset of its connections alone fails several at once, and some answers may be
# lost while others come.
TURNED_AWAY_FAILURES: Final = 5
TURNED_AWAY_AFTER_S: Final = 0.3
# After so many failures in a row, an instance waits for its lease to be renewed, or for
# the reader to relay what the store holds.
FAILING_AFTER_FAILURES: Final = 2
# Calls that wait for the store resume within this time after it answers again.
RESUME_SPREAD_S: Final = 0.5
# After a time without the store, others tell again within this time which servers there
# are; only then an instance lists them itself.
RELAY_RETURN_S: Final = 1.5
# The same for mirrors, which a new reader lists first. An instance that hears nothing
# has them within 2 s of the store's return: with the longest delay of a lease that has
# ended, and `RESUME_SPREAD_S`.
MIRROR_RELAY_RETURN_S: Final = 0.6
# After an outage of the store or a restore from a copy, the operator and the running
# backend servers write their keys again within 2 s.
REWRITE_GRACE_S: Final = 2.3
# Removals that are remembered for others; who lacks older ones lists the keys.
REMOVALS_MAX: Final = 1_000
# The reader repeats a call for all others that is not answered within a multiple of the
# time that the last answer took, and within these bounds: the others wait for it.
ANSWER_TIME_MARGIN_RATIO: Final = 2.0
OVERDUE_AFTER_MIN_S: Final = 0.2
OVERDUE_AFTER_MAX_S: Final = 1.0
