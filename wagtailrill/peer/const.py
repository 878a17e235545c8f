"""Constants of the peer protocol."""

from typing import Final

PROTOCOL_VERSION: Final = 1
# Oldest version that a member still understands during a rolling replacement.
OLDEST_PROTOCOL_VERSION: Final = 1
FRAME_MAX_BYTES: Final = 1_048_576
FRAME_LENGTH_BYTES: Final = 4
AUTHENTICATOR_BYTES: Final = 16
# A payload of 10 bytes can name a list of millions of empty elements, which takes
# seconds to decode. The base leaves room for long runs of zeros, such as in stored
# answers, which shrink to a few bytes when packed.
DECODED_WORDS_BASE: Final = 65_536
DECODED_WORDS_PER_BYTE: Final = 2
# Sender processes remembered for sequence checks.
SENDERS_MAX: Final = 4096
