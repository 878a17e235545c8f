"""Entries of backend servers as one instance has read them from the store itself.

Discovery uses it: a list of many pages is read once and then kept current by changes.
"""

from typing import Protocol

import attrs
from expression import Result

from ..store.models import Changes, Item, Listed, Removed
from ..store.revision import get_era
from .const import LIST_VALID_S, READ_GAP_MAX_S
from .models import ServerEntry

NEVER_S = float("-inf")


class EntryDecoder(Protocol):
    """Decodes the entry of a backend server."""

    def decode(self, item: Item) -> Result[ServerEntry, str]:
        """Return the entry, or the reason why it is not usable."""
        ...


@attrs.frozen
class InvalidItem:
    """An item that is not a usable entry, and why."""

    item: Item
    reason: str


class EntryListing:
    """The entries by name, up to `revision` of the store.

    `read_s` is when they were last read. Methods that take items return those that are
    not usable and were not known to be so.
    """

    def __init__(self, decoder: EntryDecoder) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.revision = 0
        self.read_s = NEVER_S
        self._decoder = decoder
        self._listed_s = NEVER_S
        self._names_by_key: dict[str, str] = {}
        self._invalid_keys: set[str] = set()
        self._former_invalid_keys: set[str] = set()

    def may_be_updated(self, now_s: float, era: int) -> bool:
        """Return whether it is enough to ask for the changes since the last read.

        `era` is the present one of the store.
        """
        return (
            self.revision > 0
            and get_era(self.revision) == era
            and now_s - self._listed_s < LIST_VALID_S
            and now_s - self.read_s < READ_GAP_MAX_S
        )

    def begin(self) -> None:
        """Begin a new list, of which no part counts until it is complete."""
        self._listed_s = NEVER_S
        self.entries, self._names_by_key, self.revision = {}, {}, 0
        self._former_invalid_keys, self._invalid_keys = self._invalid_keys, set()

    def add_page(self, page: Listed) -> list[InvalidItem]:
        """Add the items of a page of the list."""
        # Pages are read at different revisions: changes are asked for since the first.
        self.revision = self.revision or page.revision
        found = [self._put(item) for item in page.items]
        return [invalid for invalid in found if invalid is not None]

    def finish(self, started_s: float) -> None:
        """Note that the list, whose read began at `started_s`, is complete."""
        self._listed_s = started_s

    def apply_changes(self, changes: Changes) -> list[InvalidItem]:
        """Apply the changes since the last read."""
        if get_era(changes.revision) != get_era(self.revision):
            self._listed_s = NEVER_S  # the store was restored: list it next time
        invalid_items = []
        for event in changes.events:
            self._remove(event.key)
            if isinstance(event, Removed):
                self._invalid_keys.discard(event.key)
                continue
            invalid = self._put(event)
            if invalid is not None:
                invalid_items.append(invalid)
        self.revision = max(self.revision, changes.revision)
        return invalid_items

    def _put(self, item: Item) -> InvalidItem | None:
        decoded = self._decoder.decode(item)
        if decoded.is_ok():
            self.entries[decoded.ok.name] = decoded.ok
            self._names_by_key[item.key] = decoded.ok.name
            self._invalid_keys.discard(item.key)
            return None
        is_known = item.key in self._invalid_keys | self._former_invalid_keys
        self._invalid_keys.add(item.key)
        return None if is_known else InvalidItem(item, decoded.error)

    def _remove(self, key: str) -> None:
        name = self._names_by_key.pop(key, None)
        if name is not None:
            del self.entries[name]
