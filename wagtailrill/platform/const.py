"""Constants of the platform's HTTP protocol, see docs/platform-protocol.md."""

from typing import Final

KEYS_PATH: Final = "/v1/keys/"
LEASES_PATH: Final = "/v1/leases"
INSTANCES_PATH: Final = "/v1/instances"
DEFAULT_TIMEOUT_S: Final = 0.5
# A watch waits at the server for its own timeout; the answer needs time on top.
WATCH_MARGIN_S: Final = 1.0
# Base64 adds a third to a value of 1 MB, and the JSON around it a little.
MESSAGE_MAX_BYTES: Final = 2_000_000
CONNECTIONS_MAX: Final = 16
KEEPALIVE_S: Final = 30.0
