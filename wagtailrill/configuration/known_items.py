"""Keeps what the operator last wrote while a restored store does not have it yet.

The configuration follower uses it.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..store.const import REWRITE_GRACE_S
from ..store.models import Item
from ..store.revision import get_era, get_number
from .messages import LostItem

# Older writes are not expected in a copy.
KNOWN_WRITES_MAX: Final = 10_000


@attrs.frozen
class _Write:
    """Identity of a write, also when its number has been given out again."""

    key: str
    revision_number: int
    value_hash: int


class KnownItems:
    """The mirrored items, except those that a restore has taken back for a while.

    A key that a restored store lacks, or shows at a revision that was known before,
    keeps its former state until it is written again or the grace period has passed.
    """

    def __init__(self) -> None:
        self.current: Mapping[str, Item] = {}
        self._era = 0
        self._stored: Mapping[str, Item] = {}
        self._held: dict[str, Item | None] = {}
        # Known writes, in order of their first sight.
        self._known_writes: dict[_Write, None] = {}

    @property
    def is_holding(self) -> bool:
        """Return whether some key has another state than in the store."""
        return bool(self._held)

    def update(
        self,
        items: Mapping[str, Item],
        revision: int,
        changed_keys: frozenset[str],
        restored_for_s: float,
    ) -> None:
        """Take the mirrored items and the keys that have changed since the last call.

        `revision` is that of the mirror, `restored_for_s` the time since the restore.
        """
        era = get_era(revision)
        if era > self._era:
            self._held = self._find_lost(items) if self._era else {}
            self._era = era
        else:
            for key in changed_keys:
                self._held.pop(key, None)
        if restored_for_s >= REWRITE_GRACE_S:
            self._held = {}
        self._record_writes(items)
        self._stored = dict(items)
        self._build_current()

    def hold(self, lost_items: Iterable[LostItem]) -> None:
        """Keep what another instance knows of keys that are stored as it saw them."""
        for lost in lost_items:
            if lost.stored_revision == self._get_stored_revision(lost.key):
                former = self._held.get(lost.key)
                if former is None or former.revision < lost.revision:
                    self._held[lost.key] = (
                        Item(lost.key, lost.value, lost.revision)
                        if lost.is_present
                        else former
                    )
        self._build_current()

    def list_lost(self) -> tuple[LostItem, ...]:
        """Return the known state of the keys that the store lacks or shows older."""
        return tuple(
            LostItem(
                key,
                is_present=item is not None,
                revision=item.revision if item is not None else 0,
                value=item.value if item is not None else b"",
                stored_revision=self._get_stored_revision(key),
            )
            for key, item in self._held.items()
            if not self._is_stored_alike(key, item)
        )

    def _is_stored_alike(self, key: str, item: Item | None) -> bool:
        stored = self._stored.get(key)
        if item is None or stored is None:
            return item is stored
        return _identify_write(item) == _identify_write(stored)

    def _get_stored_revision(self, key: str) -> int:
        stored = self._stored.get(key)
        return stored.revision if stored is not None else 0

    def _build_current(self) -> None:
        current = dict(self._stored)
        for key, item in self._held.items():
            if item is None:
                current.pop(key, None)
            else:
                current[key] = item
        self.current = current

    def _find_lost(self, items: Mapping[str, Item]) -> dict[str, Item | None]:
        """Return the former state of the keys that the restored store shows older."""
        return {
            key: self.current.get(key)
            for key in self.current.keys() | items.keys()
            if key not in items or _identify_write(items[key]) in self._known_writes
        }

    def _record_writes(self, items: Mapping[str, Item]) -> None:
        for item in items.values():
            self._known_writes.setdefault(_identify_write(item))
        while len(self._known_writes) > KNOWN_WRITES_MAX:
            del self._known_writes[next(iter(self._known_writes))]


def _identify_write(item: Item) -> _Write:
    return _Write(item.key, get_number(item.revision), hash(item.value))
