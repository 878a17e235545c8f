"""Constants of the peer protocol."""

from typing import Final

PROTOCOL_VERSION: Final = 1
# Oldest version that is accepted, for rolling upgrades.
OLDEST_PROTOCOL_VERSION: Final = 1
FRAME_MAX_BYTES: Final = 1_048_576
LENGTH_PREFIX_BYTES: Final = 4
MAC_BYTES: Final = 16
# Limits on the decoded size of a payload, as one of 10 bytes can declare a list of
# millions of empty elements, which takes seconds to decode. The base allows for long
# runs of zeros, such as in stored answers, which packing shrinks to a few bytes.
DECODED_WORDS_BASE: Final = 65_536
DECODED_WORDS_PER_BYTE: Final = 2
# Sender processes whose last sequence number is kept.
SENDERS_MAX: Final = 4096
LISTEN_BACKLOG: Final = 4_096
# Frames that wait for a connection or for room in its buffer; further ones are dropped.
SEND_QUEUE_MAX_FRAMES: Final = 1_024
# Queued frames are joined into writes of about this size, so that a long queue is not
# copied at once.
WRITE_MAX_BYTES: Final = 65_536
RECEIVE_BUFFER_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 0.5
RECONNECT_DELAY_S: Final = 0.1
ACKNOWLEDGE_INTERVAL_S: Final = 0.3
# A connection is closed when sent frames stay unacknowledged for this long.
ACKNOWLEDGE_TIMEOUT_S: Final = 1.0
ACKNOWLEDGEMENT: Final = b"\0"
