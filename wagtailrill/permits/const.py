"""Constants of the permit protocol."""

from typing import Final

FIRST_MESSAGE_NUMBER: Final = 60
RESOURCE_KIND: Final = "backend_server"
TICK_INTERVAL_S: Final = 0.05
# Waiting requests named in one report; the home needs only the next few of each
# holder to decide, and reports stay under 1 KB.
REPORTED_WAITING_MAX: Final = 12
# More than the 65,536 slots or connections that a server can have are never granted
# at once; a malformed total would keep the holder busy counting up to it.
GRANTED_AT_ONCE_MAX: Final = 65_536
# A home queue length older than this says nothing about the present.
QUEUE_LENGTH_VALID_S: Final = 1.0
# Age reported for a start id that the holder knows only from the home.
NEVER_SEEN_AGE_S: Final = 1e9
# Two holders notice the same restart this far apart at most.
RESTART_REPORTS_SPREAD_S: Final = 2.0
# A probe is reported at once when it shows a longer uptime than known by this much.
UPTIME_NEWS_S: Final = 1.0
