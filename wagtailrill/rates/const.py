"""Constants of rates."""

from typing import Final

# Organisations are spread over this many duties.
SHARDS: Final = 6
# A holder asks for what it needs for this long.
AHEAD_S: Final = 0.25
DEMAND_DECAY_S: Final = 1.5
# Tokens that are not used go back after this time.
TOKENS_KEPT_S: Final = 1.0
# A request waits this long for a token before the instance's own share is used.
WAIT_S: Final = 0.08
WAITERS_MAX: Final = 256
# After a question without an answer the next one waits this long.
SILENCE_PAUSE_S: Final = 0.4
# After a denial the next question waits until a token is due, at least this long.
DENIAL_PAUSE_S: Final = 0.05
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 2.0
# Parts of the bound that issuers and, without asking, instances may use. The rest is
# for requests that are delayed between their admission and their server.
ISSUED_PART: Final = 0.86
OWN_PART: Final = 0.08
# Parts of what is issued, and of an instance's share, that may be used at once.
ISSUED_BURST_PART: Final = 0.08
# A new issuer may start with full buckets if none has done so for the window and the
# time that tokens are kept, by a key of the store that ends with its lease.
ISSUED_BURSTS: Final = 2
FULL_START_GUARD_S: Final = 3.0
OWN_BURST_PART: Final = 0.5
TICK_S: Final = 0.2
