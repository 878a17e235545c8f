"""Local mirror of the store keys with one prefix, kept current by watches.

Used for the fleet's member keys and for the configuration.
"""

import enum
from collections.abc import Callable

import attrs

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from .confirmation import Confirmations
from .const import (
    CHANGE_ARRIVES_WITHIN_S,
    CONFIRMED_WATCH_WAIT_S,
    LEADING_WAIT_RATIO,
    RETRY_GROWTH_RATIO,
    RETRY_INITIAL_S,
    RETRY_MAX_S,
    WATCH_PAUSE_S,
    WATCH_WAIT_MAX_S,
)
from .models import (
    Changes,
    Item,
    Listed,
    ListPrefix,
    Removed,
    StoreError,
    StoreResult,
    WatchPrefix,
)

ChangeCallback = Callable[[frozenset[str]], None]


class MirrorState(enum.Enum):
    """Which kind of store call the mirror makes."""

    LISTING = "listing"
    WATCHING = "watching"


@attrs.frozen
class MirrorSettings:
    """Prefix to mirror; pause between watches and longest wait of one in seconds."""

    prefix: str
    watch_pause_s: float = WATCH_PAUSE_S
    watch_wait_max_s: float = WATCH_WAIT_MAX_S


class PrefixMirror:
    """Lists a prefix, then watches it; lists it again after a failed watch.

    It also lists it again, without waiting for a pending call, once the store has been
    restored from an older copy.

    While another instance tells what the store has confirmed to it, watches wait
    longer. The prefix is listed again if that instance knows of a change that the watch
    did not return, or falls silent. An instance that `leads` tells the others.

    `items` holds the last known keys. `on_change` receives the changed ones, after a
    list also if there are none.
    `confirmed_s` is the monotonic time at which `items` was last known to be complete,
    `-inf` before the first list. `last_change_revision` is that of the last change.
    """

    def __init__(
        self, ctx: Context, cfg: MirrorSettings, on_change: ChangeCallback
    ) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.confirmed_s = float("-inf")
        self.failing_since_s: float | None = None
        self.last_change_revision = 0
        self.leads = False
        self.watch_pause_s = cfg.watch_pause_s
        self._ctx = ctx
        self._cfg = cfg
        self._on_change = on_change
        self._state = MirrorState.LISTING
        self._listed_items: dict[str, Item] = {}
        self._list_revision = 0
        self._retry_delay_s = RETRY_INITIAL_S
        self._started_s = 0.0
        self._calls = CallScope(ctx)
        self._watch_call_id = 0
        self._confirmations = Confirmations(ctx, self._on_confirmations_ended)

    def start(self) -> None:
        """Start to mirror the prefix."""
        self._ctx.store_era.add_listener(self.list_again)
        self.list_again()

    def list_again(self) -> None:
        """List the prefix now, without waiting for a pending call."""
        self._calls.abandon()
        self._cancel_watch()
        self._state = MirrorState.LISTING
        self._listed_items, self._list_revision = {}, 0
        self._started_s = self._ctx.now_s
        self._request_page("")

    @property
    def prefix(self) -> str:
        """Return the prefix of the mirrored keys."""
        return self._cfg.prefix

    def confirm(self, last_change_revision: int, age_s: float) -> None:
        """Note what the store has confirmed to another instance `age_s` seconds ago.

        `last_change_revision` is that of the last change that it knows.
        """
        if age_s > self._cfg.watch_wait_max_s:
            return
        self._confirmations.record()
        if last_change_revision <= self.revision:
            self.confirmed_s = max(self.confirmed_s, self._ctx.now_s - age_s)
        elif self._state is MirrorState.WATCHING:
            self._calls.call_later(
                CHANGE_ARRIVES_WITHIN_S,
                lambda: self._list_if_behind(last_change_revision),
            )

    def _list_if_behind(self, last_change_revision: int) -> None:
        # Between two watches the next one returns the change at once.
        if self.revision < last_change_revision and self._watch_call_id:
            self.list_again()

    def _on_confirmations_ended(self) -> None:
        """Ask the store itself, as nobody else tells what it has confirmed."""
        if self._is_watching():
            self.list_again()

    def _is_watching(self) -> bool:
        return self._state is MirrorState.WATCHING

    @property
    def is_complete(self) -> bool:
        """Return whether the keys have been listed once."""
        return self.revision > 0

    def _request_page(self, after_key: str) -> None:
        self._calls.call_store(ListPrefix(self._cfg.prefix, after_key), self._on_page)

    def _on_page(self, result: StoreResult) -> None:
        if result.is_error():
            self._handle_error(result.error)
            return
        page = result.ok
        assert isinstance(page, Listed)
        # The pages are read at different revisions: the watch starts at the first
        # one's, so that no change between the pages is missed.
        self._list_revision = self._list_revision or page.revision
        self._listed_items.update((item.key, item) for item in page.items)
        if page.has_more and page.items:
            self._request_page(page.items[-1].key)
            return
        changed_keys = {
            k for k, item in self._listed_items.items() if self.items.get(k) != item
        }
        removed_keys = self.items.keys() - self._listed_items.keys()
        changed_keys |= removed_keys
        self.items, self._listed_items = self._listed_items, {}
        self.revision = self._list_revision
        revisions = [item.revision for item in self.items.values()]
        if removed_keys:  # their removals have later revisions, up to that of the list
            revisions.append(self.revision)
        self.last_change_revision = max(self.last_change_revision, *revisions, 0)
        self._record_success()
        self._on_change(frozenset(changed_keys))
        self._start_watch()

    def _start_watch(self) -> None:
        self._state = MirrorState.WATCHING
        self._started_s = self._ctx.now_s
        operation = WatchPrefix(self._cfg.prefix, self.revision, self._get_wait_s())
        self._watch_call_id = self._calls.call_store(operation, self._on_changes)

    def _get_wait_s(self) -> float:
        if self.leads:
            return self._cfg.watch_wait_max_s * LEADING_WAIT_RATIO
        if self._confirmations.are_trusted:
            return CONFIRMED_WATCH_WAIT_S
        return self._cfg.watch_wait_max_s

    def _cancel_watch(self) -> None:
        if self._watch_call_id:
            self._ctx.cancel_store_call(self._watch_call_id)
            self._watch_call_id = 0

    def _on_changes(self, result: StoreResult) -> None:
        self._watch_call_id = 0
        if result.is_error():
            self._handle_error(result.error)
            return
        changes = result.ok
        assert isinstance(changes, Changes)
        changed_keys = {
            event.key for event in changes.events if self._apply_event(event)
        }
        self.revision = max(self.revision, changes.revision)
        self.last_change_revision = max(
            self.last_change_revision, *(event.revision for event in changes.events), 0
        )
        self._record_success()
        if changed_keys:
            self._on_change(frozenset(changed_keys))
            self._calls.call_later(self.watch_pause_s, self._start_watch)
        else:
            self._start_watch()

    def _apply_event(self, event: Item | Removed) -> bool:
        """Apply an event unless it is outdated; return whether `items` changed."""
        known_item = self.items.get(event.key)
        if known_item is not None and known_item.revision >= event.revision:
            return False
        if isinstance(event, Removed):
            return self.items.pop(event.key, None) is not None
        self.items[event.key] = event
        return True

    def _record_success(self) -> None:
        self.confirmed_s = self._ctx.now_s
        self._retry_delay_s = RETRY_INITIAL_S
        if self.failing_since_s is not None:
            outage_s = self._ctx.now_s - self.failing_since_s
            self.failing_since_s = None
            self._ctx.log(
                LogName.STORE_WATCH_REGAINED,
                prefix=self._cfg.prefix,
                outage_s=round(outage_s, 3),
                revision=self.revision,
            )

    def _handle_error(self, error: StoreError) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = self._started_s
            self._ctx.log(
                LogName.STORE_WATCH_LOST,
                prefix=self._cfg.prefix,
                kind=error.kind.value,
                message=error.message,
                revision=self.revision,
            )
        # After a failed watch, changes may be missing without the store reporting it.
        if self._state is MirrorState.WATCHING:
            self.list_again()
            return
        delay_s = self._retry_delay_s * self._ctx.rng.uniform(0.5, 1.0)
        self._retry_delay_s = min(self._retry_delay_s * RETRY_GROWTH_RATIO, RETRY_MAX_S)
        self._calls.call_later(delay_s, self.list_again)
