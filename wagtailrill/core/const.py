"""Constants shared by all components."""

from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.4
SUSPICION_TIMEOUT_S: Final = 1.0
# The lease outlives a coordinator change (2.0 s store lease, election, heartbeat),
# so that members keep serving through it.
MEMBER_LEASE_S: Final = 2.8
COORDINATOR_LEASE_S: Final = 2.0
COORDINATOR_RENEW_INTERVAL_S: Final = 0.7
PEER_CONFIRMATION_S: Final = 1.0
GRANT_DURATION_S: Final = 1.5
GRANT_RENEW_INTERVAL_S: Final = 0.4
# Holders of a lease shorten it and granters lengthen it by this fraction.
CLOCK_RATE_BOUND: Final = 0.01
PARTITION_COUNT: Final = 64
IDEMPOTENCY_RETENTION_S: Final = 600.0
CALLER_CLOCK_SKEW_S: Final = 2.0
STORED_ANSWER_MAX_BYTES: Final = 65_536


def holder_duration_s(duration_s: float) -> float:
    """Return a lease duration in seconds as its holder has to count it."""
    return duration_s * (1.0 - CLOCK_RATE_BOUND)


def granter_duration_s(duration_s: float) -> float:
    """Return a lease duration in seconds as its granter has to count it."""
    return duration_s * (1.0 + CLOCK_RATE_BOUND)
