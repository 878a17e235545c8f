"""In-memory model of the platform's store.

The HTTP stand-in, the virtual fleet and tests apply their operations to it.
"""

from collections.abc import Iterable

import attrs
from expression import Error, Ok

from ..store.models import (
    Changes,
    Commit,
    Committed,
    Found,
    Get,
    Item,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Listed,
    ListPrefix,
    Removed,
    Revoked,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreResult,
    WatchPrefix,
)

VALUE_MAX_BYTES = 1_048_576
KEY_MAX_BYTES = 200
COMMIT_ENTRIES_MAX = 32
PAGE_MAX = 500
# A copy of the store is kept this often, and for this long.
COPY_INTERVAL_S = 0.25
COPY_RETENTION_S = 30.0


@attrs.define
class _Lease:
    ttl_s: float
    expires_s: float


@attrs.frozen
class _Copy:
    """State of the store at a time in seconds."""

    taken_s: float
    revision: int
    next_lease_id: int
    items: dict[str, Item]
    leases: dict[int, _Lease]


def _build_error(
    kind: StoreErrorKind, message: str, items: Iterable[Item] = ()
) -> StoreResult:
    return Error(StoreError(kind, message, tuple(items)))


class StoreModel:
    """Keys with revisions, a history of changes, and leases that remove their keys.

    It keeps copies of itself, from which it can be restored; `era` counts the restores.
    Callers pass in the time in seconds. A watch returns the changes so far without
    waiting: its caller first waits until `get_prefix_revision` exceeds the revision
    that the watch starts after.
    """

    def __init__(self, page_max: int = PAGE_MAX) -> None:
        self.revision = 1
        self.era = 1
        self.page_max = page_max
        self._items: dict[str, Item] = {}
        self._history: list[Item | Removed] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._copies: list[_Copy] = []

    def apply_operation(self, operation: StoreOperation, now_s: float) -> StoreResult:
        """Execute an operation at a time and return its result."""
        self.expire_leases(now_s)
        self._keep_copy(now_s)
        match operation:
            case Get(key):
                return Ok(Found(self._items.get(key)))
            case ListPrefix(prefix, after):
                return Ok(self._list_page(prefix, after))
            case WatchPrefix(prefix, after_revision):
                return self._list_changes(prefix, after_revision)
            case Commit():
                return self._check_and_commit(operation)
            case LeaseGrant(ttl_s):
                lease_id = self._next_lease_id
                self._next_lease_id += 1
                self._leases[lease_id] = _Lease(ttl_s, now_s + ttl_s)
                return Ok(Leased(lease_id, ttl_s))
            case LeaseRenew(lease_id):
                lease = self._leases.get(lease_id)
                if lease is None:
                    return _build_error(StoreErrorKind.LEASE_ENDED, str(lease_id))
                lease.expires_s = now_s + lease.ttl_s
                return Ok(Leased(lease_id, lease.ttl_s))
            case LeaseRevoke(lease_id):
                self._drop_lease(lease_id)
                return Ok(Revoked())

    def expire_leases(self, now_s: float) -> None:
        """Remove the leases that have expired, and their keys."""
        expired_ids = [
            n for n, lease in self._leases.items() if lease.expires_s <= now_s
        ]
        for lease_id in expired_ids:
            self._drop_lease(lease_id)

    def pause_leases(self, duration_s: float) -> None:
        """Extend all leases by `duration_s` seconds, as they pause in an outage."""
        for lease in self._leases.values():
            lease.expires_s += duration_s

    def compact_history(self) -> None:
        """Compact the history: watches from before now get `COMPACTED`."""
        self._compacted_revision = self.revision
        self._history.clear()

    def restore_copy(self, age_s: float, now_s: float) -> None:
        """Return to the state of `age_s` seconds ago, or to the oldest kept one.

        Later changes and leases are lost, and their numbers are given out again. The
        leases of the copy go on with the time that they had left then.
        """
        self.era += 1
        eligible = [c for c in self._copies if c.taken_s <= now_s - age_s]
        copy = eligible[-1] if eligible else next(iter(self._copies), None)
        if copy is None:
            return
        self._copies = [c for c in self._copies if c.taken_s <= copy.taken_s]
        self.revision, self._next_lease_id = copy.revision, copy.next_lease_id
        self._items = dict(copy.items)
        self._leases = {
            n: _Lease(lease.ttl_s, lease.expires_s - copy.taken_s + now_s)
            for n, lease in copy.leases.items()
        }
        self._history = [e for e in self._history if e.revision <= copy.revision]
        self._compacted_revision = min(self._compacted_revision, copy.revision)

    def list_items(self, prefix: str = "") -> list[Item]:
        """Return the items whose keys have a prefix, sorted by key."""
        return [
            self._items[key] for key in sorted(self._items) if key.startswith(prefix)
        ]

    def get_prefix_revision(self, prefix: str) -> int:
        """Return the revision of the last change under a prefix, 0 if none is known."""
        for event in reversed(self._history):
            if event.key.startswith(prefix):
                return event.revision
        return 0

    def put_item(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key unconditionally, as the operator does; return the revision."""
        self.revision += 1
        previous = self._items.get(key)
        created_revision = (
            previous.created_revision if previous is not None else self.revision
        )
        item = Item(key, value, self.revision, created_revision, lease_id)
        self._items[key] = item
        self._history.append(item)
        return self.revision

    def remove_item(self, key: str) -> None:
        """Remove a key unconditionally."""
        if key in self._items:
            self.revision += 1
            self._remove_at_revision(key, self.revision)

    def _keep_copy(self, now_s: float) -> None:
        if self._copies and now_s - self._copies[-1].taken_s < COPY_INTERVAL_S:
            return
        leases = {n: attrs.evolve(lease) for n, lease in self._leases.items()}
        copy = _Copy(
            now_s, self.revision, self._next_lease_id, dict(self._items), leases
        )
        self._copies = [c for c in self._copies if c.taken_s > now_s - COPY_RETENTION_S]
        self._copies.append(copy)

    def _list_page(self, prefix: str, after: str) -> Listed:
        found = [item for item in self.list_items(prefix) if item.key > after]
        page = tuple(found[: self.page_max])
        return Listed(page, len(found) > self.page_max, self.revision)

    def _list_changes(self, prefix: str, after_revision: int) -> StoreResult:
        if not self._compacted_revision <= after_revision <= self.revision:
            return _build_error(StoreErrorKind.COMPACTED, str(after_revision))
        events = tuple(
            event
            for event in self._history
            if event.revision > after_revision and event.key.startswith(prefix)
        )
        return Ok(Changes(events, self.revision))

    def _check_and_commit(self, commit: Commit) -> StoreResult:
        entries = (*commit.expected, *commit.puts, *commit.removes)
        keys = [put.key for put in commit.puts] + list(commit.removes)
        if len(entries) > COMMIT_ENTRIES_MAX:
            return _build_error(StoreErrorKind.INVALID, "too many entries")
        if any(len(key.encode()) > KEY_MAX_BYTES for key in keys):
            return _build_error(StoreErrorKind.INVALID, "a key is too long")
        if any(len(put.value) > VALUE_MAX_BYTES for put in commit.puts):
            return _build_error(StoreErrorKind.INVALID, "a value is too large")
        if any(
            put.lease_id and put.lease_id not in self._leases for put in commit.puts
        ):
            return _build_error(StoreErrorKind.LEASE_ENDED, "no such lease")
        current_items = {
            entry.key: self._items.get(entry.key) for entry in commit.expected
        }
        for entry in commit.expected:
            item = current_items[entry.key]
            if (item.revision if item is not None else 0) != entry.revision:
                items = [item for item in current_items.values() if item is not None]
                return _build_error(StoreErrorKind.CONFLICT, entry.key, items)
        return Ok(self._write_commit(commit))

    def _write_commit(self, commit: Commit) -> Committed:
        self.revision += 1
        for put in commit.puts:
            previous = self._items.get(put.key)
            created_revision = (
                previous.created_revision if previous is not None else self.revision
            )
            item = Item(
                put.key, put.value, self.revision, created_revision, put.lease_id
            )
            self._items[put.key] = item
            self._history.append(item)
        for key in commit.removes:
            self._remove_at_revision(key, self.revision)
        return Committed(self.revision)

    def _remove_at_revision(self, key: str, revision: int) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(Removed(key, revision))

    def _drop_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        lease_keys = [k for k, item in self._items.items() if item.lease_id == lease_id]
        for key in lease_keys:
            self.remove_item(key)
