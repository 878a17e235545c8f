"""Operations, replies and errors of the key-value store."""

import enum
from typing import Protocol

import attrs
from expression import Result


@attrs.frozen
class Get:
    """Read one key."""

    key: str


@attrs.frozen
class ListPrefix:
    """Read a page of the keys with a prefix, beginning after the key `after`.

    With `stale` the page costs less and may be seconds old.
    """

    prefix: str
    after: str = ""
    stale: bool = False


@attrs.frozen
class WatchPrefix:
    """Wait up to `wait_s` for changes of a prefix later than `after_revision`."""

    prefix: str
    after_revision: int
    wait_s: float


@attrs.frozen
class Expected:
    """Revision that a key must have; 0 means that the key must be absent."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """A key to write; it is removed when its lease ends (0: no lease)."""

    key: str
    value: bytes = attrs.field(repr=False)
    lease_id: int = 0


@attrs.frozen
class Commit:
    """Write and remove keys, all or nothing, if every expected revision holds."""

    expected: tuple[Expected, ...]
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@attrs.frozen
class LeaseGrant:
    """Create a lease with a time to live in seconds."""

    ttl_s: float


@attrs.frozen
class LeaseRenew:
    """Extend a lease by its time to live."""

    lease_id: int


@attrs.frozen
class LeaseRevoke:
    """End a lease and remove its keys."""

    lease_id: int


StoreOperation = (
    Get | ListPrefix | WatchPrefix | Commit | LeaseGrant | LeaseRenew | LeaseRevoke
)


@attrs.frozen
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes = attrs.field(repr=False)
    revision: int
    created_revision: int = 0
    lease_id: int = 0


@attrs.frozen
class Removed:
    """A key that was removed at a revision."""

    key: str
    revision: int


@attrs.frozen
class Found:
    """Answer of `Get`; `item` is None when the key is absent."""

    item: Item | None


@attrs.frozen
class Listed:
    """A page of keys; `revision` is the store's revision when it was read."""

    items: tuple[Item, ...]
    more: bool
    revision: int


@attrs.frozen
class Changes:
    """Changes in order; the next watch continues after `revision`."""

    events: tuple[Item | Removed, ...]
    revision: int


@attrs.frozen
class Committed:
    """Revision of a successful commit."""

    revision: int


@attrs.frozen
class Leased:
    """A lease that was created or renewed."""

    lease_id: int
    ttl_s: float


@attrs.frozen
class Revoked:
    """A lease was ended."""


StoreReply = Found | Listed | Changes | Committed | Leased | Revoked


class StoreErrorKind(enum.Enum):
    """Reason why a store call failed."""

    NO_ANSWER = "no_answer"  # the call may have taken effect, or may do so later
    REFUSED = "refused"  # the store did nothing
    CONFLICT = "conflict"  # an expected revision differs; nothing was done
    LEASE_ENDED = "lease_ended"
    COMPACTED = "compacted"  # the changes asked for are no longer known
    INVALID = "invalid"  # the store does not accept such a call


@attrs.frozen
class StoreError:
    """Failure of a store call; `items` are the present ones after a conflict."""

    kind: StoreErrorKind
    message: str = ""
    items: tuple[Item, ...] = ()


StoreResult = Result[StoreReply, StoreError]


class Store(Protocol):
    """A key-value store with conditions, leases and watches."""

    async def async_call(self, operation: StoreOperation) -> StoreResult:
        """Carry out one operation."""
        ...
