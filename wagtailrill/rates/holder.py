"""Holds the tokens granted to this instance and admits requests with them.

`RateLimiter` calls it for each request, for each token grant and periodically.
"""

import math
from collections import deque
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..requests.interfaces import RateLimitResult
from .const import (
    DEMAND_DECAY_S,
    DEMAND_LOOKAHEAD_S,
    DENIAL_BACKOFF_MIN_S,
    NO_ANSWER_BACKOFF_S,
    OWN_SHARE_BOUND_RATIO,
    OWN_SHARE_BURST_RATIO,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    START_PERIOD_S,
    START_RETRY_S,
    TOKEN_WAIT_S,
    UNUSED_TOKENS_MAX_AGE_S,
    WAITERS_MAX,
)
from .messages import TokenGrant
from .models import RateLimit, RateSettings, TokenBucket, split_limits

OnResult = Callable[[RateLimitResult], None]
ADMITTED = RateLimitResult(True)


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a token until `expires_s`."""

    expires_s: float
    on_result: OnResult


@attrs.define(eq=False)
class OrganisationRow:
    """Tokens, demand and waiting requests of one organisation at this instance.

    `request_number` is that of the token request under way, 0 if there is none. Until
    `backoff_until_s` no further one is sent. With `will_ask_again` one follows soon, as
    there was no issuer.
    """

    limit: RateLimit
    own_bucket: TokenBucket
    tokens: int = 0
    used_s: float = float("-inf")
    demand_per_s: float = 0.0
    demand_updated_s: float = 0.0
    waiters: deque[Waiter] = attrs.field(factory=deque)
    request_number: int = 0
    requested_s: float = float("-inf")
    backoff_until_s: float = float("-inf")
    denied_until_s: float = float("-inf")
    will_ask_again: bool = False

    def count_request(self, now_s: float) -> None:
        """Add a request to the exponentially decaying demand."""
        decay = math.exp(-(now_s - self.demand_updated_s) / DEMAND_DECAY_S)
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_DECAY_S
        self.demand_updated_s = now_s

    def count_missing_tokens(self, now_s: float) -> int:
        """Return how many tokens the waiting and the expected requests lack."""
        decay = math.exp(-(now_s - self.demand_updated_s) / DEMAND_DECAY_S)
        expected = self.demand_per_s * decay * DEMAND_LOOKAHEAD_S
        return max(0, len(self.waiters) + math.ceil(expected) - self.tokens)


class TokenHolder:
    """Admits requests with granted tokens, or from the own share when none arrive.

    Requests of organisations without a limit are admitted at once.

    The own share is this instance's part of `OWN_SHARE_BOUND_RATIO` of the fleet's
    bound. It is divided evenly among the instances, so using it needs no coordination.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: RateSettings,
        list_instances: Callable[[], tuple[str, ...]],
        send_token_request: Callable[[str, int, int, int], bool],
    ) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._list_instances = list_instances
        self._send_token_request = send_token_request
        self._rows: dict[str, OrganisationRow] = {}
        self._unlimited: frozenset[str] = frozenset()
        self._last_request_number = 0
        self._starts_until_s: float | None = None

    def configure(self, limits: dict[str, RateLimit]) -> None:
        """Apply the limits of a configuration, by organisation."""
        now_s = self._ctx.now_s
        if self._starts_until_s is None:
            self._starts_until_s = now_s + START_PERIOD_S
        binding, self._unlimited = split_limits(limits)
        former_rows = self._rows
        self._rows = {
            name: self._configure_row(former_rows.get(name), limit)
            for name, limit in binding.items()
        }
        freed = [former_rows[name] for name in self._unlimited & former_rows.keys()]
        if freed:
            # The other components have applied the configuration by then, too.
            self._ctx.timers.call_later(0.0, lambda: self._admit_all(freed))

    def _configure_row(
        self, row: OrganisationRow | None, limit: RateLimit
    ) -> OrganisationRow:
        """Return the row of an organisation with a limit, a new one if it had none."""
        own_limit = self._compute_own_limit(limit)
        if row is None:
            return OrganisationRow(limit, TokenBucket(own_limit, self._ctx.now_s))
        if row.limit != limit:
            row.limit = limit
            row.own_bucket.set_limit(own_limit, self._ctx.now_s)
            row.tokens = min(row.tokens, math.floor(limit.burst))
        return row

    def _admit_all(self, rows: list[OrganisationRow]) -> None:
        """Admit the waiting requests of organisations whose limits have gone."""
        for row in rows:
            while row.waiters:
                row.waiters.popleft().on_result(ADMITTED)

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings and recompute the own shares."""
        self._cfg = cfg
        self.update_own_shares()

    def update_own_shares(self) -> None:
        """Recompute the own shares after a change of the settings or the instances."""
        for row in self._rows.values():
            row.own_bucket.set_limit(
                self._compute_own_limit(row.limit), self._ctx.now_s
            )

    def take_token(
        self, organisation: str, on_result: OnResult, patience_s: float = 0.0
    ) -> None:
        """Decide on a request now, or once a token has arrived or the wait is over.

        After the start of this instance the wait is up to `patience_s`.
        """
        if organisation in self._unlimited:
            on_result(ADMITTED)
            return
        row = self._rows.get(organisation)
        if row is None:
            on_result(RateLimitResult(False, RETRY_AFTER_MAX_S, "unknown_organisation"))
            return
        now_s = self._ctx.now_s
        row.count_request(now_s)
        if row.tokens > 0 and not row.waiters:
            row.tokens -= 1
            row.used_s = now_s
            on_result(ADMITTED)
            if row.tokens == 0:
                self._request_tokens(organisation, row)
            return
        if now_s < row.denied_until_s or len(row.waiters) >= WAITERS_MAX:
            self._use_own_share(row, on_result)
            return
        wait_s = max(TOKEN_WAIT_S, patience_s if self._is_starting() else 0.0)
        row.waiters.append(Waiter(now_s + wait_s, on_result))
        self._request_tokens(organisation, row)
        self._ctx.timers.call_later(wait_s, lambda: self._expire_waiters(row))

    def apply_grant(self, grant: TokenGrant) -> None:
        """Admit waiting requests with granted tokens; back off after a denial."""
        row = self._rows.get(grant.organisation)
        if row is None or grant.number != row.request_number:
            return
        now_s = self._ctx.now_s
        row.request_number = 0
        row.tokens += grant.tokens
        row.used_s = now_s
        self._admit_waiters(row)
        if not grant.issues:
            self._handle_no_issuer(grant.organisation, row)
        elif grant.tokens == 0:
            backoff_s = max(min(grant.due_in_s, 1.0), DENIAL_BACKOFF_MIN_S)
            row.backoff_until_s = row.denied_until_s = now_s + backoff_s
        elif row.waiters:
            self._request_tokens(grant.organisation, row)
        if row.backoff_until_s > now_s:
            while row.waiters:
                self._use_own_share(row, row.waiters.popleft().on_result)

    def return_unused_tokens(self) -> None:
        """Return tokens to their issuer that have not been used for a while."""
        now_s = self._ctx.now_s
        for name, row in self._rows.items():
            if row.tokens and now_s - row.used_s > UNUSED_TOKENS_MAX_AGE_S:
                tokens, row.tokens = row.tokens, 0
                self._send_token_request(name, 0, tokens, 0)

    def _request_tokens(self, organisation: str, row: OrganisationRow) -> None:
        now_s = self._ctx.now_s
        if now_s < row.backoff_until_s:
            self._resolve_waiters(row)
            return
        if row.request_number and now_s - row.requested_s < TOKEN_WAIT_S:
            return
        wanted = row.count_missing_tokens(now_s)
        if wanted == 0:
            return
        self._last_request_number += 1
        row.request_number, row.requested_s = self._last_request_number, now_s
        number = row.request_number
        if not self._send_token_request(organisation, wanted, 0, number):
            row.request_number = 0
            self._handle_no_issuer(organisation, row)
        elif self._is_starting():
            self._ctx.timers.call_later(
                TOKEN_WAIT_S, lambda: self._ask_again(organisation, row, number)
            )

    def _is_starting(self) -> bool:
        """Return whether the issuers may only be starting, as this instance is."""
        until_s = self._starts_until_s
        return until_s is not None and self._ctx.now_s < until_s

    def _handle_no_issuer(self, organisation: str, row: OrganisationRow) -> None:
        """Ask again soon while issuers may be starting, and later at other times."""
        if self._is_starting():
            if not row.will_ask_again:
                row.will_ask_again = True
                self._ctx.timers.call_later(
                    START_RETRY_S, lambda: self._ask_again(organisation, row, 0)
                )
            return
        row.backoff_until_s = self._ctx.now_s + NO_ANSWER_BACKOFF_S
        self._resolve_waiters(row)

    def _ask_again(self, organisation: str, row: OrganisationRow, number: int) -> None:
        """Repeat a request for tokens unless it has been answered."""
        row.will_ask_again = False
        if row.waiters and row.request_number == number:
            row.request_number = 0
            self._request_tokens(organisation, row)

    def _resolve_waiters(self, row: OrganisationRow) -> None:
        """Decide on all waiting requests from the own share."""
        while row.waiters:
            self._use_own_share(row, row.waiters.popleft().on_result)

    def _admit_waiters(self, row: OrganisationRow) -> None:
        while row.waiters and row.tokens > 0:
            row.tokens -= 1
            row.waiters.popleft().on_result(ADMITTED)

    def _expire_waiters(self, row: OrganisationRow) -> None:
        now_s = self._ctx.now_s
        expired = [w for w in row.waiters if w.expires_s <= now_s]
        row.waiters = deque(w for w in row.waiters if w.expires_s > now_s)
        for waiter in expired:
            self._use_own_share(row, waiter.on_result)
        if expired and row.request_number and not self._is_starting():
            # The issuer did not answer in time; a later answer is ignored.
            row.request_number = 0
            row.backoff_until_s = now_s + NO_ANSWER_BACKOFF_S

    def _use_own_share(self, row: OrganisationRow, on_result: OnResult) -> None:
        now_s = self._ctx.now_s
        if row.own_bucket.take_tokens(1, now_s):
            on_result(ADMITTED)
            return
        wait_s = max(row.backoff_until_s, row.denied_until_s) - now_s
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        # Without an answer from an issuer only the own share decides.
        decided_by = "issuer" if now_s < row.denied_until_s else "own_share"
        on_result(RateLimitResult(False, retry_after_s, decided_by))

    def _compute_own_limit(self, limit: RateLimit) -> RateLimit:
        bound_ratio = OWN_SHARE_BOUND_RATIO / max(len(self._list_instances()), 1)
        return self._cfg.compute_bucket_limit(limit, bound_ratio, OWN_SHARE_BURST_RATIO)
