"""A holder's share of one organisation's limit."""

import math
from collections import deque

import attrs

from ..core.timer import TimerHandle
from .bucket import Bucket, DemandMeter
from .const import SHARE_UNITS, TOKEN_UNITS
from .messages import HolderAccount, HomeAccount
from .models import Limit, OnResult, Totals, Units


@attrs.define
class Waiter:
    """A request that waits for a token."""

    deadline_s: float
    on_result: OnResult


@attrs.define(eq=False)
class Share(Totals):
    """Share, bucket and waiting requests; totals count since (epoch, session)."""

    organisation: str
    partition: int
    limit: Limit
    bucket: Bucket = attrs.field(factory=Bucket)
    demand: DemandMeter = attrs.field(factory=DemandMeter)
    waiters: deque[Waiter] = attrs.field(factory=deque)
    number: int = 0
    acknowledged: int = 0
    unreported: bool = False
    reported_per_s: float = 0.0
    last_take_s: float = -math.inf
    asked_until_s: float = -math.inf
    ask_after_s: float = -math.inf
    backoff_s: float = 0.0
    timer: TimerHandle | None = None

    @property
    def held(self) -> Units:
        """Return the share held now."""
        return self.balance

    def resize(self, now_s: float) -> None:
        """Fit the bucket to the share and the limit in force."""
        held = self.held
        self.bucket.resize(
            now_s,
            held.rate * self.limit.rate_per_s / SHARE_UNITS,
            held.burst * self.limit.burst / SHARE_UNITS,
        )

    def rebase(self) -> None:
        """Restart the totals for a new epoch; what is held stays."""
        held = self.held
        self.granted_rate, self.granted_burst = held.rate, held.burst
        self.returned_rate = self.returned_burst = 0
        self.granted_tokens = self.returned_tokens = 0

    def clear(self, now_s: float) -> None:
        """Drop everything held."""
        self.granted_rate = self.granted_burst = self.granted_tokens = 0
        self.returned_rate = self.returned_burst = self.returned_tokens = 0
        self.reported_per_s = 0.0
        self.asked_until_s = self.ask_after_s = -math.inf
        self.bucket.clear(now_s)

    def accept(self, account: HomeAccount, version: int, now_s: float) -> float:
        """Take over what the home has granted; return the tokens received."""
        burst = max(0, account.granted_burst - self.granted_burst)
        tokens = max(0, account.granted_tokens - self.granted_tokens) / TOKEN_UNITS
        self.granted_rate = max(self.granted_rate, account.granted_rate)
        self.granted_burst = max(self.granted_burst, account.granted_burst)
        self.granted_tokens = max(self.granted_tokens, account.granted_tokens)
        self.resize(now_s)
        # Tokens of another version, or more than came with capacity, are lost.
        fits = min(tokens, burst * self.limit.burst / SHARE_UNITS)
        received = fits if version == self.limit.version else 0.0
        self.bucket.add(received)
        return received

    def give_back(self, keep: Units, keep_level: float | None, now_s: float) -> bool:
        """Return what exceeds a share, with the tokens above `keep_level`.

        Without `keep_level` the tokens are divided like the burst.
        """
        held = self.held
        rate, burst = max(0, held.rate - keep.rate), max(0, held.burst - keep.burst)
        if not rate and not burst:
            return False
        self.bucket.settle(now_s)
        level = self.bucket.level
        if keep_level is None:
            keep_level = level * (held.burst - burst) / held.burst if burst else level
        capacity = (held.burst - burst) * self.limit.burst / SHARE_UNITS
        tokens = min(
            max(level - min(capacity, keep_level), 0.0),
            burst * self.limit.burst / SHARE_UNITS,
        )
        moved = int(tokens * TOKEN_UNITS)
        self.bucket.remove(moved / TOKEN_UNITS)
        self.returned_rate += rate
        self.returned_burst += burst
        self.returned_tokens += moved
        self.unreported = True
        self.resize(now_s)
        return True

    def give_back_unused_loan(self, now_s: float) -> None:
        """Return capacity that cannot fill because no rate came with it."""
        held = self.held
        if held.rate or not held.burst or self.limit.burst <= 0:
            return
        used = math.ceil(self.bucket.level / self.limit.burst * SHARE_UNITS)
        self.give_back(Units(0, used), None, now_s)

    def account(self, demand_per_s: float) -> HolderAccount:
        """Return a new report of this share."""
        self.number += 1
        self.unreported = False
        self.reported_per_s = demand_per_s
        return HolderAccount(
            organisation=self.organisation,
            number=self.number,
            granted_rate=self.granted_rate,
            granted_burst=self.granted_burst,
            returned_rate=self.returned_rate,
            returned_burst=self.returned_burst,
            returned_tokens=self.returned_tokens,
            demand_per_s=demand_per_s,
            waiting=len(self.waiters),
        )
