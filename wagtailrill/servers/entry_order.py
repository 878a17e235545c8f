"""Tells outdated entries of backend servers from later ones, without store revisions.

Discovery uses it: a store that was restored from a copy, or an instance that read it,
may show the entry of a process as it was before it drained or ended.
"""

from typing import Final

import attrs

from ..core.context import Context
from .models import ServerEntry, parse_start_number

# A copy is older than this only after the entries of ended servers have been removed.
ENTRY_MEMORY_S: Final = 60.0


@attrs.define(eq=False)
class _KnownServer:
    """The latest entry of a name, and since when it is removed, None if it is not."""

    entry: ServerEntry
    gone_since_s: float | None = None


class EntryOrder:
    """Remembers the latest entry of each server, also for some time after its removal.

    Entries are ordered by the start of the server's process and by the number that the
    process gives to each of its writes. Entries without such a number are all accepted.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._known: dict[str, _KnownServer] = {}

    def select_latest(self, entries: dict[str, ServerEntry]) -> dict[str, ServerEntry]:
        """Return a complete list of entries with the latest known one of each server.

        The outdated entry of a server that was removed is left out.
        """
        selected = {}
        for name, entry in entries.items():
            known = self._known.get(name)
            if known is None or _is_later(entry, known.entry):
                known = self._known[name] = _KnownServer(entry)
            if known.gone_since_s is None:
                selected[name] = known.entry
        self._record_removed(selected)
        return selected

    def _record_removed(self, entries: dict[str, ServerEntry]) -> None:
        now_s = self._ctx.now_s
        for name, known in list(self._known.items()):
            if name in entries:
                continue
            if known.gone_since_s is None:
                known.gone_since_s = now_s
            elif now_s - known.gone_since_s >= ENTRY_MEMORY_S:
                del self._known[name]


def _is_later(entry: ServerEntry, known: ServerEntry) -> bool:
    if not entry.sequence or not known.sequence:
        return True
    if entry.start_id == known.start_id:
        return entry.sequence > known.sequence
    start, known_start = map(parse_start_number, (entry.start_id, known.start_id))
    return start is None or known_start is None or start > known_start
