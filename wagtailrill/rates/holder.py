"""Tokens that this instance holds, and the requests that wait for one."""

import math
from collections import deque
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..requests.interfaces import RateLimitResult
from .const import (
    AHEAD_S,
    DEMAND_DECAY_S,
    DENIAL_PAUSE_S,
    OWN_BURST_PART,
    OWN_PART,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    SILENCE_PAUSE_S,
    TOKENS_KEPT_S,
    WAIT_S,
    WAITERS_MAX,
)
from .messages import TokenGrant
from .models import Bucket, Limit, RateSettings

OnResult = Callable[[RateLimitResult], None]
ADMITTED = RateLimitResult(True)


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a token."""

    until_s: float
    on_result: OnResult


@attrs.define(eq=False)
class Purse:
    """Tokens of one organisation that this instance may use."""

    limit: Limit
    own: Bucket
    tokens: int = 0
    used_s: float = float("-inf")
    demand_per_s: float = 0.0
    demand_s: float = 0.0
    waiters: deque[Waiter] = attrs.field(factory=deque)
    asked_number: int = 0
    asked_s: float = float("-inf")
    ask_after_s: float = float("-inf")
    denied_until_s: float = float("-inf")

    def count(self, now_s: float) -> None:
        """Count a request in the demand."""
        decay = math.exp(-(now_s - self.demand_s) / DEMAND_DECAY_S)
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_DECAY_S
        self.demand_s = now_s

    def wanted(self, now_s: float) -> int:
        """Return the tokens needed for the requests that wait and come soon."""
        decay = math.exp(-(now_s - self.demand_s) / DEMAND_DECAY_S)
        ahead = self.demand_per_s * decay * AHEAD_S
        return max(0, len(self.waiters) + math.ceil(ahead) - self.tokens)


class Holder:
    """Admits requests by tokens, or by this instance's own share when none come.

    The own share is a part of what the fleet may exceed a rate by, divided among the
    instances, so that it needs no agreement.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: RateSettings,
        instances: Callable[[], tuple[str, ...]],
        ask: Callable[[str, int, int, int], bool],
    ) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._instances = instances
        self._ask_issuer = ask
        self._purses: dict[str, Purse] = {}
        self._number = 0

    def configure(self, limits: dict[str, Limit]) -> None:
        """Apply the limits of a configuration."""
        now_s = self._ctx.now_s
        purses: dict[str, Purse] = {}
        for name, limit in limits.items():
            purse = self._purses.get(name)
            own = self._own_limit(limit)
            if purse is None:
                purse = Purse(limit, Bucket(own, now_s))
            elif purse.limit != limit:
                purse.limit = limit
                purse.own.resize(own, now_s)
                purse.tokens = min(purse.tokens, math.floor(limit.burst))
            purses[name] = purse
        self._purses = purses

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings."""
        self._cfg = cfg
        self.instances_changed()

    def instances_changed(self) -> None:
        """Divide the own shares anew."""
        for purse in self._purses.values():
            purse.own.resize(self._own_limit(purse.limit), self._ctx.now_s)

    def take(self, organisation: str, on_result: OnResult) -> None:
        """Admit a request now, or once a token has come."""
        purse = self._purses.get(organisation)
        if purse is None:
            on_result(RateLimitResult(False, RETRY_AFTER_MAX_S, "unknown_organisation"))
            return
        if math.isinf(purse.limit.rate_per_s):
            on_result(ADMITTED)
            return
        now_s = self._ctx.now_s
        purse.count(now_s)
        if purse.tokens > 0 and not purse.waiters:
            purse.tokens -= 1
            purse.used_s = now_s
            on_result(ADMITTED)
            if purse.tokens == 0:
                self._ask(organisation, purse)
            return
        if now_s < purse.denied_until_s or len(purse.waiters) >= WAITERS_MAX:
            self._use_own_share(purse, on_result)
            return
        purse.waiters.append(Waiter(now_s + WAIT_S, on_result))
        self._ask(organisation, purse)
        self._ctx.timers.call_later(WAIT_S, lambda: self._expire(purse))

    def granted(self, grant: TokenGrant) -> None:
        """Use the tokens that an issuer has granted."""
        purse = self._purses.get(grant.organisation)
        if purse is None or grant.number != purse.asked_number:
            return
        now_s = self._ctx.now_s
        purse.asked_number = 0
        purse.tokens += grant.tokens
        purse.used_s = now_s
        self._serve(purse)
        if not grant.issues:
            purse.ask_after_s = now_s + SILENCE_PAUSE_S
        elif grant.tokens == 0:
            pause_s = max(min(grant.due_in_s, 1.0), DENIAL_PAUSE_S)
            purse.ask_after_s = purse.denied_until_s = now_s + pause_s
        elif purse.waiters:
            self._ask(grant.organisation, purse)
        if purse.ask_after_s > now_s:
            while purse.waiters:
                self._use_own_share(purse, purse.waiters.popleft().on_result)

    def tick(self) -> None:
        """Give back tokens that are not used."""
        now_s = self._ctx.now_s
        for name, purse in self._purses.items():
            if purse.tokens and now_s - purse.used_s > TOKENS_KEPT_S:
                tokens, purse.tokens = purse.tokens, 0
                self._ask_issuer(name, 0, tokens, 0)

    def _ask(self, organisation: str, purse: Purse) -> None:
        now_s = self._ctx.now_s
        if now_s < purse.ask_after_s:
            self._drain_waiters(purse)
            return
        if purse.asked_number and now_s - purse.asked_s < WAIT_S:
            return
        wanted = purse.wanted(now_s)
        if wanted == 0:
            return
        self._number += 1
        purse.asked_number, purse.asked_s = self._number, now_s
        if not self._ask_issuer(organisation, wanted, 0, self._number):
            purse.asked_number = 0
            purse.ask_after_s = now_s + SILENCE_PAUSE_S
            self._drain_waiters(purse)

    def _drain_waiters(self, purse: Purse) -> None:
        while purse.waiters:
            self._use_own_share(purse, purse.waiters.popleft().on_result)

    def _serve(self, purse: Purse) -> None:
        while purse.waiters and purse.tokens > 0:
            purse.tokens -= 1
            purse.waiters.popleft().on_result(ADMITTED)

    def _expire(self, purse: Purse) -> None:
        now_s = self._ctx.now_s
        expired = False
        while purse.waiters and purse.waiters[0].until_s <= now_s:
            expired = True
            self._use_own_share(purse, purse.waiters.popleft().on_result)
        if expired and purse.asked_number:
            # The issuer does not answer; its answer is not waited for any more.
            purse.asked_number = 0
            purse.ask_after_s = now_s + SILENCE_PAUSE_S

    def _use_own_share(self, purse: Purse, on_result: OnResult) -> None:
        now_s = self._ctx.now_s
        if purse.own.take(1, now_s):
            on_result(ADMITTED)
            return
        wait_s = max(purse.ask_after_s, purse.denied_until_s) - now_s
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        # Without an issuer only the own share of this instance counts.
        decided_by = "issuer" if now_s < purse.denied_until_s else "own_share"
        on_result(RateLimitResult(False, retry_after_s, decided_by))

    def _own_limit(self, limit: Limit) -> Limit:
        part = OWN_PART / max(len(self._instances()), 1)
        return self._cfg.shape(limit, part, OWN_BURST_PART)
