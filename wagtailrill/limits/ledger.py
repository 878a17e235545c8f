"""A home's ledger of one organisation's shares."""

import math
from typing import Final

import attrs

from ..core.invariants import Invariants
from ..partitions.directory import Member
from .bucket import Bucket
from .const import SHARE_UNITS, TOKEN_UNITS
from .messages import HolderAccount
from .models import Limit, Totals, Units

_LEVEL_TOLERANCE: Final = 1e-6  # rounding of float sums


@attrs.define(eq=False)
class Entry(Totals):
    """Account with one holder; totals count since (epoch, session)."""

    demand_per_s: float = 0.0
    acknowledged: int = 0

    @property
    def lent(self) -> Units:
        """Return the most that the holder can hold or be about to receive."""
        return self.balance


@attrs.define(eq=False)
class Ledger:
    """Reserve and lent shares; together they are always the whole limit."""

    organisation: str
    partition: int
    invariants: Invariants
    limit: Limit
    open: bool = False
    preplaced: bool = False
    entries: dict[Member, Entry] = attrs.field(factory=dict)
    bucket: Bucket = attrs.field(factory=Bucket)
    lent_rate: int = 0
    lent_burst: int = 0
    pending: dict[Member, int] = attrs.field(factory=dict)
    recalling: bool = False
    recall_after_s: float = -math.inf
    recall_interval_s: float = 0.0
    regained: float = 0.0

    @property
    def reserve(self) -> Units:
        """Return the share that is not lent."""
        return Units(SHARE_UNITS - self.lent_rate, SHARE_UNITS - self.lent_burst)

    def entry(self, member: Member) -> Entry:
        """Return the account with a holder."""
        return self.entries.setdefault(member, Entry())

    def configure(self, limit: Limit, now_s: float) -> None:
        """Scale the reserve to a new limit; tokens are never added."""
        self.limit = limit
        self._resize(now_s)

    def start(self, now_s: float) -> None:
        """Begin to lend after all holdings are known, with an empty reserve."""
        self.bucket.clear(now_s)
        self.open = True
        self._resize(now_s)

    def admit(self, member: Member, account: HolderAccount, now_s: float) -> None:
        """Open the account of a holder with what it reports to hold."""
        entry = Entry(
            granted_rate=account.granted_rate,
            granted_burst=account.granted_burst,
            returned_rate=account.returned_rate,
            returned_burst=account.returned_burst,
            returned_tokens=account.returned_tokens,
        )
        self.entries[member] = entry
        self.lent_rate += entry.lent.rate
        self.lent_burst += entry.lent.burst
        self._resize(now_s)

    def update(
        self, member: Member, account: HolderAccount, version: int, now_s: float
    ) -> None:
        """Take back what a holder has returned since its last report."""
        entry = self.entry(member)
        rate = max(0, account.returned_rate - entry.returned_rate)
        burst = max(0, account.returned_burst - entry.returned_burst)
        tokens = max(0, account.returned_tokens - entry.returned_tokens) / TOKEN_UNITS
        entry.returned_rate += rate
        entry.returned_burst += burst
        entry.returned_tokens = max(entry.returned_tokens, account.returned_tokens)
        self.invariants.check(
            entry.lent.rate >= 0 and entry.lent.burst >= 0,
            "limits-lent-not-negative",
            self.organisation,
        )
        self._regain(rate, burst, now_s)
        if version == self.limit.version and self.open:
            fits = min(tokens, burst * self.limit.burst / SHARE_UNITS)
            self.bucket.add(fits)
            self.regained += fits

    def drop(self, member: Member, now_s: float) -> None:
        """Take back the share of a lost holder, without tokens."""
        entry = self.entries.pop(member, None)
        self.pending.pop(member, None)
        if entry is not None:
            self._regain(entry.lent.rate, entry.lent.burst, now_s)

    def lend(self, member: Member, share: Units, tokens: float, now_s: float) -> None:
        """Move a share, as far as it is there, and tokens to a holder.

        Tokens that no longer fit into the reserve move with the capacity.
        """
        self.bucket.settle(now_s)
        reserve, entry = self.reserve, self.entry(member)
        rate = max(0, min(share.rate, reserve.rate))
        burst = max(0, min(share.burst, reserve.burst))
        capacity = burst * self.limit.burst / SHARE_UNITS
        left = (reserve.burst - burst) * self.limit.burst / SHARE_UNITS
        level = self.bucket.level
        wanted = max(tokens, level - left)
        moved = int(max(0.0, min(wanted, level, capacity)) * TOKEN_UNITS)
        self.bucket.remove(moved / TOKEN_UNITS)
        entry.granted_rate += rate
        entry.granted_burst += burst
        entry.granted_tokens += moved
        self.lent_rate += rate
        self.lent_burst += burst
        self._resize(now_s)

    def _regain(self, rate: int, burst: int, now_s: float) -> None:
        self.lent_rate -= rate
        self.lent_burst -= burst
        self._resize(now_s)

    def _resize(self, now_s: float) -> None:
        if not self.open:
            return
        reserve = self.reserve
        self.check()
        self.bucket.resize(
            now_s,
            reserve.rate * self.limit.rate_per_s / SHARE_UNITS,
            reserve.burst * self.limit.burst / SHARE_UNITS,
        )

    def check(self) -> None:
        """Check that reserve and lent shares are the whole limit."""
        rate, burst = self.lent_rate, self.lent_burst
        holds = 0 <= rate <= SHARE_UNITS and 0 <= burst <= SHARE_UNITS
        for entry in self.entries.values():
            rate -= entry.granted_rate - entry.returned_rate
            burst -= entry.granted_burst - entry.returned_burst
        holds = holds and rate == burst == 0
        self.invariants.check(holds, "limits-conserved", self.organisation)
        level_holds = (
            -_LEVEL_TOLERANCE
            <= self.bucket.level
            <= (self.bucket.capacity + _LEVEL_TOLERANCE)
        )
        self.invariants.check(level_holds, "limits-level", self.organisation)
