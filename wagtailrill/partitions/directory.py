"""Interface through which components learn homes and members."""

from typing import Final, Protocol

import attrs
import xxhash

from ..core.const import PARTITION_COUNT

# A home whose holder has a lease is vacated under the next epoch before it is
# assigned under the one after that; a smaller or larger step has another history.
SUCCESSOR_EPOCH_STEP: Final = 2


@attrs.frozen
class Member:
    """A member of the cell; a restarted process has another incarnation."""

    instance: str
    incarnation: int


@attrs.frozen
class Home:
    """The member that arbitrates for a partition, since an epoch."""

    instance: str
    epoch: int


def partition_of(kind: str, name: str) -> int:
    """Return the partition of a resource, such as ("backend_server", "ledger-01")."""
    return xxhash.xxh3_64_intdigest(f"{kind}\0{name}".encode()) % PARTITION_COUNT


class PartitionDirectory(Protocol):
    """View of the cell table, valid while the member lease is."""

    def has_lease(self) -> bool:
        """Return whether the member lease is valid now."""
        ...

    def home_of(self, partition: int) -> Home | None:
        """Return the home of a partition, or None while it has none."""
        ...

    def is_home(self, partition: int) -> bool:
        """Return whether this instance is the home and its lease is valid."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current table."""
        ...

    def is_member(self, instance: str, incarnation: int) -> bool:
        """Return whether this process is in the current table."""
        ...

    def suspected(self, instance: str) -> bool:
        """Return whether a member has been silent for the suspicion timeout."""
        ...


class PartitionListener(Protocol):
    """Receives changes of homes and members, in table order."""

    def home_gained(self, partition: int, epoch: int) -> None:
        """Become the home; holdings must be collected before anything is lent."""
        ...

    def home_lost(self, partition: int) -> None:
        """Stop being the home."""
        ...

    def member_dropped(self, member: Member) -> None:
        """Learn that a member's lease has lapsed and it holds nothing."""
        ...

    def lease_lost(self) -> None:
        """Learn that this instance's lease has lapsed: all holdings are void."""
        ...
