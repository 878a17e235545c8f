"""Constants of following the configuration, and of asking others for it."""

from typing import Final

# A watch can stay silent although there are changes; when it ends it returns them. A
# configuration has to be in force within 2 s, so half of that is left for the rest.
WATCH_WAIT_MAX_S: Final = 1.0
# What others confirm is relied on for this time. They confirm it at intervals of 1.1 s
# at most while the store answers; the rest of the 2 s is left for a list of the keys.
CONFIRMATION_GAP_MAX_S: Final = 1.5
# An instance that waits for what others know checks this often whether it is complete.
CHECK_INTERVAL_S: Final = 0.05
# After this time a question counts as unanswered, and is repeated.
ANSWER_TIMEOUT_S: Final = 0.3
# An answer that is older than this is ignored.
ANSWER_VALID_S: Final = 1.0
# Instances that are asked at a time; any one that followed the store knows the answer.
QUERIES_MAX: Final = 24
# Declarations above this size do not fit into a frame between instances.
DECLARATION_MAX_BYTES: Final = 1_000_000
