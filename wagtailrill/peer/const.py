"""Constants of the peer protocol."""

from typing import Final

PROTOCOL_VERSION: Final = 1
# Oldest version that a member still understands during a rolling replacement.
OLDEST_PROTOCOL_VERSION: Final = 1
FRAME_MAX_BYTES: Final = 1_048_576
FRAME_LENGTH_BYTES: Final = 4
AUTHENTICATOR_BYTES: Final = 16
# Sender processes remembered for sequence checks.
SENDERS_MAX: Final = 4096
