"""Operations, replies and errors of the key-value store.

Components queue operations through `Context.call_store`; store clients execute them.
"""

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
    """Read a page of the keys with a prefix, starting after `after_key`.

    With `allow_stale` the call costs less, and the page may be outdated by seconds.
    """

    prefix: str
    after_key: str = ""
    allow_stale: bool = False


@attrs.frozen
class WatchPrefix:
    """Wait up to `wait_s` seconds for changes to a prefix after `after_revision`."""

    prefix: str
    after_revision: int
    wait_s: float


@attrs.frozen
class Expected:
    """Condition on the revision of a key; 0 means that the key must not exist."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """Write of one key; it is removed when its lease ends (0: no lease)."""

    key: str
    value: bytes = attrs.field(repr=False)
    lease_id: int = 0


@attrs.frozen
class Commit:
    """Write and remove keys atomically if all expected revisions match."""

    expected: tuple[Expected, ...]
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@attrs.frozen
class LeaseGrant:
    """Create a lease with a time to live in seconds."""

    ttl_s: float


@attrs.frozen
class LeaseRenew:
    """Renew a lease for its time to live, counted from now."""

    lease_id: int


@attrs.frozen
class LeaseRevoke:
    """Revoke a lease and remove its keys."""

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
    """Removal of a key at a revision."""

    key: str
    revision: int


@attrs.frozen
class Found:
    """Reply to `Get`; `item` is None if the key does not exist."""

    item: Item | None


@attrs.frozen
class Listed:
    """Reply to `ListPrefix`: a page of keys; `has_more` means that others follow it.

    `revision` is the store's revision when the page was read.
    """

    items: tuple[Item, ...]
    has_more: bool
    revision: int


@attrs.frozen
class Changes:
    """Reply to `WatchPrefix`: changes in order; `revision` starts the next watch."""

    events: tuple[Item | Removed, ...]
    revision: int


@attrs.frozen
class Committed:
    """Reply to a successful `Commit`, with its revision."""

    revision: int


@attrs.frozen
class Leased:
    """Reply to `LeaseGrant` and `LeaseRenew`, with the time to live in seconds."""

    lease_id: int
    ttl_s: float


@attrs.frozen
class Revoked:
    """Reply to `LeaseRevoke`."""


StoreReply = Found | Listed | Changes | Committed | Leased | Revoked


class StoreErrorKind(enum.Enum):
    """Reason why a store call failed."""

    NO_ANSWER = "no_answer"  # the call may have taken effect, or may still do so
    REFUSED = "refused"  # the store did not execute the call
    CONFLICT = "conflict"  # an expected revision differs; nothing was written
    LEASE_ENDED = "lease_ended"
    COMPACTED = "compacted"  # the store no longer has the requested changes
    INVALID = "invalid"  # the store does not accept the call


@attrs.frozen
class StoreError:
    """Failure of a store call; after a conflict, `items` holds the current items."""

    kind: StoreErrorKind
    message: str = ""
    items: tuple[Item, ...] = ()


StoreResult = Result[StoreReply, StoreError]


@attrs.frozen
class StoreAnswer:
    """Result of a store call, with revisions as numbers of the store.

    `era` counts the restores of the store from an older copy; it is 0 if the store did
    not answer or does not report it.
    """

    result: StoreResult
    era: int = 0


class Store(Protocol):
    """Key-value store with conditional writes, leases and watches."""

    async def async_call(self, operation: StoreOperation) -> StoreAnswer:
        """Execute one operation and return its reply or error."""
        ...
