"""Constants of backend servers."""

from typing import Final

LIST_INTERVAL_S: Final = 0.9
LIST_RETRY_S: Final = 0.3
# After an outage of the store, servers that live write their entries again within
# this time; entries that are still missing then are gone.
RETURN_GRACE_S: Final = 2.3
TICK_INTERVAL_S: Final = 0.1
# The bound counts any second; clocks and delays differ a little.
COLD_WINDOW_S: Final = 1.08
# Part of the fleet's allowance for a cold server that is handed out.
COLD_ALLOWANCE_PART: Final = 0.9
# The address of a server whose entry has ended is kept for this long.
GONE_KEPT_S: Final = 15.0
