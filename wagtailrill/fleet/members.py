"""Registers this instance in the store and knows the others."""

from collections.abc import Callable

from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..store.mirror import MirrorSettings, PrefixMirror
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Item,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Put,
    StoreError,
    StoreErrorKind,
    StoreResult,
)
from .const import (
    CLOCK_RATE_BOUND,
    LEASE_RENEW_S,
    LEASE_RETRY_S,
    LEASE_TTL_S,
    VANISHED_COUNTS_S,
)
from .models import DUTIES, MEMBERS, SECRET, FleetSettings, Member, read_member

SECRET_BYTES = 32
MembersListener = Callable[[], None]


class Members:
    """Keeps a lease with this instance's key, and a copy of the fleet's keys."""

    def __init__(self, ctx: Context, cfg: FleetSettings) -> None:
        self.lease_id = 0
        self.lease_until_s = float("-inf")
        self.secret = b""
        self._ctx = ctx
        self._cfg = cfg
        self._own = Member(
            ctx.identity.instance,
            ctx.identity.incarnation,
            cfg.peer_address,
            ctx.identity.data_centre,
        )
        self._members: dict[str, Member] = {}
        self._complete_s = float("inf")
        self._vanished_s: dict[str, float] = {}
        self._listeners: list[MembersListener] = []
        self._registered = False
        self._registered_revision = 0
        self._renewal: TimerHandle | None = None
        self._stopped = False
        self._failing_since_s: float | None = None
        self.mirror = PrefixMirror(ctx, MirrorSettings(cfg.prefix), self._on_change)

    def start(self) -> None:
        """Register this instance and begin to follow the others."""
        self.mirror.start()
        self._grant()

    def add_listener(self, listener: MembersListener) -> None:
        """Add a receiver of changes of the fleet's keys."""
        self._listeners.append(listener)

    def key(self, part: str) -> str:
        """Return the store key of a part of the fleet's keys."""
        return self._cfg.prefix + part

    def live(self) -> dict[str, Member]:
        """Return the registered members by instance, without this one."""
        return self._members

    def counted(self) -> tuple[str, ...]:
        """Return all instances that may be running, sorted, with this one.

        Fixed shares of the fleet's allowances are divided by these.
        """
        now_s = self._ctx.now_s
        names = {self._own.instance, *self._members}
        names |= {
            name
            for name, since_s in self._vanished_s.items()
            if now_s - since_s < VANISHED_COUNTS_S
        }
        return tuple(sorted(names))

    def complete_for_s(self) -> float:
        """Return for how long the fleet's keys have been known, -1 if they are not."""
        if not self.mirror.complete:
            return -1.0
        return self._ctx.now_s - self._complete_s

    def absent_for_s(self, instance: str) -> float:
        """Return for how long an instance has not been registered, -1 if it is."""
        if instance in self._members or not self.mirror.complete:
            return -1.0
        since_s = self._vanished_s.get(instance, self._complete_s)
        return self._ctx.now_s - since_s

    def lease_valid(self) -> bool:
        """Return whether this instance's lease has not ended."""
        return self._registered and self._ctx.now_s < self.lease_until_s

    def store_answers(self) -> bool:
        """Return whether the last renewal was answered."""
        return self._failing_since_s is None

    def stop(self) -> None:
        """End the lease: the process stops."""
        self._stopped = True
        if self.lease_id:
            self._ctx.call_store(LeaseRevoke(self.lease_id), lambda result: None)

    # Lease

    def _grant(self) -> None:
        self._registered = False
        sent_s = self._ctx.now_s
        self._ctx.call_store(
            LeaseGrant(LEASE_TTL_S), lambda result: self._granted(result, sent_s)
        )

    def _granted(self, result: StoreResult, sent_s: float) -> None:
        if result.is_error():
            self._retry(result.error, self._grant)
            return
        leased = result.ok
        assert isinstance(leased, Leased)
        self.lease_id = leased.lease_id
        self._extend(leased.ttl_s, sent_s)
        self._register()

    def _register(self) -> None:
        put = Put(
            self.key(MEMBERS + self._own.instance), self._own.to_bytes(), self.lease_id
        )
        self._ctx.call_store(Commit((), (put,)), self._on_registered)

    def _on_registered(self, result: StoreResult) -> None:
        if result.is_error():
            ended = result.error.kind is StoreErrorKind.LEASE_ENDED
            self._retry(result.error, self._grant if ended else self._register)
            return
        committed = result.ok
        assert isinstance(committed, Committed)
        self._registered = True
        self._registered_revision = committed.revision
        self._answered()
        self._renew_later(LEASE_RENEW_S)

    def _renew_later(self, delay_s: float) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        self._renewal = self._ctx.timers.call_later(delay_s, self._renew)

    def _renew(self) -> None:
        if self._stopped:
            return
        sent_s = self._ctx.now_s
        self._ctx.call_store(
            LeaseRenew(self.lease_id), lambda result: self._renewed(result, sent_s)
        )

    def _renewed(self, result: StoreResult, sent_s: float) -> None:
        if result.is_error():
            if result.error.kind is StoreErrorKind.LEASE_ENDED:
                self.lease_until_s = float("-inf")
                self._ctx.log(LogName.MEMBER_LEASE_ENDED, lease=self.lease_id)
                self._grant()
                self._notify()
                return
            self._retry(result.error, self._renew)
            return
        leased = result.ok
        assert isinstance(leased, Leased)
        self._extend(leased.ttl_s, sent_s)
        self._answered()
        self._renew_later(max(0.0, sent_s + LEASE_RENEW_S - self._ctx.now_s))

    def _extend(self, ttl_s: float, sent_s: float) -> None:
        self.lease_until_s = sent_s + ttl_s * (1.0 - CLOCK_RATE_BOUND)

    def _retry(self, error: StoreError, again: Callable[[], None]) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._ctx.now_s
            self._ctx.log(
                LogName.STORE_LOST, kind=error.kind.value, message=error.message
            )
        self._ctx.timers.call_later(LEASE_RETRY_S, again)

    def _answered(self) -> None:
        if self._failing_since_s is not None:
            outage_s = self._ctx.now_s - self._failing_since_s
            self._failing_since_s = None
            self._ctx.log(LogName.STORE_REGAINED, outage_s=round(outage_s, 3))

    # Other instances

    def _on_change(self, keys: frozenset[str]) -> None:
        self._complete_s = min(self._complete_s, self._ctx.now_s)
        prefix = self.key(MEMBERS)
        members = {}
        for key, item in self.mirror.items.items():
            member = read_member(item) if key.startswith(prefix) else None
            if member is not None and member.instance != self._own.instance:
                members[member.instance] = member
        for name in self._members.keys() - members.keys():
            self._vanished_s[name] = self._ctx.now_s
            self._ctx.log(LogName.MEMBER_VANISHED, member=name)
        for name, member in members.items():
            self._vanished_s.pop(name, None)
            if self._members.get(name) != member:
                self._ctx.log(
                    LogName.MEMBER_JOINED,
                    member=name,
                    incarnation=member.incarnation,
                    address=member.address,
                )
        self._members = members
        self._check_own_key()
        self._learn_secret()
        self._notify()

    def _check_own_key(self) -> None:
        """Register again when the key was lost, as after a lapse in an outage."""
        item = self.mirror.items.get(self.key(MEMBERS + self._own.instance))
        seen = self.mirror.revision >= self._registered_revision
        if self._registered and not self._stopped and item is None and seen:
            self._registered = False
            self._register()

    def _learn_secret(self) -> None:
        key = self.key(SECRET)
        item = self.mirror.items.get(key)
        if item is not None:
            self.secret = item.value
        elif self.mirror.complete:
            put = Put(key, self._ctx.rng.randbytes(SECRET_BYTES))
            self._ctx.call_store(
                Commit((Expected(key, 0),), (put,)), lambda result: None
            )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def item(self, part: str) -> Item | None:
        """Return a key of the fleet as it was last seen."""
        return self.mirror.items.get(self.key(part))

    def duty_key(self, duty: str) -> str:
        """Return the store key of a duty."""
        return self.key(DUTIES + duty)
