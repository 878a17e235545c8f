"""Constants of the engine."""

from typing import Final

# Attempts of the leaving table write before a planned stop goes on without it.
LEAVE_TIMEOUT_S: Final = 5.0
DRAIN_CHECK_INTERVAL_S: Final = 0.05
