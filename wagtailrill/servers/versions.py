"""Tells which versions of backend servers may get requests.

The server table uses it.
"""

from typing import Protocol

from .models import ServerEntry


class VersionPolicy(Protocol):
    """Decides by the version of a server what the server may get."""

    def is_settled(self, entry: ServerEntry) -> bool:
        """Return whether any instance may choose the server for a request."""
        ...

    def is_permitted(self, entry: ServerEntry) -> bool:
        """Return whether the server may run requests that were placed at it."""
        ...

    def is_bounded(self, entry: ServerEntry) -> bool:
        """Return whether only the dispatcher may place requests at the server."""
        ...

    def may_hold_keys(self, entry: ServerEntry) -> bool:
        """Return whether the server may be given keys."""
        ...


class AnyVersion:
    """Implements `VersionPolicy` where versions do not matter."""

    def is_settled(self, entry: ServerEntry) -> bool:
        """Return True."""
        return True

    def is_permitted(self, entry: ServerEntry) -> bool:
        """Return True."""
        return True

    def is_bounded(self, entry: ServerEntry) -> bool:
        """Return False."""
        return False

    def may_hold_keys(self, entry: ServerEntry) -> bool:
        """Return True."""
        return True
