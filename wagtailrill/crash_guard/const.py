"""Limits and intervals of the crash guard."""

from typing import Final

# A request that has crashed this many backend servers is no longer sent.
CRASHES_MAX: Final = 3
BLOCK_DURATION_S: Final = 600.0
SUSPECTS_MAX: Final = 10_000
# A server whose process ends within this time after a lost request has crashed.
CRASH_DETECTION_WINDOW_S: Final = 6.0
TICK_INTERVAL_S: Final = 0.5
