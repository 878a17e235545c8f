"""Collection of holdings by the new home of a partition."""

import attrs

from .directory import Member, PartitionDirectory


@attrs.define
class HoldingsCollection:
    """Tracks which members have reported what they hold under an epoch.

    The home may lend only when `complete` is true: an unreported member may hold
    anything that the partition's resources allow.
    """

    partition: int
    epoch: int
    reported: set[Member] = attrs.field(factory=set)

    def report(self, member: Member) -> None:
        """Record a member's report."""
        self.reported.add(member)

    def missing(self, directory: PartitionDirectory) -> tuple[Member, ...]:
        """Return the members of the table that have not reported."""
        return tuple(m for m in directory.members() if m not in self.reported)

    def complete(self, directory: PartitionDirectory) -> bool:
        """Return whether every member of the table has reported."""
        return not self.missing(directory)
