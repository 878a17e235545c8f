"""Constants of discovery, load estimates and warm-up of backend servers."""

from typing import Final

# One instance, the reader, lists the entries in the store for all; the others poll it,
# and list them themselves when their copy is older than `ENTRIES_AGE_MAX_S`.
LIST_INTERVAL_S: Final = 0.45
POLL_INTERVAL_S: Final = 0.5
POLL_JITTER_RATIO: Final = 0.1
ENTRIES_AGE_MAX_S: Final = 1.4
RELAY_TICK_S: Final = 0.05
# Larger changes, such as a configuration with many routes, are read from the store by
# each instance: one reader that sent them to all would fill the link of its machine.
RELAYED_VALUES_MAX_BYTES: Final = 8_192
# An instance that has asked within this time is told of changes without asking again.
FOLLOWER_SILENCE_MAX_S: Final = 1.2
# A read that asks for changes ends after this time if there are none.
CHANGES_WAIT_MAX_S: Final = 0.1
# The list is read again as a whole after this time, or when this much has passed since
# the last read, as the store keeps its history for some seconds only.
LIST_VALID_S: Final = 10.0
READ_GAP_MAX_S: Final = 2.0
LIST_RETRY_DELAY_S: Final = 0.3
# The limit on a cold server applies to any period of one second; the excess over 1 s
# covers differences in clocks and network delays.
COLD_WINDOW_S: Final = 1.08
# Ratio of the fleet's allowance for a cold server that is divided among the instances.
COLD_ALLOWANCE_RATIO: Final = 0.9
# The address of a server is kept for this long after its entry was removed.
GONE_ADDRESS_RETENTION_S: Final = 15.0
# Requests for keys of a leaving server stop this long after this instance learned that
# it leaves, which may be 1.45 s after the change reached the store; 2 s after the
# change no request may reach the server.
LEAVING_GRACE_S: Final = 0.5
# Requests for keys of a server in a closed data centre stop this long after this
# instance learned of the closing, which it does within 2 s; 5 s after it no request may
# reach the server. Keys that can move have moved by then.
CLOSING_GRACE_S: Final = 1.0
# What a process has said of itself is remembered for this long after its entry is gone:
# its entry may be missing for a while, as after an outage of the store. No pause that
# a process asks for is longer.
LEAVING_RETENTION_S: Final = 600.0
# A server that may have restarted counts as cold for this long, unless its service
# declares how long servers stay cold; the margin is added in both cases.
COLD_DURATION_DEFAULT_S: Final = 2.0
COLD_DURATION_MARGIN_S: Final = 1.0
BASE_LATENCY_INITIAL_S: Final = 0.15
BASE_LATENCY_STEP_RATIO: Final = 0.02
REPORT_DECAY_S: Final = 0.6
SLOWNESS_SAMPLE_INTERVAL_S: Final = 0.15
SLOWNESS_SAMPLES_MAX: Final = 31
# A server may be slow without reporting it; the slowness observed beyond the report is
# smoothed with this weight and decays with this time constant.
UNREPORTED_SLOWNESS_WEIGHT: Final = 0.12
UNREPORTED_SLOWNESS_DECAY_S: Final = 4.0
UNREPORTED_SLOWNESS_MIN: Final = 0.3
UNREPORTED_SLOWNESS_MAX: Final = 30.0
# Below 1, so that a server that has not answered yet is tried.
UNTRIED_COST_RATIO: Final = 0.3
FAILURE_RATIO_WEIGHT: Final = 0.15
FAILURE_RATIO_DECAY_S: Final = 1.5
# An unreachable server is avoided for this long, doubled with each further failure.
SUSPECT_INITIAL_S: Final = 0.4
SUSPECT_MAX_S: Final = 3.0
REMOTE_COST_RATIO: Final = 0.12
# A failure costs about this many times the latency of a request.
FAILURE_COST_RATIO: Final = 3.0
SLOWNESS_MIN: Final = 0.05
DEMAND_DECAY_S: Final = 1.0
