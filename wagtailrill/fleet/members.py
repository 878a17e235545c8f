"""Registers this instance in the store under a lease, and tracks the other instances.

The router and all components that divide work among instances use it.
"""

from collections.abc import Callable

import attrs

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..store.budget import UNANSWERED_KINDS, is_unanswered
from ..store.const import (
    FLEET_WATCH_PAUSE_MAX_S,
    WATCH_PAUSE_PER_MEMBER_S,
    WATCH_PAUSE_S,
)
from ..store.mirror import MirrorSettings, PrefixMirror
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Item,
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
    SECRETS_MAX,
    VANISHED_MEMBER_RETENTION_S,
)
from .models import (
    DUTIES_PREFIX,
    MEMBERS_PREFIX,
    SECRET_NAME,
    FleetSettings,
    Member,
    read_member,
)

SECRET_BYTES = 32
MembersListener = Callable[[], None]


class Members:
    """Keeps the lease on this instance's key, and a mirror of the fleet's keys.

    `lease_until_s` is when the lease ends at the earliest, on this instance's clock,
    and `former_lease_until_s` when the leases before it did.
    `secrets` authenticate peer messages unless secrets are configured. All instances
    share the first; the others are former ones. It is empty until one is known.

    After a restore of the store, the instance registers again under a fresh lease, as
    the id of the former one may belong to another instance. The others stay registered
    for the duration of a lease. Instances that only the copy names are not registered,
    but may be running.

    `get_configuration_version` returns the number that is registered as the newest
    known version of the configuration.
    """

    def __init__(self, ctx: Context, cfg: FleetSettings) -> None:
        self.lease_id = 0
        self.lease_until_s = self.former_lease_until_s = float("-inf")
        self.secrets: tuple[bytes, ...] = ()
        self._ctx = ctx
        self._cfg = cfg
        self._own_member = Member(
            ctx.identity.instance,
            ctx.identity.incarnation,
            cfg.peer_address,
            ctx.identity.data_centre,
            capacity=cfg.capacity,
        )
        self._members: dict[str, Member] = {}
        self._complete_since_s = float("inf")
        self._vanished_since_s: dict[str, float] = {}
        # Members that have not registered again since a restore of the store.
        self._unconfirmed: set[str] = set()
        self._unconfirmed_end: TimerHandle | None = None
        self._listeners: list[MembersListener] = []
        self._is_registered = False
        self._registered_revision = 0
        self._renewal: TimerHandle | None = None
        self._lease_calls = CallScope(ctx)
        self.get_configuration_version: Callable[[], int] = lambda: 0
        self._is_stopped = False
        self._failing_since_s: float | None = None
        # When the latest renewal was sent, and the latest one that was answered.
        self._renewal_sent_s = self._renewed_s = float("-inf")
        secret_key = self.build_key(SECRET_NAME)
        self.mirror = PrefixMirror(
            ctx,
            MirrorSettings(cfg.prefix, private_keys=frozenset({secret_key})),
            self._on_change,
        )

    def start(self) -> None:
        """Register this instance and begin to watch the others."""
        self._ctx.store_era.add_listener(self._on_store_restored)
        self._ctx.store_budget.is_probed = True
        self.mirror.start()
        self._request_lease()

    def add_listener(self, listener: MembersListener) -> None:
        """Add a callback that is called after each change of the fleet's keys."""
        self._listeners.append(listener)

    def build_key(self, name: str) -> str:
        """Return the full store key of a name below the fleet's prefix."""
        return self._cfg.prefix + name

    def get_other_members(self) -> dict[str, Member]:
        """Return the other registered members by instance name."""
        return self._members

    def list_capacities(self) -> dict[str, float]:
        """Return the capacities of all registered members and of this instance."""
        members = (self._own_member, *self._members.values())
        return {member.instance: member.capacity for member in members}

    def list_contacts(self) -> dict[str, Member]:
        """Return all others that may be reached, by name, the registered ones first.

        The others are in the copy from which the store was restored.
        """
        contacts = dict(self._members)
        for member in self._read_stored_members():
            contacts.setdefault(member.instance, member)
        return contacts

    def register_again(self) -> None:
        """Register what has changed since, unless a registration is due anyway."""
        if self._is_registered and not self._is_stopped:
            self._register_member()

    def list_possibly_running(self) -> tuple[str, ...]:
        """Return the sorted names of all instances that may run, including this one.

        Fleet-wide allowances are divided into fixed shares by their number.
        """
        now_s = self._ctx.now_s
        names = {self._own_member.instance, *self._members}
        names |= {
            name
            for name, since_s in self._vanished_since_s.items()
            if now_s - since_s < VANISHED_MEMBER_RETENTION_S
        }
        return tuple(sorted(names))

    def get_complete_duration_s(self) -> float:
        """Return for how many seconds the mirror has been complete, -1 if it is not."""
        if not self.mirror.is_complete:
            return -1.0
        return self._ctx.now_s - self._complete_since_s

    def get_absence_s(self, instance: str) -> float:
        """Return for how many seconds an instance has not been registered.

        The result is -1 if it is registered, or while the mirror is not complete.
        """
        if instance in self._members or not self.mirror.is_complete:
            return -1.0
        since_s = self._vanished_since_s.get(instance, self._complete_since_s)
        return self._ctx.now_s - since_s

    def is_lease_valid(self) -> bool:
        """Return whether this instance is registered and its lease has not ended."""
        return self._is_registered and self._ctx.now_s < self.lease_until_s

    def is_registration_mirrored(self) -> bool:
        """Return whether the mirror shows the keys as of the present registration."""
        is_mirrored = self.mirror.revision >= self._registered_revision
        return is_mirrored and self.is_lease_valid()

    def is_store_answering(self) -> bool:
        """Return whether the store answered the last renewal of the lease."""
        return self._failing_since_s is None

    def stop(self) -> None:
        """Remove the registration, since the process stops.

        The lease runs out: after a restore that this process has not heard of, its id
        may belong to another instance.
        """
        self._is_stopped = True
        if self._is_registered:
            key = self.build_key(MEMBERS_PREFIX + self._own_member.instance)
            expected = Expected(key, self._registered_revision)
            self._ctx.call_store(
                Commit((expected,), removes=(key,)), lambda result: None
            )

    # Lease

    def _on_store_restored(self) -> None:
        self._lease_calls.abandon()
        self.lease_id = 0
        self._unconfirmed = set(self._members)
        if self._unconfirmed_end is not None:
            self._unconfirmed_end.cancel()
        self._unconfirmed_end = self._ctx.timers.call_later(
            LEASE_TTL_S, self._drop_unconfirmed
        )
        if not self._is_stopped:
            self._request_lease()

    def _request_lease(self) -> None:
        # Answers about a former lease are of no more use.
        self._lease_calls.abandon()
        self._is_registered = False
        self._note_lease_end()
        sent_s = self._ctx.now_s
        self._lease_calls.call_store(
            LeaseGrant(LEASE_TTL_S),
            lambda result: self._on_lease_granted(result, sent_s),
        )

    def _on_lease_granted(self, result: StoreResult, sent_s: float) -> None:
        if result.is_error():
            self._retry_later(result.error, self._request_lease)
            return
        leased = result.ok
        assert isinstance(leased, Leased)
        self.lease_id = leased.lease_id
        self._extend_lease(leased.ttl_s, sent_s)
        self._register_member()

    def _register_member(self) -> None:
        own_member = attrs.evolve(
            self._own_member,
            store_era=self._ctx.store_era.current,
            configuration_version=self.get_configuration_version(),
        )
        key = self.build_key(MEMBERS_PREFIX + own_member.instance)
        put = Put(key, own_member.to_bytes(), self.lease_id)
        self._lease_calls.call_store(Commit((), (put,)), self._on_registered)

    def _on_registered(self, result: StoreResult) -> None:
        if result.is_error():
            ended = result.error.kind is StoreErrorKind.LEASE_ENDED
            self._retry_later(
                result.error, self._request_lease if ended else self._register_member
            )
            return
        committed = result.ok
        assert isinstance(committed, Committed)
        self._is_registered = True
        self._registered_revision = committed.revision
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
                self._request_lease()
                self._notify_listeners()
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
            else ListPrefix(self.build_key(MEMBERS_PREFIX), allow_stale=True)
        )

        def on_result(result: StoreResult) -> None:
            if is_unanswered(result):
                return
            self._lease_calls.abandon()
            if result.is_error():
                self._request_lease()
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

    def check_store(self) -> None:
        """Renew the lease now, as the store may have been restored meanwhile."""
        if self._is_registered:
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

    # Other instances

    def _on_change(self, keys: frozenset[str]) -> None:
        self._complete_since_s = min(self._complete_since_s, self._ctx.now_s)
        members = self._read_members()
        self._unconfirmed -= members.keys()
        members |= {n: m for n, m in self._members.items() if n in self._unconfirmed}
        for name in self._members.keys() - members.keys():
            self._vanished_since_s[name] = self._ctx.now_s
            self._ctx.log(LogName.MEMBER_VANISHED, member=name)
        for member in self._read_stored_members():
            # A registration of the copy: the process may run without the store.
            self._vanished_since_s.setdefault(member.instance, self._ctx.now_s)
        for name, member in members.items():
            self._vanished_since_s.pop(name, None)
            if self._members.get(name) != member:
                self._ctx.log(
                    LogName.MEMBER_JOINED,
                    member=name,
                    incarnation=member.incarnation,
                    address=member.address,
                )
        self._members = members
        self._ctx.store_budget.fleet_size = len(members) + 1
        self.mirror.watch_pause_s = min(
            WATCH_PAUSE_S + len(members) * WATCH_PAUSE_PER_MEMBER_S,
            FLEET_WATCH_PAUSE_MAX_S,
        )
        self._check_own_key()
        self._read_or_create_secret()
        self._notify_listeners()

    def _read_members(self) -> dict[str, Member]:
        """Return the others that have registered in the present era of the store."""
        return {
            member.instance: member
            for member in self._read_stored_members()
            if not self._is_outdated(member)
        }

    def _read_stored_members(self) -> list[Member]:
        """Return the others whose entries are stored, those of the copy included."""
        prefix = self.build_key(MEMBERS_PREFIX)
        read = [
            read_member(item)
            for key, item in self.mirror.items.items()
            if key.startswith(prefix)
        ]
        return [m for m in read if m and m.instance != self._own_member.instance]

    def _is_outdated(self, member: Member) -> bool:
        era = member.store_era
        return era is not None and era < self._ctx.store_era.current

    def _drop_unconfirmed(self) -> None:
        self._unconfirmed.clear()
        self._on_change(frozenset())

    def _check_own_key(self) -> None:
        """Register again if the own key is gone, as after a lease lost in an outage.

        A registration without an answer may take effect after a restore, under a lease
        that belongs to another instance by then.
        """
        item = self.mirror.items.get(
            self.build_key(MEMBERS_PREFIX + self._own_member.instance)
        )
        is_current = self.mirror.revision >= self._registered_revision
        is_own = item is not None and item.lease_id == self.lease_id
        # Under a lease that seems to have ended, its renewal shows what to do.
        if self.is_lease_valid() and not self._is_stopped and not is_own and is_current:
            self._is_registered = False
            self._register_member()

    def _read_or_create_secret(self) -> None:
        """Take the secret of the fleet, or write it if the store has none.

        Frames under former secrets are still accepted: the others may not yet have
        learned of one that was created after a restore of the store.
        """
        key = self.build_key(SECRET_NAME)
        item = self.mirror.items.get(key)
        if item is not None:
            former = tuple(s for s in self.secrets if s != item.value)
            self.secrets = (item.value, *former)[:SECRETS_MAX]
        elif self.mirror.is_complete:
            known_or_new = (*self.secrets, self._ctx.rng.randbytes(SECRET_BYTES))
            put = Put(key, known_or_new[0])
            self._ctx.call_store(
                Commit((Expected(key, 0),), (put,)), lambda result: None
            )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            self._ctx.guard.run("members changed", listener)

    def get_item(self, name: str) -> Item | None:
        """Return the mirrored item of a name below the fleet's prefix, if present."""
        return self.mirror.items.get(self.build_key(name))

    def build_duty_key(self, duty: str) -> str:
        """Return the store key of a duty."""
        return self.build_key(DUTIES_PREFIX + duty)
