"""Settings of balancing and its view of permits."""

import enum
from typing import Protocol

import attrs


class PermitView(Protocol):
    """What balancing needs to know about permits."""

    def idle(self, backend_server: str) -> int:
        """Return the permits that can be used at once."""
        ...

    def in_use(self, backend_server: str) -> int:
        """Return the permits of this instance that are in use."""
        ...

    def queue_length(self, backend_server: str) -> int:
        """Return the last known number of requests waiting at the home."""
        ...


class OutlierState(enum.Enum):
    """Whether a backend server is chosen freely, not at all, or on trial."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


class OutlierSignal(enum.Enum):
    """What moves a backend server between states."""

    GOOD = "good"
    BAD = "bad"
    WAIT_OVER = "wait_over"


@attrs.frozen
class BalancerSettings:
    """Thresholds of balancing; durations in seconds.

    `remote_factor` is the latency disadvantage of another data centre. A server is
    bad after `failures` failures in a row, or when its mean latency exceeds
    `slow_factor` times the median of its service after `slow_samples` answers; it is
    then ejected for `ejection_s`, doubled each time up to `ejection_max_s`. On
    probation it gets `probation_share` of its turns until `probation_good` answers
    were good.
    """

    latency_decay_s: float = 10.0
    remote_factor: float = 1.25
    failures: int = 5
    slow_factor: float = 3.0
    slow_samples: int = 5
    ejection_s: float = 5.0
    ejection_max_s: float = 60.0
    ejected_share_max: float = 0.3
    probation_share: float = 0.05
    probation_good: int = 5
    return_ramp_s: float = 10.0
