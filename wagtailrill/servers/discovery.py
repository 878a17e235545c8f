"""Reads the entries by which backend servers announce themselves."""

from collections.abc import Callable
from typing import Protocol

import attrs
from expression import Result

from ..core.context import Context
from ..core.log_events import LogName
from ..store.models import Item, Listed, ListPrefix, StoreError, StoreResult
from .const import LIST_RETRY_S, RETURN_GRACE_S
from .models import ServerEntry

OnEntries = Callable[[dict[str, ServerEntry]], None]


class EntryDecoder(Protocol):
    """Decodes the entry of a backend server."""

    def decode(self, item: Item) -> Result[ServerEntry, str]:
        """Return the entry, or why it names no server to use."""
        ...


@attrs.frozen
class DiscoverySettings:
    """Prefix of the entries in the store."""

    prefix: str


class Discovery:
    """Reads the entries when told to, and keeps the last ones during an outage.

    `confirmed_s` is when the read began that the present entries come from, or that of
    another instance. `on_read` gets each list that was read here.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: DiscoverySettings,
        decoder: EntryDecoder,
        on_entries: OnEntries,
    ) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.confirmed_s = float("-inf")
        self._ctx = ctx
        self._cfg = cfg
        self._decoder = decoder
        self._on_entries = on_entries
        self._page: dict[str, ServerEntry] = {}
        self.on_read: OnEntries = lambda entries: None
        self._reading = False
        self._retry_s = float("-inf")
        self._started_s = 0.0
        self._failing_since_s: float | None = None
        self._returned_s = float("-inf")
        self._invalid: frozenset[str] = frozenset()
        self._page_invalid: set[str] = set()

    def read(self) -> None:
        """Read the entries, unless that is under way or has just failed."""
        if not self._reading and self._ctx.now_s >= self._retry_s:
            self._reading = True
            self._list("")

    def accept(self, entries: dict[str, ServerEntry], confirmed_s: float) -> None:
        """Take over the entries that another instance has read."""
        self.confirmed_s, self.entries = confirmed_s, entries
        self._on_entries(entries)

    def _list(self, after: str) -> None:
        if not after:
            self._started_s = self._ctx.now_s
            self._page, self._page_invalid = {}, set()
        self._ctx.call_store(ListPrefix(self._cfg.prefix, after), self._on_listed)

    def _on_listed(self, result: StoreResult) -> None:
        if result.is_error():
            self._failed(result.error)
            return
        page = result.ok
        assert isinstance(page, Listed)
        for item in page.items:
            self._read(item)
        if page.more and page.items:
            self._list(page.items[-1].key)
            return
        self._succeeded()

    def _read(self, item: Item) -> None:
        decoded = self._decoder.decode(item)
        if decoded.is_ok():
            self._page[decoded.ok.name] = decoded.ok
            return
        self._page_invalid.add(item.key)
        if item.key not in self._invalid:
            self._ctx.log(
                LogName.SERVER_ENTRY_INVALID,
                key=item.key,
                reason=decoded.error,
                revision=item.revision,
            )

    def _succeeded(self) -> None:
        now_s = self._ctx.now_s
        self._reading = False
        if self._failing_since_s is not None:
            outage_s = now_s - self._failing_since_s
            self._failing_since_s = None
            self._returned_s = now_s
            self._ctx.log(LogName.SERVER_LIST_REGAINED, outage_s=round(outage_s, 3))
        if now_s - self._returned_s < RETURN_GRACE_S:
            for name, entry in self.entries.items():
                self._page.setdefault(name, entry)
        self._invalid = frozenset(self._page_invalid)
        self.confirmed_s = self._started_s
        self.entries = self._page
        self.on_read(self.entries)
        self._on_entries(self.entries)

    def _failed(self, error: StoreError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._started_s
            self._ctx.log(
                LogName.SERVER_LIST_LOST,
                kind=error.kind.value,
                message=error.message,
                age_s=round(self._ctx.now_s - self.confirmed_s, 3),
            )
        self._reading = False
        self._retry_s = self._ctx.now_s + LIST_RETRY_S * self._ctx.rng.uniform(0.7, 1.3)
