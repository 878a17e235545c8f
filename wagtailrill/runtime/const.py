"""Intervals and sizes that the process of an instance uses."""

from typing import Final

SEED_BITS: Final = 62
INCARNATION_BITS: Final = 62
CLEANUP_INTERVAL_S: Final = 0.25
DRAIN_CHECK_INTERVAL_S: Final = 0.1
# The process ends this long before the stop timeout, after which it is killed.
STOP_MARGIN_S: Final = 0.4
# All requests are answered this long before that, so that callers get the answers.
ANSWER_MARGIN_S: Final = 0.2
RELOAD_INTERVAL_S: Final = 5.0
# Descriptors that are left for files.
FILE_DESCRIPTORS: Final = 200
# Part of the other descriptors for connections of callers. A process also connects to
# backend servers, peers and the store.
CALLER_DESCRIPTORS_RATIO: Final = 0.6
# Part of a machine's memory for the connections of callers themselves.
CALLER_MEMORY_RATIO: Final = 0.1
# A connection's objects, without what is received and sent on it.
CONNECTION_COST_BYTES: Final = 10_000
# Accepted in one iteration of the event loop. Each takes a descriptor before the limit
# on connections can apply to it.
ACCEPTED_MAX: Final = 32
# Connections that wait to be accepted; a crowd must not make others repeat theirs.
LISTEN_QUEUE_MAX: Final = 2_048
# Load balancers, scrapers and operators need few connections to the admin interface.
ADMIN_CONNECTIONS_MAX: Final = 64
ADMIN_HEADER_MAX_BYTES: Final = 16_384
ADMIN_BODY_MAX_BYTES: Final = 65_536
ADMIN_HEADER_TIMEOUT_S: Final = 5.0
ADMIN_IDLE_TIMEOUT_S: Final = 75.0
# Requests to the admin interface are answered one after the other.
ADMIN_PIPELINED_REQUESTS_MAX: Final = 1
