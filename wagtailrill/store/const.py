"""Constants of the local mirrors of store keys."""

from typing import Final

# Each watch is a call to the store; the longest wait it allows makes the fewest calls.
WATCH_WAIT_MAX_S: Final = 25.0
# The pause collects changes in quick succession, so that one watch returns them.
WATCH_PAUSE_S: Final = 0.1
RETRY_INITIAL_S: Final = 0.1
RETRY_MAX_S: Final = 0.6
RETRY_GROWTH_RATIO: Final = 2.0
