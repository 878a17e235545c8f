"""Reads the entries in the store by which backend servers announce themselves.

The router and the relay of entries use it.
"""

from collections.abc import Callable

import attrs

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from ..store.const import REWRITE_GRACE_S
from ..store.models import (
    Changes,
    Listed,
    ListPrefix,
    StoreError,
    StoreResult,
    WatchPrefix,
)
from .const import CHANGES_WAIT_MAX_S, LIST_RETRY_DELAY_S
from .entry_listing import EntryDecoder, EntryListing, InvalidItem
from .entry_order import EntryOrder
from .models import ServerEntry

EntriesCallback = Callable[[dict[str, ServerEntry]], None]


@attrs.frozen
class DiscoverySettings:
    """Key prefix of the entries in the store."""

    prefix: str


class Discovery:
    """Reads the entries on request, and keeps the last ones during a store outage.

    The first read lists all entries. A later one asks only for the changes since,
    unless the last one is long ago; a list is made again from time to time.

    `confirmed_s` is the time at which the read of the present entries began, here or in
    another instance. `on_entries` is called with each complete list of entries,
    `on_entries_read` before it, but only with lists that were read here.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: DiscoverySettings,
        decoder: EntryDecoder,
        on_entries: EntriesCallback,
    ) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.confirmed_s = float("-inf")
        self._ctx = ctx
        self._cfg = cfg
        self._decoder = decoder
        self._on_entries = on_entries
        self._listing = EntryListing(decoder)
        self.on_entries_read: EntriesCallback = lambda entries: None
        self._is_reading = False
        self._calls = CallScope(ctx)
        self._called_s = float("-inf")
        self._is_stale_read = False
        self._order = EntryOrder(ctx)
        self._retry_at_s = self._failed_s = float("-inf")
        self._read_started_s = 0.0
        self._failing_since_s: float | None = None
        self._store_recovered_s = float("-inf")
        self._is_complete = False

    @property
    def has_read(self) -> bool:
        """Return whether entries are known, read here or by another instance."""
        return self.confirmed_s > float("-inf")

    def read_entries(self, allow_stale: bool = False) -> None:
        """Read the entries, unless a read is in progress or has just failed.

        With `allow_stale` they may be some seconds old, which costs the store less.
        """
        if not self._is_reading and self._may_retry():
            self._calls.abandon()
            self._is_reading = True
            self._is_stale_read = allow_stale
            self._read_started_s = self._ctx.now_s
            if self._listing.may_be_updated(
                self._ctx.now_s, self._ctx.store_era.current
            ):
                self._request_changes()
            else:
                self._request_page("")

    def drop_overdue_read(self) -> None:
        """Give up a read for which the others wait, if its answer is overdue."""
        waited_s = self._ctx.now_s - self._called_s
        if self._is_reading and waited_s >= self._get_overdue_s():
            self._is_reading = False

    def _get_overdue_s(self) -> float:
        return CHANGES_WAIT_MAX_S + self._ctx.store_budget.overdue_after_s

    def _may_retry(self) -> bool:
        """Return whether a failed read may be repeated now."""
        is_due = self._ctx.now_s >= self._retry_at_s
        return is_due or self._ctx.store_budget.recovered_s > self._failed_s

    @property
    def may_lack_entries(self) -> bool:
        """Return whether running servers may not have written their entries again."""
        recovered_s = max(self._store_recovered_s, self._ctx.store_era.began_by_s)
        return self._ctx.now_s - recovered_s < REWRITE_GRACE_S

    @property
    def is_complete(self) -> bool:
        """Return whether a list was read that lacked no running server.

        Later lists are completed with the former entries. A process that started after
        a restore or an outage has none to add at first.
        """
        return self._is_complete

    def accept_entries(
        self, entries: dict[str, ServerEntry], confirmed_s: float
    ) -> bool:
        """Replace the entries by those that another instance has read.

        `confirmed_s` is the time at which that read began, on the clock of this one.
        Return whether entries were kept that the other instance does not have.
        """
        self.confirmed_s = confirmed_s
        kept_entries = self._keep_former_entries(entries)
        self.entries = self._order.select_latest(kept_entries)
        self._on_entries(self.entries)
        return len(kept_entries) > len(entries)

    def _keep_former_entries(
        self, entries: dict[str, ServerEntry]
    ) -> dict[str, ServerEntry]:
        return self.entries | entries if self.may_lack_entries else entries

    def _request_changes(self) -> None:
        watch = WatchPrefix(
            self._cfg.prefix, self._listing.revision, CHANGES_WAIT_MAX_S
        )
        self._called_s = self._ctx.now_s
        self._calls.call_store(watch, self._on_changes)

    def _on_changes(self, result: StoreResult) -> None:
        if result.is_error() and self._ctx.store_budget.is_turned_away:
            self._listing.begin()
            self._handle_read_error(result.error)
            return
        if result.is_error():
            self._request_page("")  # the history may be gone
            return
        changes = result.ok
        assert isinstance(changes, Changes)
        self._log_invalid(self._listing.apply_changes(changes))
        self._finish_read()

    def _request_page(self, after: str) -> None:
        if not after:
            self._listing.begin()
        operation = ListPrefix(self._cfg.prefix, after, self._is_stale_read)
        self._called_s = self._ctx.now_s
        self._calls.call_store(operation, self._on_page)

    def _on_page(self, result: StoreResult) -> None:
        if result.is_error():
            self._handle_read_error(result.error)
            return
        page = result.ok
        assert isinstance(page, Listed)
        self._log_invalid(self._listing.add_page(page))
        if page.has_more and page.items:
            self._request_page(page.items[-1].key)
            return
        if not self._is_stale_read:
            self._listing.finish(self._read_started_s)
        self._finish_read()

    def _log_invalid(self, invalid_items: list[InvalidItem]) -> None:
        for invalid in invalid_items:
            self._ctx.log(
                LogName.SERVER_ENTRY_INVALID,
                key=invalid.item.key,
                reason=invalid.reason,
                revision=invalid.item.revision,
            )

    def _finish_read(self) -> None:
        now_s = self._ctx.now_s
        self._is_reading = False
        if self._failing_since_s is not None:
            outage_s = now_s - self._failing_since_s
            self._failing_since_s = None
            self._store_recovered_s = now_s
            self._ctx.log(LogName.SERVER_LIST_REGAINED, outage_s=round(outage_s, 3))
        if not self.may_lack_entries and not self._is_stale_read:
            self._is_complete = True
        self._listing.read_s = now_s
        entries = self._keep_former_entries(dict(self._listing.entries))
        self.confirmed_s = self._read_started_s
        self.entries = self._order.select_latest(entries)
        self.on_entries_read(self.entries)
        self._on_entries(self.entries)

    def _handle_read_error(self, error: StoreError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._read_started_s
            self._ctx.log(
                LogName.SERVER_LIST_LOST,
                kind=error.kind.value,
                message=error.message,
                age_s=round(self._ctx.now_s - self.confirmed_s, 3),
            )
        self._is_reading = False
        self._failed_s = self._ctx.now_s
        delay_s = LIST_RETRY_DELAY_S * self._ctx.rng.uniform(0.7, 1.3)
        delay_s = max(delay_s, self._ctx.store_budget.draw_delay_s())
        self._retry_at_s = self._ctx.now_s + delay_s
