"""Constants of backend servers."""

from typing import Final

# One instance reads the entries for all; the others ask it, and read themselves when
# what they know is older than the age below.
LIST_INTERVAL_S: Final = 0.45
POLL_INTERVAL_S: Final = 0.5
FALLBACK_AGE_S: Final = 1.4
RELAY_TICK_S: Final = 0.05
LIST_RETRY_S: Final = 0.3
# After an outage of the store, servers that live write their entries again within
# this time; entries that are still missing then are gone.
RETURN_GRACE_S: Final = 2.3
# The bound counts any second; clocks and delays differ a little.
COLD_WINDOW_S: Final = 1.08
# Part of the fleet's allowance for a cold server that is handed out.
COLD_ALLOWANCE_PART: Final = 0.9
# The address of a server whose entry has ended is kept for this long.
GONE_KEPT_S: Final = 15.0
# Requests for keys of a leaving server stop so long after its leaving is known here,
# which may be 1.45 s after the store has it; nothing may reach it 2 s after that.
LEAVING_USED_S: Final = 0.5
# A server that may have started again counts as cold this long, if its service does not
# declare for how long servers stay cold, and this much longer.
DOUBT_S: Final = 2.0
DOUBT_MARGIN_S: Final = 1.0
WORK_INITIAL_S: Final = 0.15
WORK_STEP: Final = 0.02
REPORT_AGE_S: Final = 0.6
SAMPLE_INTERVAL_S: Final = 0.15
SAMPLES_MAX: Final = 31
# A server may be slow without reporting it; what is seen of it is kept for so long.
UNREPORTED_WEIGHT: Final = 0.12
UNREPORTED_DECAY_S: Final = 4.0
UNREPORTED_MIN: Final = 0.3
UNREPORTED_MAX: Final = 30.0
# A server that has not answered yet counts as this much faster, so that it is tried.
UNKNOWN_PART: Final = 0.3
FAILURE_WEIGHT: Final = 0.15
FAILURE_DECAY_S: Final = 1.5
# A server that cannot be reached is left alone this long, doubled each time.
SUSPECT_FIRST_S: Final = 0.4
SUSPECT_MAX_S: Final = 3.0
DISTANT_PART: Final = 0.12
# A failure costs about this many times the time of a request.
FAILURE_COST: Final = 3.0
SLOWNESS_MIN: Final = 0.05
DEMAND_DECAY_S: Final = 1.0
