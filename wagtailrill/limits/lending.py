"""Answers of a home to reports, asks and returns of holders."""

import math
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..partitions.directory import Member
from .const import (
    LEND_AHEAD_FRACTION,
    LEND_AHEAD_S,
    LOWER_ABOVE,
    RAISE_BELOW,
    RECALL_INTERVAL_MAX_S,
    RECALL_WAIT_S,
    SHARE_UNITS,
    TOKEN_UNITS,
)
from .ledger import Ledger
from .messages import HolderAccount, HomeAccount
from .models import LimitSettings, Units
from .policy import default_share, target_share

SendAccounts = Callable[[Ledger, Member, tuple[HomeAccount, ...]], None]


class Lending:
    """Divides an organisation's share by demand and lends tokens on request."""

    def __init__(self, ctx: Context, cfg: LimitSettings, send: SendAccounts) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._send = send

    def handle(
        self, ledger: Ledger, member: Member, account: HolderAccount, version: int
    ) -> HomeAccount:
        """Take over a holder's account and return the answer to it."""
        ledger.update(member, account, version, self._ctx.now_s)
        entry = ledger.entry(member)
        entry.demand_per_s = account.demand_per_s
        entry.acknowledged = account.number
        ledger.pending.pop(member, None)
        if not ledger.open:
            return self.account(ledger, member)
        self._serve_pending(ledger)
        if not account.waiting:
            target = self._target(ledger, member)
            self._raise_towards(ledger, member, target)
            return self._lower(ledger, member, target)
        missing = account.waiting - self._lend(ledger, member, account.waiting)
        answered = missing <= 0
        pending = not answered and self._recall(ledger, member)
        if pending:
            ledger.pending[member] = math.ceil(missing)
        target = self._target(ledger, member)
        return attrs.evolve(
            self._lower(ledger, member, target)
            if target.burst
            else self.account(ledger, member),
            answered=answered,
            denied=not answered and not pending,
        )

    def account(self, ledger: Ledger, member: Member) -> HomeAccount:
        """Return the state of the account with a holder."""
        entry = ledger.entry(member)
        return HomeAccount(
            organisation=ledger.organisation,
            acknowledged=entry.acknowledged,
            granted_rate=entry.granted_rate,
            granted_burst=entry.granted_burst,
            granted_tokens=entry.granted_tokens,
        )

    def raise_to(self, ledger: Ledger, member: Member, share: Units) -> bool:
        """Lend what a holder lacks of a share, with its part of the tokens."""
        lent, reserve = ledger.entry(member).lent, ledger.reserve
        missing = Units(
            max(0, min(share.rate - lent.rate, reserve.rate)),
            max(0, min(share.burst - lent.burst, reserve.burst)),
        )
        if not missing.rate and not missing.burst:
            return False
        ledger.bucket.settle(self._ctx.now_s)
        tokens = ledger.bucket.level * missing.burst / max(reserve.burst, 1)
        ledger.lend(member, missing, tokens, self._ctx.now_s)
        return True

    def _target(self, ledger: Ledger, member: Member) -> Units:
        total_per_s = sum(e.demand_per_s for e in ledger.entries.values())
        demand_per_s = ledger.entry(member).demand_per_s
        return target_share(ledger.limit, demand_per_s, total_per_s, self._cfg)

    def _raise_towards(self, ledger: Ledger, member: Member, target: Units) -> None:
        lent = ledger.entry(member).lent
        wanted = Units(
            target.rate if lent.rate < RAISE_BELOW * target.rate else 0,
            target.burst if lent.burst < RAISE_BELOW * target.burst else 0,
        )
        self.raise_to(ledger, member, wanted)

    def _lower(self, ledger: Ledger, member: Member, target: Units) -> HomeAccount:
        lent = ledger.entry(member).lent
        rate, burst = lent.rate, lent.burst
        return attrs.evolve(
            self.account(ledger, member),
            keep_rate=target.rate if rate > LOWER_ABOVE * target.rate else SHARE_UNITS,
            keep_burst=(
                target.burst if burst > LOWER_ABOVE * target.burst else SHARE_UNITS
            ),
        )

    def _lend(self, ledger: Ledger, member: Member, waiting: int) -> float:
        """Lend for waiting requests and some demand ahead; return the tokens."""
        limit, entry = ledger.limit, ledger.entry(member)
        if limit.burst <= 0:
            return 0.0
        before = entry.granted_tokens
        self._raise_towards(ledger, member, self._target(ledger, member))
        level = ledger.bucket.level
        moved = (entry.granted_tokens - before) / TOKEN_UNITS
        ahead = max(entry.demand_per_s * LEND_AHEAD_S, level * LEND_AHEAD_FRACTION)
        ahead = min(ahead, level / 2.0)
        tokens = waiting + ahead - moved
        # A fraction of a token is lent only if it makes up a whole one.
        if tokens > 0 and level + moved >= 1.0:
            tokens = min(level, tokens)
            burst = math.ceil(tokens / limit.burst * SHARE_UNITS)
            ledger.lend(member, Units(0, burst), tokens, self._ctx.now_s)
        # Rounding down to token units may cut one unit.
        return (entry.granted_tokens - before + 2) / TOKEN_UNITS

    def _serve_pending(self, ledger: Ledger) -> None:
        if not ledger.pending:
            return
        ledger.bucket.settle(self._ctx.now_s)
        for member, waiting in tuple(ledger.pending.items()):
            if ledger.bucket.level < 1.0:
                return
            missing = waiting - self._lend(ledger, member, waiting)
            if missing > 0:
                ledger.pending[member] = math.ceil(missing)
            else:
                del ledger.pending[member]
            answer = attrs.evolve(self.account(ledger, member), answered=missing <= 0)
            self._send(ledger, member, (answer,))

    def _recall(self, ledger: Ledger, asking: Member) -> bool:
        """Ask the others for what they can spare; return whether to wait for it."""
        now_s = self._ctx.now_s
        if ledger.recalling or now_s < ledger.recall_after_s:
            return ledger.recalling
        floor = default_share(ledger.limit, self._cfg)
        holders = [
            member
            for member, entry in ledger.entries.items()
            if member != asking and _can_spare(ledger, entry.lent, floor)
        ]
        if not holders:
            return False
        ledger.recalling = True
        ledger.regained = 0.0
        for member in holders:
            account = attrs.evolve(self.account(ledger, member), recalled=True)
            self._send(ledger, member, (account,))
        self._ctx.timers.call_at(
            now_s + RECALL_WAIT_S, lambda: self._end_recall(ledger)
        )
        return True

    def _end_recall(self, ledger: Ledger) -> None:
        ledger.recalling = False
        interval_s = 0.0
        if ledger.regained < 1.0:
            doubled_s = max(RECALL_WAIT_S, 2.0 * ledger.recall_interval_s)
            interval_s = min(RECALL_INTERVAL_MAX_S, doubled_s)
        ledger.recall_interval_s = interval_s
        ledger.recall_after_s = self._ctx.now_s + interval_s
        pending, ledger.pending = ledger.pending, {}
        for member in pending:
            account = attrs.evolve(self.account(ledger, member), denied=True)
            self._send(ledger, member, (account,))


def _can_spare(ledger: Ledger, lent: Units, floor: Units) -> bool:
    tokens = (lent.burst - floor.burst) * ledger.limit.burst / SHARE_UNITS
    return tokens >= 1.0 or lent.rate > LOWER_ABOVE * floor.rate
