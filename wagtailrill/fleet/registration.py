"""Keeps the lease of this instance and its key in the store.

Used by `Members`.
"""

from collections.abc import Callable

import attrs

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..store.budget import UNANSWERED_KINDS, is_unanswered
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Leased,
    LeaseGrant,
    LeaseRenew,
    ListPrefix,
    Put,
    StoreError,
    StoreErrorKind,
    StoreResult,
)
from .const import (
    CLOCK_DRIFT_MAX_RATIO,
    ENDED_LEASE_RETRY_MAX_S,
    ENDED_LEASE_RETRY_MIN_S,
    LEASE_RENEW_INTERVAL_S,
    LEASE_RETRY_MAX_S,
    LEASE_TTL_S,
    REREGISTRATION_GRACE_S,
)
from .models import MEMBERS_PREFIX, FleetSettings, Member


class Registration:
    """Registers this instance under a lease, and again when the lease has ended.

    `lease_until_s` is when the lease ends at the earliest, on this instance's clock,
    and `former_lease_until_s` when the leases before it did. `registered_revision` is
    that of the last registration. `on_lease_ended` is called when the store has ended
    the lease.

    `get_configuration_version` returns the number that is registered as the newest
    known version of the configuration.
    """

    def __init__(
        self, ctx: Context, cfg: FleetSettings, on_lease_ended: Callable[[], None]
    ) -> None:
        self.lease_id = 0
        self.lease_until_s = self.former_lease_until_s = float("-inf")
        self.is_registered = False
        self.registered_revision = 0
        self.get_configuration_version: Callable[[], int] = lambda: 0
        self._ctx = ctx
        self._on_lease_ended = on_lease_ended
        self._own_member = Member(
            ctx.identity.instance,
            ctx.identity.incarnation,
            cfg.peer_address,
            ctx.identity.data_centre,
            capacity=cfg.capacity,
        )
        self._members_prefix = cfg.prefix + MEMBERS_PREFIX
        self._key = self._members_prefix + ctx.identity.instance
        self._renewal: TimerHandle | None = None
        self._lease_calls = CallScope(ctx)
        self._is_stopped = False
        self._failing_since_s: float | None = None
        # When the latest renewal was sent, and the latest one that was answered.
        self._renewal_sent_s = self._renewed_s = float("-inf")

    @property
    def own_member(self) -> Member:
        """Return what is registered of this instance."""
        return self._own_member

    def is_lease_valid(self) -> bool:
        """Return whether this instance is registered and its lease has not ended."""
        return self.is_registered and self._ctx.now_s < self.lease_until_s

    def is_store_answering(self) -> bool:
        """Return whether the store answered the last renewal of the lease."""
        return self._failing_since_s is None

    def register_again(self) -> None:
        """Register what has changed since, unless a registration is due anyway."""
        if self.is_registered and not self._is_stopped:
            self.register()

    def restart_after_restore(self) -> None:
        """Register under a new lease: the former id may be another instance's."""
        self._lease_calls.abandon()
        self.lease_id = 0
        if not self._is_stopped:
            self.request_lease()

    def repair(self, lease_id: int | None) -> None:
        """Register again if the key is gone, or stored under another lease.

        `lease_id` is the one of the stored key, None without a key. A registration
        without an answer may take effect after a restore, under a lease that belongs to
        another instance by then.
        """
        # Under a lease that seems to have ended, its renewal shows what to do.
        is_own = lease_id == self.lease_id
        if self.is_lease_valid() and not self._is_stopped and not is_own:
            self.is_registered = False
            self.register()

    def stop(self) -> None:
        """Remove the registration, since the process stops.

        The lease runs out: after a restore that this process has not heard of, its id
        may belong to another instance.
        """
        self._is_stopped = True
        if self.is_registered:
            expected = Expected(self._key, self.registered_revision)
            self._ctx.call_store(
                Commit((expected,), removes=(self._key,)), lambda result: None
            )

    def request_lease(self) -> None:
        """Register under a new lease."""
        # Answers about a former lease are of no more use.
        self._lease_calls.abandon()
        self.is_registered = False
        self._note_lease_end()
        sent_s = self._ctx.now_s
        self._lease_calls.call_store(
            LeaseGrant(LEASE_TTL_S),
            lambda result: self._on_lease_granted(result, sent_s),
        )

    def _on_lease_granted(self, result: StoreResult, sent_s: float) -> None:
        if result.is_error():
            self._retry_later(result.error, self.request_lease)
            return
        leased = result.ok
        assert isinstance(leased, Leased)
        self.lease_id = leased.lease_id
        self._extend_lease(leased.ttl_s, sent_s)
        self.register()

    def register(self) -> None:
        """Write the key of this instance under the present lease."""
        own_member = attrs.evolve(
            self._own_member,
            store_era=self._ctx.store_era.current,
            configuration_version=self.get_configuration_version(),
        )
        key = self._key
        put = Put(key, own_member.to_bytes(), self.lease_id)
        self._lease_calls.call_store(Commit((), (put,)), self._on_registered)

    def _on_registered(self, result: StoreResult) -> None:
        if result.is_error():
            ended = result.error.kind is StoreErrorKind.LEASE_ENDED
            self._retry_later(
                result.error, self.request_lease if ended else self.register
            )
            return
        committed = result.ok
        assert isinstance(committed, Committed)
        self.is_registered = True
        self.registered_revision = committed.revision
        self._record_store_answer()
        self._schedule_renewal(LEASE_RENEW_INTERVAL_S)

    def _schedule_renewal(self, delay_s: float) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        self._renewal = self._lease_calls.call_later(delay_s, self._renew_lease)

    def _renew_lease(self) -> None:
        if self._is_stopped:
            return
        sent_s = self._renewal_sent_s = self._ctx.now_s
        # A renewal whose answer is late or lost is followed by the next one in time.
        is_failing = self._failing_since_s is not None
        self._schedule_renewal(
            self._draw_retry_delay_s() if is_failing else LEASE_RENEW_INTERVAL_S
        )
        self._lease_calls.call_store(
            LeaseRenew(self.lease_id),
            lambda result: self._on_lease_renewed(result, sent_s),
        )

    def _on_lease_renewed(self, result: StoreResult, sent_s: float) -> None:
        if result.is_error():
            if result.error.kind is StoreErrorKind.LEASE_ENDED:
                self._note_lease_end()
                self.lease_until_s = float("-inf")
                self._ctx.log(LogName.MEMBER_LEASE_ENDED, lease=self.lease_id)
                self.request_lease()
                self._on_lease_ended()
            elif sent_s > self._renewed_s and self._record_failure(result.error):
                self._schedule_renewal(self._draw_retry_delay_s())
            return
        leased = result.ok
        assert isinstance(leased, Leased)
        self._renewed_s = max(self._renewed_s, sent_s)
        self._extend_lease(leased.ttl_s, sent_s)
        self._record_store_answer()
        due_s = self._renewal_sent_s + LEASE_RENEW_INTERVAL_S
        self._schedule_renewal(max(0.0, due_s - self._ctx.now_s))

    def _note_lease_end(self) -> None:
        self.former_lease_until_s = max(self.former_lease_until_s, self.lease_until_s)

    def _extend_lease(self, ttl_s: float, sent_s: float) -> None:
        until_s = sent_s + ttl_s * (1.0 - CLOCK_DRIFT_MAX_RATIO)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def _retry_later(self, error: StoreError, call: Callable[[], None]) -> None:
        """Repeat a call once the store answers a cheaper one."""
        self._record_failure(error)
        if error.kind in UNANSWERED_KINDS:
            delay_s = self._draw_retry_delay_s()
            self._lease_calls.call_later(delay_s, lambda: self._probe_store(call))
        else:
            self._lease_calls.call_later(self._draw_retry_delay_s(), call)

    def _probe_store(self, call: Callable[[], None]) -> None:
        """Ask the store, by a call that costs it little, if it serves this instance."""
        operation = (
            LeaseRenew(self.lease_id)
            if self.lease_id
            else ListPrefix(self._members_prefix, allow_stale=True)
        )

        def on_result(result: StoreResult) -> None:
            if is_unanswered(result):
                return
            self._lease_calls.abandon()
            if result.is_error():
                self.request_lease()
            else:
                call()

        self._lease_calls.call_store(operation, on_result)
        self._lease_calls.call_later(
            self._draw_retry_delay_s(), lambda: self._probe_store(call)
        )

    def _draw_retry_delay_s(self) -> float:
        # A holder that registers again within this time keeps its duties.
        may_keep_duties = self._ctx.now_s < self.lease_until_s + REREGISTRATION_GRACE_S
        if may_keep_duties:
            return self._ctx.rng.uniform(0.0, LEASE_RETRY_MAX_S)
        return self._ctx.rng.uniform(ENDED_LEASE_RETRY_MIN_S, ENDED_LEASE_RETRY_MAX_S)

    def renew_now(self) -> None:
        """Renew the lease without waiting for its next time, if there is one."""
        if self.is_registered:
            self._renew_lease()

    def _record_failure(self, error: StoreError) -> bool:
        """Record that a call failed; return whether it is the first in a row."""
        if self._failing_since_s is not None:
            return False
        self._failing_since_s = self._ctx.now_s
        self._ctx.log(LogName.STORE_LOST, kind=error.kind.value, message=error.message)
        return True

    def _record_store_answer(self) -> None:
        if self._failing_since_s is not None:
            outage_s = self._ctx.now_s - self._failing_since_s
            self._failing_since_s = None
            self._ctx.log(LogName.STORE_REGAINED, outage_s=round(outage_s, 3))
