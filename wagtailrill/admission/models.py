"""Models of admission queues."""

import attrs

from .const import (
    DEFERRABLE_FRACTION,
    DEFERRABLE_ORGANISATION_QUEUE_MAX,
    DEFERRABLE_QUEUE_MAX,
    ORGANISATION_QUEUE_MAX,
    TOTAL_QUEUE_MAX,
)


@attrs.frozen
class Item:
    """A waiting request; `cost` is its share of service in requests."""

    request_id: int
    organisation: str
    deadline_s: float
    deferrable: bool = False
    cost: float = 1.0


@attrs.frozen
class QueueSettings:
    """Bounds of a queue in requests and the deferrable class's fraction of pops."""

    per_organisation: int = ORGANISATION_QUEUE_MAX
    total: int = TOTAL_QUEUE_MAX
    deferrable_per_organisation: int = DEFERRABLE_ORGANISATION_QUEUE_MAX
    deferrable: int = DEFERRABLE_QUEUE_MAX
    deferrable_fraction: float = DEFERRABLE_FRACTION
