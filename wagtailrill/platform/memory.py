"""In-memory model of the platform's store, for the stand-in and for tests."""

import itertools

import attrs
from expression import Error, Ok

from .models import (
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Read,
    Revoked,
    Stored,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreResult,
    Watch,
    Write,
    Written,
)

VALUE_MAX_BYTES = 1_000_000


@attrs.define
class _Row:
    value: bytes
    revision: int
    lease_id: str


@attrs.define
class _Lease:
    ttl_s: float
    expires_s: float


def _failure(kind: StoreErrorKind, message: str) -> StoreResult:
    return Error(StoreError(kind, message))


class StoreModel:
    """Keys with revisions, and leases that delete their keys when they lapse.

    The caller supplies the time in seconds. `Watch` returns the current value; whoever
    serves a watch waits on `revision_of` first.
    """

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._leases: dict[str, _Lease] = {}
        self._revisions = itertools.count(1)
        self._lease_numbers = itertools.count(1)

    def apply(self, operation: StoreOperation, now_s: float) -> StoreResult:
        """Carry out an operation at a time and return its result."""
        self.expire(now_s)
        match operation:
            case Read(key) | Watch(key):
                row = self._rows.get(key)
                value, revision = (row.value, row.revision) if row else (b"", 0)
                return Ok(Stored(key, value, revision))
            case Write():
                return self._write(operation)
            case LeaseGrant(ttl_s):
                lease_id = f"lease-{next(self._lease_numbers)}"
                self._leases[lease_id] = _Lease(ttl_s, now_s + ttl_s)
                return Ok(Leased(lease_id, ttl_s))
            case LeaseRenew(lease_id):
                lease = self._leases.get(lease_id)
                if lease is None:
                    return _failure(StoreErrorKind.LEASE_LAPSED, lease_id)
                lease.expires_s = now_s + lease.ttl_s
                return Ok(Leased(lease_id, lease.ttl_s))
            case LeaseRevoke(lease_id):
                self._drop_lease(lease_id)
                return Ok(Revoked())

    def expire(self, now_s: float) -> None:
        """Drop the leases that have lapsed, with their keys."""
        lapsed = [k for k, lease in self._leases.items() if lease.expires_s <= now_s]
        for lease_id in lapsed:
            self._drop_lease(lease_id)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is absent."""
        row = self._rows.get(key)
        return row.revision if row else 0

    def _write(self, write: Write) -> StoreResult:
        if len(write.value) > VALUE_MAX_BYTES:
            return _failure(StoreErrorKind.TOO_LARGE, write.key)
        if write.lease_id and write.lease_id not in self._leases:
            return _failure(StoreErrorKind.LEASE_LAPSED, write.lease_id)
        if self.revision_of(write.key) != write.expected_revision:
            return _failure(StoreErrorKind.CONFLICT, write.key)
        revision = next(self._revisions)
        self._rows[write.key] = _Row(write.value, revision, write.lease_id)
        return Ok(Written(revision))

    def _drop_lease(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        gone = [k for k, row in self._rows.items() if row.lease_id == lease_id]
        for key in gone:
            del self._rows[key]
