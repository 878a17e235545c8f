"""Rates of organisations: the holder of each instance and the issuers' duties."""

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
from .const import FULL_START_GUARD_S, SHARDS, TICK_S
from .holder import Holder
from .issuer import Issuer
from .messages import TokenGrant, TokenRequest
from .models import Limit, RateSettings

DUTY_PREFIX = "rates/"
FULL_START = "full-starts/"


def duty_of(organisation: str) -> str:
    """Return the duty that issues the tokens of an organisation."""
    return f"{DUTY_PREFIX}{xxhash.xxh3_64_intdigest(organisation.encode()) % SHARDS}"


class Rates:
    """Implements `RateLimits`, and `DutyListener` for the duties of issuing."""

    def __init__(
        self, ctx: Context, members: Members, duties: Duties, cfg: RateSettings
    ) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._duties = duties
        self.issuer = Issuer(ctx, cfg)
        self.holder = Holder(ctx, cfg, members.list_possibly_running, self._ask)
        self._counted: tuple[str, ...] = ()
        self._members = members
        ctx.timers.subscribe(TICK_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.on_messages([TokenRequest], self._on_request)
        host.on_messages([TokenGrant], self._on_grant)

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings."""
        self._cfg = cfg
        for part in (self.issuer, self.holder):
            part.apply_settings(cfg)

    def configure(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration."""
        limits = {
            o.name: Limit(o.rate_per_s, o.burst)
            for o in configuration.organisations.values()
        }
        self.issuer.configure(limits)
        self.holder.configure(limits)
        for number in range(SHARDS):
            self._duties.register(f"{DUTY_PREFIX}{number}", self, RATES_DUTY_WEIGHT)

    def take_token(
        self, organisation: str, on_result: Callable[[RateLimitResult], None]
    ) -> None:
        """Admit a request now, or once a token has come."""
        self.holder.take(organisation, on_result)

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Begin to issue tokens."""
        self.issuer.begin(duty, predecessor_may_act_s)
        ttl_s = self._cfg.window_s + FULL_START_GUARD_S
        self._ctx.call_store(
            LeaseGrant(ttl_s), lambda result: self._guard_leased(duty, fence, result)
        )

    def _guard_leased(self, duty: str, fence: int, result: StoreResult) -> None:
        """Claim the one full start that is allowed in a window."""
        leased = result.ok if result.is_ok() else None
        if not isinstance(leased, Leased):
            return  # the buckets stay empty at first, which is safe
        key = self._members.build_key(FULL_START + duty)
        put = Put(key, str(fence).encode(), leased.lease_id)
        self._ctx.call_store(
            Commit((Expected(key, 0),), (put,)),
            lambda written: self._guard_written(duty, fence, written),
        )

    def _guard_written(self, duty: str, fence: int, result: StoreResult) -> None:
        filled = result.is_ok() and self._duties.holds(duty)
        self._ctx.log(LogName.TOKENS_STARTED, duty=duty, fence=fence, full=filled)
        if filled:
            self.issuer.fill(duty)

    def on_predecessor_stopped(self, duty: str) -> None:
        """Issue tokens at once."""
        self.issuer.predecessor_stopped(duty)

    def on_duty_lost(self, duty: str) -> None:
        """Stop issuing tokens."""
        self.issuer.end(duty)

    def _ask(self, organisation: str, wanted: int, returned: int, number: int) -> bool:
        """Ask the issuer; return whether one is known."""
        holder = self._duties.get_holder(duty_of(organisation))
        if holder is None or not holder.instance:
            return False
        request = TokenRequest(organisation, wanted, returned, number)
        self._ctx.send(holder.instance, request, holder.incarnation)
        return True

    def _on_request(self, envelope: Envelope) -> None:
        request: TokenRequest = envelope.message
        duty = duty_of(request.organisation)
        issues = self._duties.holds(duty) and self.issuer.issues(duty)
        tokens = 0
        if issues:
            tokens = self.issuer.take(
                duty, request.organisation, request.wanted, request.returned
            )
        if not request.number:
            return
        due_in_s = self.issuer.due_in_s(duty, request.organisation) if issues else 0.0
        grant = TokenGrant(
            request.organisation, tokens, due_in_s, request.number, issues
        )
        self._ctx.send(envelope.sender, grant, envelope.incarnation)

    def _on_grant(self, envelope: Envelope) -> None:
        self.holder.granted(envelope.message)

    def _tick(self) -> None:
        self.holder.tick()
        counted = self._members.list_possibly_running()
        if counted != self._counted:
            self._counted = counted
            self.holder.instances_changed()
