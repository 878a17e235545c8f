"""What it costs to run a request in another data centre than its caller's instance."""

from typing import Final

import attrs
from attrs.validators import gt

from ..costs.models import ExpectedCost, RequestTraits
from .const import REMOTE_COST_RATIO

# An upload of 60 KB stays in its data centre unless another one ends it 0.6 s sooner.
REMOTE_BYTES_PER_S: Final = 100_000.0


@attrs.frozen
class DistanceSettings:
    """Rate at which bytes between data centres count as time, in bytes per second."""

    remote_bytes_per_s: float = attrs.field(
        default=REMOTE_BYTES_PER_S, validator=gt(0.0)
    )

    def estimate_bytes_s(self, traits: RequestTraits, cost: ExpectedCost) -> float:
        """Return the time that the bytes of a request to a remote server count as."""
        return (traits.body_bytes + cost.response_bytes) / self.remote_bytes_per_s


def get_distance_ratio(server_data_centre: str, data_centre: str) -> float:
    """Return what the work of a request costs there, relative to a near server."""
    return 1.0 if server_data_centre == data_centre else 1.0 + REMOTE_COST_RATIO
