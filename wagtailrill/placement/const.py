"""Constants of placement."""

from typing import Final

# Without an answer within this time an instance chooses by its own knowledge.
ANSWER_TIMEOUT_S: Final = 0.03
# Questions in a row without an answer, after which an instance chooses alone.
SILENT_ANSWERS_MAX: Final = 2
SILENCE_PAUSE_S: Final = 0.5
# An assignment whose end was not reported counts for so long after its deadline.
FORGET_AFTER_S: Final = 0.5
TICK_S: Final = 0.02
# Requests beyond the slots of a server, so that a slot does not wait for a message.
SPARE_MAX: Final = 1
# A request counts as late when less than its usual time, with this margin, is left
# until its target; it has then waited for some part of the target.
WORK_MARGIN: Final = 1.2
WAIT_PART_MIN: Final = 0.3
WAIT_PART_MAX: Final = 0.45
# Part of the servers' rate that late requests may reckon with at least.
SPARE_PART_MIN: Final = 0.05
RETRY_AFTER_MIN_S: Final = 0.15
RETRY_AFTER_MAX_S: Final = 1.0
