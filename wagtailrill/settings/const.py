"""Defaults and bounds of the instance settings, which the parser applies."""

from typing import Final

SETTINGS_MAX_BYTES: Final = 65_536
STORE_ADDRESSES_MAX: Final = 8
# Two secrets are in use during a rotation; many more are an oversight.
PEER_SECRETS_MAX: Final = 4
PEER_SECRET_MIN_CHARACTERS: Final = 32

DEFAULT_CELL: Final = "cell-1"
DEFAULT_TRACE_SAMPLE_RATIO: Final = 0.01
DEFAULT_DRAIN_S: Final = 30.0
DRAIN_MAX_S: Final = 600.0
# For this long the load balancer still opens connections to a draining instance.
DEFAULT_LOAD_BALANCER_LAG_S: Final = 5.0
LOAD_BALANCER_LAG_MAX_S: Final = 120.0
DEFAULT_STORE_TIMEOUT_S: Final = 0.5
STORE_TIMEOUT_MAX_S: Final = 10.0

# Bytes between data centres count as time at this rate when a server is chosen.
DEFAULT_REMOTE_BYTES_PER_S: Final = 100_000.0
REMOTE_BYTES_PER_S_MAX: Final = 1e12

DEFAULT_BODY_MAX_BYTES: Final = 1_048_576
DEFAULT_RESPONSE_MAX_BYTES: Final = 8_388_608
DEFAULT_BODY_MEMORY_BYTES: Final = 134_217_728
DEFAULT_HEADER_MAX_BYTES: Final = 32_768
DEFAULT_QUEUE_MAX_REQUESTS: Final = 2_000
DEFAULT_DEFERRABLE_QUEUE_MAX_REQUESTS: Final = 10_000
DEFAULT_CALLER_CONNECTIONS_MAX: Final = 4_096
BODY_MAX_BYTES_BOUND: Final = 67_108_864
BODY_MEMORY_BYTES_LOWER_BOUND: Final = 1_048_576
BODY_MEMORY_BYTES_BOUND: Final = 1_099_511_627_776
HEADER_MAX_BYTES_BOUND: Final = 262_144
HEADER_MAX_BYTES_LOWER_BOUND: Final = 1_024
QUEUE_MAX_REQUESTS_BOUND: Final = 1_000_000
CALLER_CONNECTIONS_MAX_BOUND: Final = 65_536
