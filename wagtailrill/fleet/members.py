"""Registers this instance in the store under a lease, and tracks the other instances.

The router and all components that divide work among instances use it.
"""

from collections.abc import Callable

from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..store.const import (
    FLEET_WATCH_PAUSE_MAX_S,
    WATCH_PAUSE_PER_MEMBER_S,
    WATCH_PAUSE_S,
)
from ..store.mirror import PrefixMirror
from ..store.mirror_models import MirrorSettings
from ..store.models import (
    Commit,
    Expected,
    Item,
    Put,
)
from .const import (
    LEASE_TTL_S,
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
from .registration import Registration

SECRET_BYTES = 32
MembersListener = Callable[[], None]


class Members:
    """Keeps the lease on this instance's key, and a mirror of the fleet's keys.

    `secrets` authenticate peer messages unless secrets are configured. All instances
    share the first; the others are former ones. It is empty until one is known.

    After a restore of the store, the instance registers again under a fresh lease, as
    the id of the former one may belong to another instance. The others stay registered
    for the duration of a lease. Instances that only the copy names are not registered,
    but may be running.
    """

    def __init__(self, ctx: Context, cfg: FleetSettings) -> None:
        self.secrets: tuple[bytes, ...] = ()
        self._ctx = ctx
        self._cfg = cfg
        self._registration = Registration(ctx, cfg, self._notify_listeners)
        self._members: dict[str, Member] = {}
        self._complete_since_s = float("inf")
        self._vanished_since_s: dict[str, float] = {}
        # Members that have not registered again since a restore of the store.
        self._unconfirmed: set[str] = set()
        self._unconfirmed_end: TimerHandle | None = None
        self._listeners: list[MembersListener] = []
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
        self._registration.request_lease()

    def add_listener(self, listener: MembersListener) -> None:
        """Add a callback that is called after each change of the fleet's keys."""
        self._listeners.append(listener)

    def build_key(self, name: str) -> str:
        """Return the full store key of a name below the fleet's prefix."""
        return self._cfg.prefix + name

    def get_other_members(self) -> dict[str, Member]:
        """Return the other registered members by instance name."""
        return self._members

    def get_registered_revision(self, instance: str) -> int:
        """Return the revision of an instance's registration, 0 without one."""
        item = self.get_item(MEMBERS_PREFIX + instance)
        return item.revision if item is not None else 0

    def list_capacities(self) -> dict[str, float]:
        """Return the capacities of all registered members and of this instance."""
        members = (self._registration.own_member, *self._members.values())
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
        self._registration.register_again()

    def check_store(self) -> None:
        """Renew the lease now, as the store may have been restored meanwhile."""
        self._registration.renew_now()

    def list_possibly_running(self) -> tuple[str, ...]:
        """Return the sorted names of all instances that may run, including this one.

        Fleet-wide allowances are divided into fixed shares by their number.
        """
        now_s = self._ctx.now_s
        names = {self._ctx.identity.instance, *self._members}
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

    @property
    def lease_id(self) -> int:
        """Return the id of the lease, 0 before the first one."""
        return self._registration.lease_id

    @property
    def lease_until_s(self) -> float:
        """Return when the lease ends at the earliest, on this instance's clock."""
        return self._registration.lease_until_s

    @property
    def former_lease_until_s(self) -> float:
        """Return when the leases before the present one ended."""
        return self._registration.former_lease_until_s

    def is_lease_valid(self) -> bool:
        """Return whether this instance is registered and its lease has not ended."""
        return self._registration.is_lease_valid()

    def is_registration_mirrored(self) -> bool:
        """Return whether the mirror shows the keys as of the present registration."""
        is_mirrored = self.mirror.revision >= self._registration.registered_revision
        return is_mirrored and self.is_lease_valid()

    def is_store_answering(self) -> bool:
        """Return whether the store answered the last renewal of the lease."""
        return self._registration.is_store_answering()

    def follow_configuration_version(self, get_version: Callable[[], int]) -> None:
        """Register the number of the newest known version of the configuration."""
        self._registration.get_configuration_version = get_version

    def stop(self) -> None:
        """Remove the registration, since the process stops."""
        self._registration.stop()

    def _on_store_restored(self) -> None:
        self._unconfirmed = set(self._members)
        if self._unconfirmed_end is not None:
            self._unconfirmed_end.cancel()
        self._unconfirmed_end = self._ctx.timers.call_later(
            LEASE_TTL_S, self._drop_unconfirmed
        )
        self._registration.restart_after_restore()

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
        return [m for m in read if m and m.instance != self._ctx.identity.instance]

    def _is_outdated(self, member: Member) -> bool:
        era = member.store_era
        return era is not None and era < self._ctx.store_era.current

    def _drop_unconfirmed(self) -> None:
        self._unconfirmed.clear()
        self._on_change(frozenset())

    def _check_own_key(self) -> None:
        """Have the own key repaired, as after a lease lost in an outage."""
        registration = self._registration
        if self.mirror.revision >= registration.registered_revision:
            item = self.get_item(MEMBERS_PREFIX + self._ctx.identity.instance)
            registration.repair(item.lease_id if item is not None else None)

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
