"""Constants of copies of the store's contents."""

from typing import Final

# A waiting watch counts as one call, so it waits as long as the store allows.
WATCH_WAIT_S: Final = 25.0
# Changes that come in quick succession are fetched by one watch.
WATCH_PAUSE_S: Final = 0.1
RETRY_FIRST_S: Final = 0.1
RETRY_MAX_S: Final = 0.6
RETRY_GROWTH: Final = 2.0
