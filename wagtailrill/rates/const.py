"""Constants of the rate limits."""

from typing import Final

# Organisations are distributed over this many duties by a hash of their name.
SHARD_COUNT: Final = 6
# An instance requests tokens for the demand that it expects within this time.
DEMAND_LOOKAHEAD_S: Final = 0.25
DEMAND_DECAY_S: Final = 1.5
# Tokens that stay unused for longer are returned to their issuer.
UNUSED_TOKENS_MAX_AGE_S: Final = 1.0
# A request waits this long for a token before it falls back to the own share of the
# instance.
TOKEN_WAIT_S: Final = 0.08
WAITERS_MAX: Final = 256
# Just after the start of an instance the issuers may be starting, too: requests wait
# longer for a token, and the issuers are asked again after START_RETRY_S.
START_PERIOD_S: Final = 1.5
START_RETRY_S: Final = 0.05
# Pause before the next token request after one that got no answer.
NO_ANSWER_BACKOFF_S: Final = 0.15
# After a denial the next token request is sent when a token is due, but not earlier
# than this.
DENIAL_BACKOFF_MIN_S: Final = 0.05
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 2.0
# Shares of the bound that issuers may issue and that instances may admit without
# asking. The remainder covers requests that are delayed between their admission and
# their backend server.
ISSUED_BOUND_RATIO: Final = 0.86
OWN_SHARE_BOUND_RATIO: Final = 0.08
# Shares of the issued part, and of the own share of an instance, that may be used in
# one burst.
ISSUED_BURST_RATIO: Final = 0.08
# A burst can be issued twice per window: a new issuer starts with full buckets if no
# other issuer of the duty has done so for the window plus the time that unused tokens
# are kept. A store key that expires with its lease enforces this.
ISSUED_BURSTS_PER_WINDOW: Final = 2
FULL_START_GUARD_S: Final = 3.0
OWN_SHARE_BURST_RATIO: Final = 0.5
TICK_INTERVAL_S: Final = 0.2
