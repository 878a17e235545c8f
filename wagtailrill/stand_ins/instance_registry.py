"""Model of the platform's lagging instance list."""

from collections import deque
from typing import Final

import attrs

from ..platform.models import InstanceEntry

DEFAULT_LAG_S: Final = 2.0
DEFAULT_HEARTBEAT_TTL_S: Final = 10.0
_FOREVER_S: Final = float("inf")


@attrs.frozen
class _Snapshot:
    since_s: float
    entries: tuple[InstanceEntry, ...]


class InstanceRegistry:
    """Shows the entries as they were `lag_s` seconds ago.

    An instance that stops its heartbeats disappears after `ttl_s` seconds; one given
    by a settings file stays. The caller supplies the time.
    """

    def __init__(
        self, lag_s: float = DEFAULT_LAG_S, ttl_s: float = DEFAULT_HEARTBEAT_TTL_S
    ) -> None:
        self.lag_s = lag_s
        self.ttl_s = ttl_s
        self._entries: dict[str, InstanceEntry] = {}
        self._expires_s: dict[str, float] = {}
        self._history: deque[_Snapshot] = deque([_Snapshot(-_FOREVER_S, ())])

    def add_fixed(self, entry: InstanceEntry) -> None:
        """Add an entry that needs no heartbeats and shows at once."""
        self._entries[entry.instance] = entry
        self._expires_s[entry.instance] = _FOREVER_S
        self._history = deque([_Snapshot(-_FOREVER_S, self._sorted())])

    def heartbeat(self, entry: InstanceEntry, now_s: float) -> None:
        """Record that an instance is live."""
        self._expire(now_s)
        self._expires_s[entry.instance] = now_s + self.ttl_s
        if self._entries.get(entry.instance) != entry:
            self._entries[entry.instance] = entry
            self._history.append(_Snapshot(now_s, self._sorted()))

    def entries(self, now_s: float) -> tuple[InstanceEntry, ...]:
        """Return the entries that the list shows now."""
        self._expire(now_s)
        while len(self._history) > 1 and self._history[1].since_s <= now_s - self.lag_s:
            self._history.popleft()
        return self._history[0].entries

    def _expire(self, now_s: float) -> None:
        gone = [n for n, end_s in self._expires_s.items() if end_s <= now_s]
        for name in sorted(gone, key=self._expires_s.__getitem__):
            del self._entries[name]
            since_s = self._expires_s.pop(name)
            self._history.append(_Snapshot(since_s, self._sorted()))

    def _sorted(self) -> tuple[InstanceEntry, ...]:
        return tuple(sorted(self._entries.values(), key=lambda e: e.instance))
