"""Models of the limits."""

from collections.abc import Callable

import attrs

from .const import (
    IDLE_AFTER_S,
    PREPLACED_BURST,
    PREPLACED_RATE,
    REPORTED_ACCOUNTS_MAX,
    SHARED_TOKENS_MIN,
    TICK_INTERVAL_S,
    WAIT_MAX_S,
)


@attrs.frozen
class LimitSettings:
    """Times in seconds and fractions that an operator may set."""

    wait_max_s: float = WAIT_MAX_S
    tick_interval_s: float = TICK_INTERVAL_S
    idle_after_s: float = IDLE_AFTER_S
    reported_accounts_max: int = REPORTED_ACCOUNTS_MAX
    preplaced_rate: float = PREPLACED_RATE
    preplaced_burst: float = PREPLACED_BURST
    shared_tokens_min: float = SHARED_TOKENS_MIN


@attrs.frozen
class TakeResult:
    """Whether a request is admitted, and when to retry if not."""

    admitted: bool
    retry_after_s: float = 0.0


OnResult = Callable[[TakeResult], None]


@attrs.frozen
class Units:
    """A share of an organisation's rate and burst in `SHARE_UNITS`."""

    rate: int = 0
    burst: int = 0


@attrs.define(eq=False, kw_only=True)
class Totals:
    """What a holder was granted and has returned since (epoch, session)."""

    granted_rate: int = 0
    granted_burst: int = 0
    granted_tokens: int = 0
    returned_rate: int = 0
    returned_burst: int = 0
    returned_tokens: int = 0

    @property
    def balance(self) -> Units:
        """Return what was granted and not returned."""
        return Units(
            self.granted_rate - self.returned_rate,
            self.granted_burst - self.returned_burst,
        )


@attrs.frozen
class Limit:
    """Rate (requests/s) and burst (requests) of an organisation in a version."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    version: int = 0
