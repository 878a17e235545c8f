"""Traits of a request that are known on its arrival, and its expected cost."""

import math
from typing import Final

import attrs

NO_KEY_POSITION: Final = -1


@attrs.frozen
class RequestTraits:
    """What is known of a request before it runs.

    `route` names its route within the service, `body_bytes` is the size of its body.
    `key_position` is `NO_KEY_POSITION` for a request without a key.
    """

    route: str = ""
    idempotent: bool = False
    body_bytes: int = 0
    key_position: int = NO_KEY_POSITION

    def without_key(self) -> "RequestTraits":
        """Return the traits that requests of the same route and size class share."""
        if self.key_position == NO_KEY_POSITION:
            return self
        return RequestTraits(self.route, self.idempotent, self.body_bytes)


@attrs.frozen
class ExpectedCost:
    """Expected cost of a request.

    `work_s` is the mean time on a server of slowness 1.0 and `spread_s` its standard
    deviation, both in seconds; `response_bytes` is the mean size of the response body.
    `certainty` is the share of the estimate, from 0 to 1, that was learned from
    requests of the same route and size class, or of the same key.
    """

    work_s: float
    spread_s: float = 0.0
    response_bytes: float = 0.0
    certainty: float = 0.0

    @property
    def median_work_s(self) -> float:
        """Return the median work in seconds, for the lognormal shape of work."""
        return self.work_s / math.sqrt(1.0 + (self.spread_s / self.work_s) ** 2)


NO_TRAITS = RequestTraits()
