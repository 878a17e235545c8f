"""Defaults and bounds of the services declaration."""

from typing import Final

KEY_SLOT_COUNT: Final = 1024
DEFAULT_TIMEOUT_S: Final = 2.0
DEFAULT_DEFERRABLE_TIMEOUT_S: Final = 120.0
DEFAULT_SLOW_START_SLOTS: Final = 1
DEFAULT_SLOW_START_STEP_S: Final = 2.0
DEFAULT_WEIGHT: Final = 1.0
