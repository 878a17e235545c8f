"""How shares are divided; safety does not depend on anything here."""

import math

from .const import (
    CELL_MEMBERS_MAX,
    DEMAND_CHANGE,
    DEMAND_CHANGE_DEVIATIONS,
    KEEP_AHEAD_S,
    RATE_HEADROOM_MAX,
    RESERVED_BURST,
    RESERVED_RATE,
    SHARE_UNITS,
    SLOW_TIME_CONSTANT_S,
)
from .models import Limit, LimitSettings, Units


def default_share(limit: Limit, cfg: LimitSettings) -> Units:
    """Return the share that each member gets in advance.

    A burst too small to give every member a token is not divided.
    """
    burst = cfg.preplaced_burst / CELL_MEMBERS_MAX
    if burst * limit.burst < 1.0:
        return Units()
    rate = cfg.preplaced_rate / CELL_MEMBERS_MAX
    return Units(int(rate * SHARE_UNITS), int(burst * SHARE_UNITS))


def target_share(
    limit: Limit, demand_per_s: float, total_per_s: float, cfg: LimitSettings
) -> Units:
    """Return the share for a holder's part of the total demand."""
    floor = default_share(limit, cfg)
    if demand_per_s <= 0 or limit.rate_per_s <= 0:
        return floor
    headroom = min(
        RATE_HEADROOM_MAX, (1.0 - RESERVED_RATE) * limit.rate_per_s / total_per_s
    )
    rate = demand_per_s * headroom / limit.rate_per_s
    burst = (1.0 - RESERVED_BURST) * demand_per_s / total_per_s
    if burst * limit.burst < cfg.shared_tokens_min:
        return floor
    return Units(
        max(floor.rate, int(rate * SHARE_UNITS)),
        max(floor.burst, int(burst * SHARE_UNITS)),
    )


def spare_share(limit: Limit, demand_per_s: float, floor: Units) -> Units:
    """Return the share that a recalled holder keeps for its own demand."""
    tokens = demand_per_s * KEEP_AHEAD_S
    if limit.rate_per_s <= 0 or tokens < 1.0:
        return floor
    rate, burst = demand_per_s / limit.rate_per_s, tokens / limit.burst
    return Units(
        max(floor.rate, math.ceil(rate * SHARE_UNITS)),
        max(floor.burst, math.ceil(burst * SHARE_UNITS)),
    )


def demand_changed(reported_per_s: float, demand_per_s: float) -> bool:
    """Return whether a demand differs from the reported one by more than noise."""
    highest = max(reported_per_s, demand_per_s)
    deviation = math.sqrt(highest / (2.0 * SLOW_TIME_CONSTANT_S))
    threshold = max(
        DEMAND_CHANGE * reported_per_s, DEMAND_CHANGE_DEVIATIONS * deviation
    )
    return abs(demand_per_s - reported_per_s) > threshold
