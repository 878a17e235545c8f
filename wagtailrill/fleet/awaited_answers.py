"""Tracks the answers of other instances to the announcement of a duty.

`Duties` ends the wait for predecessors early when all have come.
"""

import attrs


@attrs.define(eq=False)
class AwaitedAnswers:
    """Instances that have yet to say that they neither act nor know a later holder.

    With `awaits_all` the predecessor is not known: every instance that may be running
    is awaited, and one of those that answer, or a successor itself, has to know them
    all (`are_all_known`).
    """

    instances: set[str] = attrs.field(factory=set)
    awaits_all: bool = False
    are_all_known: bool = False
    _answered: set[str] = attrs.field(factory=set, init=False)

    @property
    def are_complete(self) -> bool:
        """Return whether no predecessor can act any more."""
        return not self.instances and (self.are_all_known or not self.awaits_all)

    def add(self, names: set[str]) -> set[str]:
        """Await those that have not answered; return which were not awaited yet."""
        added = names - self.instances - self._answered
        self.instances |= added
        return added

    def record(self, name: str, knows_all: bool) -> None:
        """Record an answer; `knows_all` is whether its sender knows all instances."""
        self.instances.discard(name)
        self._answered.add(name)
        self.are_all_known = self.are_all_known or knows_all

    def add_again(self, name: str) -> None:
        """Await an instance that acts, whatever it has answered."""
        self._answered.discard(name)
        self.instances.add(name)
