"""Base of components whose home side handles the changes of homes and members."""

from .directory import Member, PartitionListener


class HomeForwarder:
    """Implements `PartitionListener` by the home side of the component."""

    def __init__(self, home: PartitionListener) -> None:
        self._listener = home

    def home_gained(self, partition: int, epoch: int) -> None:
        """Become the home of a partition."""
        self._listener.home_gained(partition, epoch)

    def home_lost(self, partition: int) -> None:
        """Stop being the home of a partition."""
        self._listener.home_lost(partition)

    def member_dropped(self, member: Member) -> None:
        """Learn that a member's lease has lapsed."""
        self._listener.member_dropped(member)

    def lease_lost(self) -> None:
        """Learn that this instance's lease has lapsed."""
        self._listener.lease_lost()
