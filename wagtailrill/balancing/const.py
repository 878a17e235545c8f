"""Constants of balancing."""

from typing import Final

TICK_INTERVAL_S: Final = 0.1
# Latency assumed for a server that has not answered yet, so that it is tried early.
INITIAL_LATENCY_S: Final = 0.005
# Scores within about 10% count as equal, and the reported load decides.
SCORE_STEPS_PER_E: Final = 10.0
