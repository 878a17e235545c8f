"""Limits of the log output."""

from typing import Final

# Lines buffered while standard output does not accept more; later ones are dropped.
LOG_BUFFER_MAX_BYTES: Final = 262_144
# Rate and burst of lines with the same event name; suppressed lines are counted in the
# next line of that name.
LINES_PER_KIND_PER_S: Final = 40
LINES_PER_KIND_BURST: Final = 200
FLUSH_RETRY_INTERVAL_S: Final = 0.1
