"""Remembers which keys were removed, for instances that follow a prefix by relay.

Mirrors of store keys use it.
"""

from .const import REMOVALS_MAX
from .models import Removed


class RemovalLog:
    """Removals of the keys with a prefix, complete after the revision `since`."""

    def __init__(self) -> None:
        self.since = 0
        self._revisions: dict[str, int] = {}

    def begin(self, revision: int) -> None:
        """Begin anew with a list of the keys at a revision."""
        self.since = revision
        self._revisions.clear()

    def record(self, key: str, revision: int) -> None:
        """Record that a key was removed, at a revision or before."""
        self._revisions.pop(key, None)
        self._revisions[key] = revision
        while len(self._revisions) > REMOVALS_MAX:
            oldest_key = next(iter(self._revisions))
            self.since = max(self.since, self._revisions.pop(oldest_key))

    def forget(self, key: str) -> None:
        """Note that a key exists again."""
        self._revisions.pop(key, None)

    def list_after(self, revision: int) -> tuple[Removed, ...]:
        """Return the removals after a revision, which is `since` or later."""
        return tuple(
            Removed(key, removed)
            for key, removed in self._revisions.items()
            if removed > revision
        )
