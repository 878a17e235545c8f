"""Constants of the HTTP side."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 0.5
CONTROL_TIMEOUT_S: Final = 0.25
# Network devices between two hosts forget connections that are idle for minutes.
CONNECTION_IDLE_MAX_S: Final = 10.0
RESPONSE_MAX_BYTES: Final = 8_388_608
CLEANUP_INTERVAL_S: Final = 0.25
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Requests of one connection that are run at the same time.
PIPELINE_MAX: Final = 32
# A connection is not used for the last part of the time that its peer keeps it open.
KEEP_ALIVE_MARGIN_S: Final = 0.7
# Dead connections show within about three seconds: first probe, interval, probes.
TCP_KEEP_ALIVE_IDLE_S: Final = 1
TCP_KEEP_ALIVE_INTERVAL_S: Final = 1
TCP_KEEP_ALIVE_PROBES: Final = 2
# Sent bytes that stay unacknowledged this long end the connection.
TCP_USER_TIMEOUT_MS: Final = 1500
