"""Operations, replies and errors of the platform's services."""

import enum
from typing import Protocol

import attrs
from expression import Result


@attrs.frozen
class Read:
    """Read the value and revision of a key."""

    key: str


@attrs.frozen
class Write:
    """Write a key if its revision is `expected_revision`; 0 means that it is absent.

    A key written with a lease is deleted when the lease lapses.
    """

    key: str
    value: bytes
    expected_revision: int
    lease_id: str = ""


@attrs.frozen
class LeaseGrant:
    """Create a lease with a time to live in seconds."""

    ttl_s: float


@attrs.frozen
class LeaseRenew:
    """Extend a lease by its time to live."""

    lease_id: str


@attrs.frozen
class LeaseRevoke:
    """End a lease and delete its keys."""

    lease_id: str


@attrs.frozen
class Watch:
    """Wait until a key's revision exceeds `after_revision`, or for `timeout_s`."""

    key: str
    after_revision: int
    timeout_s: float


StoreOperation = Read | Write | LeaseGrant | LeaseRenew | LeaseRevoke | Watch


@attrs.frozen
class Stored:
    """A key's value and revision; revision 0 means that the key is absent.

    Revisions are taken from one counter of the store and never repeat.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Written:
    """Revision of a successful write."""

    revision: int


@attrs.frozen
class Leased:
    """A lease that was created or renewed."""

    lease_id: str
    ttl_s: float


@attrs.frozen
class Revoked:
    """A lease was ended."""


StoreReply = Stored | Written | Leased | Revoked


class StoreErrorKind(enum.Enum):
    """Reason why a store call failed."""

    UNAVAILABLE = "unavailable"  # no answer; a write may have taken effect
    CONFLICT = "conflict"  # the revision differs
    LEASE_LAPSED = "lease_lapsed"
    TOO_LARGE = "too_large"


@attrs.frozen
class StoreError:
    """Failure of a store call."""

    kind: StoreErrorKind
    message: str = ""


StoreResult = Result[StoreReply, StoreError]


@attrs.frozen
class InstanceEntry:
    """A line of the platform's instance list; `address` is the peer address."""

    instance: str
    address: str
    data_centre: str
    leaving: bool = False


class PlatformStore(Protocol):
    """The platform's key-value service."""

    async def async_call(self, operation: StoreOperation) -> StoreResult:
        """Carry out one operation."""
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags."""

    async def async_list(self) -> tuple[InstanceEntry, ...]:
        """Return the current entries."""
        ...
