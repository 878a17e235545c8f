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
# A waiting request is refused when it could not start within this part of its target.
WAIT_PART: Final = 0.45
WORK_INITIAL_S: Final = 0.15
WORK_WEIGHT: Final = 0.03
REPORT_AGE_S: Final = 0.6
SAMPLE_INTERVAL_S: Final = 0.15
SAMPLES_MAX: Final = 31
# A server that has not answered yet counts as this much faster, so that it is tried.
UNKNOWN_PART: Final = 0.3
FAILURE_WEIGHT: Final = 0.15
FAILURE_DECAY_S: Final = 1.5
# A server that cannot be reached is left alone this long, doubled each time.
SUSPECT_FIRST_S: Final = 0.4
SUSPECT_MAX_S: Final = 3.0
DISTANT_PART: Final = 0.12
RETRY_AFTER_MIN_S: Final = 0.15
RETRY_AFTER_MAX_S: Final = 1.0
