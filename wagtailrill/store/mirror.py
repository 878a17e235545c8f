"""A copy of the keys of one prefix, kept current by a watch."""

import enum
from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from .const import (
    RETRY_FIRST_S,
    RETRY_GROWTH,
    RETRY_MAX_S,
    WATCH_PAUSE_S,
    WATCH_WAIT_S,
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

OnChange = Callable[[frozenset[str]], None]


class MirrorState(enum.Enum):
    """What the mirror does next."""

    LISTING = "listing"
    WATCHING = "watching"


@attrs.frozen
class MirrorSettings:
    """The prefix to copy, and the pause between watches in seconds."""

    prefix: str
    watch_pause_s: float = WATCH_PAUSE_S
    watch_wait_s: float = WATCH_WAIT_S


class PrefixMirror:
    """Lists a prefix, then watches it; lists again when a watch was cut.

    `items` holds the last known contents. `confirmed_s` is the monotonic time at which
    the contents were last known to be complete, `-inf` before the first list.
    """

    def __init__(self, ctx: Context, cfg: MirrorSettings, on_change: OnChange) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.confirmed_s = float("-inf")
        self.failing_since_s: float | None = None
        self._ctx = ctx
        self._cfg = cfg
        self._on_change = on_change
        self._state = MirrorState.LISTING
        self._listed: dict[str, Item] = {}
        self._list_revision = 0
        self._retry_s = RETRY_FIRST_S
        self._started_s = 0.0

    def start(self) -> None:
        """Begin to copy."""
        self._list("")

    @property
    def complete(self) -> bool:
        """Return whether the contents have been listed once."""
        return self.revision > 0

    def _list(self, after: str) -> None:
        self._state = MirrorState.LISTING
        if not after:
            self._listed, self._list_revision = {}, 0
            self._started_s = self._ctx.now_s
        self._ctx.call_store(ListPrefix(self._cfg.prefix, after), self._on_listed)

    def _on_listed(self, result: StoreResult) -> None:
        if result.is_error():
            self._failed(result.error)
            return
        page = result.ok
        assert isinstance(page, Listed)
        # Pages are no snapshot: the watch starts at the revision of the first one.
        self._list_revision = self._list_revision or page.revision
        self._listed.update((item.key, item) for item in page.items)
        if page.more and page.items:
            self._list(page.items[-1].key)
            return
        changed = {k for k, item in self._listed.items() if self.items.get(k) != item}
        changed |= self.items.keys() - self._listed.keys()
        self.items, self._listed = self._listed, {}
        self.revision = self._list_revision
        self._succeeded()
        self._on_change(frozenset(changed))
        self._watch()

    def _watch(self) -> None:
        self._state = MirrorState.WATCHING
        self._started_s = self._ctx.now_s
        cfg = self._cfg
        operation = WatchPrefix(cfg.prefix, self.revision, cfg.watch_wait_s)
        self._ctx.call_store(operation, self._on_watched)

    def _on_watched(self, result: StoreResult) -> None:
        if result.is_error():
            self._failed(result.error)
            return
        changes = result.ok
        assert isinstance(changes, Changes)
        changed = {event.key for event in changes.events if self._apply(event)}
        self.revision = max(self.revision, changes.revision)
        self._succeeded()
        if changed:
            self._on_change(frozenset(changed))
            self._ctx.timers.call_later(self._cfg.watch_pause_s, self._watch)
        else:
            self._watch()

    def _apply(self, event: Item | Removed) -> bool:
        known = self.items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        if isinstance(event, Removed):
            return self.items.pop(event.key, None) is not None
        self.items[event.key] = event
        return True

    def _succeeded(self) -> None:
        self.confirmed_s = self._ctx.now_s
        self._retry_s = RETRY_FIRST_S
        if self.failing_since_s is not None:
            outage_s = self._ctx.now_s - self.failing_since_s
            self.failing_since_s = None
            self._ctx.log(
                LogName.STORE_WATCH_REGAINED,
                prefix=self._cfg.prefix,
                outage_s=round(outage_s, 3),
                revision=self.revision,
            )

    def _failed(self, error: StoreError) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = self._started_s
            self._ctx.log(
                LogName.STORE_WATCH_LOST,
                prefix=self._cfg.prefix,
                kind=error.kind.value,
                message=error.message,
                revision=self.revision,
            )
        # After a watch was cut, changes may be missing without a word of the store.
        if self._state is MirrorState.WATCHING:
            self._list("")
            return
        delay_s = self._retry_s * self._ctx.rng.uniform(0.5, 1.0)
        self._retry_s = min(self._retry_s * RETRY_GROWTH, RETRY_MAX_S)
        self._ctx.timers.call_later(delay_s, lambda: self._list(""))
