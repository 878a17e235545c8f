"""Fleet-wide rate limits: admits requests here and issues tokens for held duties.

The router builds it; the request pipeline calls `take_token`.
"""

from collections.abc import Callable

import xxhash

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..declaration.models import Configuration
from ..fleet.const import RATES_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..peer.registry import Envelope
from ..requests.interfaces import RateLimitResult
from ..store.models import Commit, Expected, Leased, LeaseGrant, Put, StoreResult
from .const import FULL_START_GUARD_S, SHARD_COUNT, TICK_INTERVAL_S
from .holder import TokenHolder
from .issuer import TokenIssuer
from .messages import TokenGrant, TokenRequest
from .models import RateLimit, RateSettings

DUTY_PREFIX = "rates/"
FULL_START_KEY_PREFIX = "full-starts/"


def get_issuing_duty(organisation: str) -> str:
    """Return the name of the duty that issues the tokens of an organisation."""
    return (
        f"{DUTY_PREFIX}{xxhash.xxh3_64_intdigest(organisation.encode()) % SHARD_COUNT}"
    )


class RateLimiter:
    """Implements `RateLimits`, and `DutyListener` for the issuing duties."""

    def __init__(
        self, ctx: Context, members: Members, duties: Duties, cfg: RateSettings
    ) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._duties = duties
        self.issuer = TokenIssuer(ctx, cfg)
        self.holder = TokenHolder(
            ctx, cfg, members.list_possibly_running, self._send_token_request
        )
        self._instances: tuple[str, ...] = ()
        self._members = members
        ctx.timers.call_every(TICK_INTERVAL_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of token messages."""
        host.register_message_handler([TokenRequest], self._handle_token_request)
        host.register_message_handler([TokenGrant], self._handle_token_grant)

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings."""
        self._cfg = cfg
        for component in (self.issuer, self.holder):
            component.apply_settings(cfg)

    def configure(self, configuration: Configuration) -> None:
        """Apply the rate limits of a configuration and register the issuing duties."""
        limits = {
            o.name: RateLimit(o.rate_per_s, o.burst)
            for o in configuration.organisations.values()
        }
        self.issuer.configure(limits)
        self.holder.configure(limits)
        for shard in range(SHARD_COUNT):
            self._duties.register(f"{DUTY_PREFIX}{shard}", self, RATES_DUTY_WEIGHT)

    def take_token(
        self,
        organisation: str,
        on_result: Callable[[RateLimitResult], None],
        patience_s: float = 0.0,
    ) -> None:
        """Decide on a request now, or once a token has arrived or the wait is over."""
        self.holder.take_token(organisation, on_result, patience_s)

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Start to issue tokens, from empty buckets until a full start is granted."""
        self.issuer.start_issuing(duty, predecessor_may_act_s)
        ttl_s = self._cfg.window_s + FULL_START_GUARD_S
        if self._ctx.now_s - self._ctx.store_era.began_by_s < ttl_s:
            # The store may have lost the key of a full start in the same window.
            self._ctx.log(LogName.TOKENS_STARTED, duty=duty, fence=fence, full=False)
            return
        self._ctx.call_store(
            LeaseGrant(ttl_s),
            lambda result: self._handle_guard_lease(duty, fence, result),
        )

    def _handle_guard_lease(self, duty: str, fence: int, result: StoreResult) -> None:
        """Write the key that allows only one full start per window."""
        leased = result.ok if result.is_ok() else None
        if not isinstance(leased, Leased):
            return  # the buckets start empty, which is safe
        key = self._members.build_key(FULL_START_KEY_PREFIX + duty)
        put = Put(key, str(fence).encode(), leased.lease_id)
        self._ctx.call_store(
            Commit((Expected(key, 0),), (put,)),
            lambda written: self._handle_guard_write(duty, fence, written),
        )

    def _handle_guard_write(self, duty: str, fence: int, result: StoreResult) -> None:
        restored_for_s = self._ctx.now_s - self._ctx.store_era.began_by_s
        is_guard_kept = restored_for_s >= self._cfg.window_s + FULL_START_GUARD_S
        starts_full = result.is_ok() and is_guard_kept and self._duties.holds(duty)
        self._ctx.log(LogName.TOKENS_STARTED, duty=duty, fence=fence, full=starts_full)
        if starts_full:
            self.issuer.fill_buckets(duty)

    def on_predecessor_stopped(self, duty: str) -> None:
        """Issue tokens at once."""
        self.issuer.stop_waiting_for_predecessor(duty)

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Start again, from empty buckets, when the predecessor has stopped."""
        self.issuer.start_issuing(duty, predecessor_may_act_s)

    def on_duty_lost(self, duty: str) -> None:
        """Stop issuing tokens."""
        self.issuer.stop_issuing(duty)

    def _send_token_request(
        self, organisation: str, wanted: int, returned: int, number: int
    ) -> bool:
        """Send a token request to the issuer; return whether an issuer is known."""
        duty_holder = self._duties.get_holder(get_issuing_duty(organisation))
        if duty_holder is None or not duty_holder.instance:
            return False
        request = TokenRequest(organisation, wanted, returned, number)
        self._ctx.send(duty_holder.instance, request, duty_holder.incarnation)
        return True

    def _handle_token_request(self, envelope: Envelope) -> None:
        request: TokenRequest = envelope.message
        duty = get_issuing_duty(request.organisation)
        is_issuing = self._duties.holds(duty) and self.issuer.is_issuing(duty)
        tokens = 0
        if is_issuing:
            tokens = self.issuer.take_tokens(
                duty, request.organisation, request.wanted, request.returned
            )
        if not request.number:
            return
        due_in_s = (
            self.issuer.compute_token_delay_s(duty, request.organisation)
            if is_issuing
            else 0.0
        )
        grant = TokenGrant(
            request.organisation, tokens, due_in_s, request.number, is_issuing
        )
        self._ctx.send(envelope.sender, grant, envelope.incarnation)

    def _handle_token_grant(self, envelope: Envelope) -> None:
        self.holder.apply_grant(envelope.message)

    def _tick(self) -> None:
        self.holder.return_unused_tokens()
        instances = self._members.list_possibly_running()
        if instances != self._instances:
            self._instances = instances
            self.holder.update_own_shares()
