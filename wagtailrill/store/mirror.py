"""Local mirror of the store keys with one prefix, kept current by watches.

Used for the fleet's member keys and for the configuration.
"""

from collections.abc import Callable

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from .change_notifier import ChangeCallback, ChangeNotifier
from .confirmation import Confirmations
from .const import (
    BACKOFF_MAX_S,
    CHANGE_ARRIVES_WITHIN_S,
    CONFIRMED_WATCH_WAIT_S,
    LEADING_WAIT_RATIO,
    MIRROR_RELAY_RETURN_S,
    RELAY_RETURN_S,
    RETRY_WAIT_MAX_S,
)
from .listed_pages import ListedPages
from .mirror_models import MirrorSettings, MirrorState
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
from .removals import RemovalLog
from .revision import get_era


class PrefixMirror:
    """Lists a prefix, then watches it; lists it again after a failed watch.

    It also lists it again, without waiting for a pending call, once the store has been
    restored from an older copy.

    While another instance relays what the store has confirmed to it, the store is not
    asked; one of an earlier release only tells whether there are changes, and watches
    wait longer then. The prefix is listed again if that instance knows of a change that
    has not come, or falls silent. An instance that `leads` relays to the others.

    `items` holds the last known keys. `on_change` receives the changed ones, after a
    list also if there are none; `on_updated` is called after it. `is_relay_expected`
    returns whether another instance is known that relays.
    `confirmed_s` is the monotonic time at which `items` was last known to be complete,
    `-inf` before the first list. `last_change_revision` is that of the last change, and
    `changed_after_s` a time at which the store still confirmed the items before it.
    """

    def __init__(
        self, ctx: Context, cfg: MirrorSettings, on_change: ChangeCallback
    ) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.confirmed_s = self.changed_after_s = float("-inf")
        self.failing_since_s: float | None = None
        self.last_change_revision = 0
        self.on_updated: Callable[[], None] = lambda: None
        self.is_relay_expected: Callable[[], bool] = lambda: False
        self.watch_pause_s = cfg.watch_pause_s
        self._ctx = ctx
        self._cfg = cfg
        self._notifier = ChangeNotifier(ctx, f"mirror {cfg.prefix}", on_change)
        self._state = MirrorState.LISTING
        self._pages = ListedPages()
        self._started_s = 0.0
        self._leads = False
        self._is_relay_followed = False
        self._has_awaited_relay = False
        self._is_retrying = False
        self._removals = RemovalLog()
        self._calls = CallScope(ctx)
        self._watch_call_id = 0
        self._expectation: TimerHandle | None = None
        self._confirmations = Confirmations(
            ctx, cfg.confirmation_gap_max_s, self._on_confirmations_ended
        )

    def start(self) -> None:
        """Start to mirror the prefix."""
        self._ctx.store_era.add_listener(self.list_again)
        self.list_again()

    @property
    def leads(self) -> bool:
        """Return whether this instance tells the others what the store confirms."""
        return self._leads

    @leads.setter
    def leads(self, leads: bool) -> None:
        is_new_leader = leads and not self._leads
        self._leads = leads
        awaits_relay = self._state is MirrorState.RELAYED or self._is_retrying
        if is_new_leader and awaits_relay:
            self.list_again()  # the others wait for what it confirms

    def list_again(self) -> None:
        """List the prefix now, without waiting for a pending call."""
        self._calls.abandon()
        self._cancel_watch()
        self._state = MirrorState.LISTING
        self._is_retrying = False
        self._pages = ListedPages()
        self._started_s = self._ctx.now_s
        self._request_page("")

    @property
    def prefix(self) -> str:
        """Return the prefix of the mirrored keys."""
        return self._cfg.prefix

    def get_changes(self, after_revision: int) -> Changes | None:
        """Return the changes after a revision, None if they are not all known.

        Those of private keys are not passed on.
        """
        if get_era(after_revision) != get_era(self.revision):
            return None
        if not self._removals.since <= after_revision:
            return None
        items = [i for i in self.items.values() if i.revision > after_revision]
        if any(item.key in self._cfg.private_keys for item in items):
            return None
        items.sort(key=lambda item: item.revision)
        removals = self._removals.list_after(after_revision)
        return Changes((*items, *removals), self.revision)

    def accept_changes(self, changes: Changes) -> None:
        """Apply changes that another instance relays."""
        era = get_era(changes.revision)
        if not self.is_complete or era != get_era(self.revision):
            return
        if era != self._ctx.store_era.current:
            return  # of a store that has been restored since
        self._apply_changes(changes)

    def confirm(
        self, last_change_revision: int, age_s: float, is_relaying: bool = False
    ) -> None:
        """Note what the store has confirmed to another instance `age_s` seconds ago.

        `last_change_revision` is that of the last change that it knows. With
        `is_relaying` it passes on the changes themselves.
        """
        age_max_s = (
            self._cfg.confirmation_gap_max_s
            if is_relaying
            else self._cfg.watch_wait_max_s
        )
        if age_s > age_max_s:
            return
        self._is_relay_followed = is_relaying
        self._confirmations.record(age_s)
        if last_change_revision <= self.revision:
            self.confirmed_s = max(self.confirmed_s, self._ctx.now_s - age_s)
            if self._is_retrying and is_relaying:
                self._follow_relay()
        elif self._state is not MirrorState.LISTING or self._is_retrying:
            self._calls.call_later(
                CHANGE_ARRIVES_WITHIN_S,
                lambda: self._list_if_behind(last_change_revision),
            )

    def _follow_relay(self) -> None:
        """Stop asking the store, as another instance relays what it holds."""
        self._calls.abandon()
        self._cancel_watch()
        self._state, self._is_retrying = MirrorState.RELAYED, False
        self._record_regained()

    def _list_if_behind(self, last_change_revision: int) -> None:
        if self.revision < last_change_revision and self._may_list_at_once():
            self.list_again()

    def _may_list_at_once(self) -> bool:
        """Return whether to list for a change that others know."""
        if self._is_retrying:
            return not self._ctx.store_budget.is_failing
        # Between two watches the next one returns the change at once.
        return bool(self._watch_call_id) or self._state is MirrorState.RELAYED

    def _on_confirmations_ended(self, were_trusted: bool) -> None:
        """Ask the store itself, as nobody else tells what it has confirmed."""
        is_relayed = self._state is MirrorState.RELAYED
        if is_relayed or (were_trusted and self._state is MirrorState.WATCHING):
            self._list_when_served()

    def _list_when_served(self) -> None:
        """List the prefix now, or once the store serves this instance again."""
        budget = self._ctx.store_budget
        if budget.is_turned_away or (budget.is_failing and not self.leads):
            self._retry_list()
        else:
            self.list_again()

    def _retry_list(self) -> None:
        self._calls.abandon()
        self._cancel_watch()
        self._state, self._is_retrying = MirrorState.LISTING, True
        # Others that the store serves may relay what it holds, once they are back.
        is_relay_awaited = self._is_relay_followed and not self.leads
        resume_after_s = MIRROR_RELAY_RETURN_S if is_relay_awaited else 0.0
        # Others wait for what this one relays.
        delay_max_s = BACKOFF_MAX_S if self.leads else RETRY_WAIT_MAX_S
        self._calls.retry(self.list_again, resume_after_s, delay_max_s=delay_max_s)

    @property
    def is_complete(self) -> bool:
        """Return whether the keys have been listed once."""
        return self.revision > 0

    def _request_page(self, after_key: str) -> None:
        self._calls.call_store(ListPrefix(self._cfg.prefix, after_key), self._on_page)
        self._expect_answer(0.0)

    def _expect_answer(self, wait_s: float) -> None:
        """Ask again if an answer for which the others wait is overdue."""
        self._end_expectation()
        if self.leads:
            overdue_s = wait_s + self._ctx.store_budget.overdue_after_s
            self._expectation = self._calls.call_later(overdue_s, self._repeat_call)

    def _end_expectation(self) -> None:
        if self._expectation is not None:
            self._expectation.cancel()
            self._expectation = None

    def _repeat_call(self) -> None:
        if self.leads:
            self._list_when_served()

    def _on_page(self, result: StoreResult) -> None:
        self._end_expectation()
        if result.is_error():
            self._handle_error(result.error)
            return
        page = result.ok
        assert isinstance(page, Listed)
        after_key = self._pages.add(page)
        if after_key:
            self._request_page(after_key)
        else:
            self._take_list()

    def _take_list(self) -> None:
        pages, self._pages = self._pages, ListedPages()
        is_outdated = pages.revision < self.revision and self._is_relay_followed
        if is_outdated and get_era(pages.revision) == get_era(self.revision):
            # What was relayed since the list was made is newer.
            changed_keys: set[str] = set()
        else:
            changed_keys = self._replace_items(pages)
        if changed_keys:
            self.changed_after_s = self.confirmed_s
        self._record_success()
        self._notify(frozenset(changed_keys))
        self._start_watch()

    def _replace_items(self, pages: ListedPages) -> set[str]:
        """Take the listed items; return the keys that have changed."""
        changed_keys = {
            k for k, item in pages.items.items() if self.items.get(k) != item
        }
        removed_keys = self.items.keys() - pages.items.keys()
        changed_keys |= removed_keys
        self.items = pages.items
        if get_era(self.revision) != get_era(pages.revision):
            self._removals.begin(pages.revision)
        self.revision = pages.revision
        for key in removed_keys:
            self._removals.record(key, self.revision)
        for key in self.items:
            self._removals.forget(key)
        revisions = [item.revision for item in self.items.values()]
        if removed_keys:  # their removals have later revisions, up to that of the list
            revisions.append(self.revision)
        self.last_change_revision = max(self.last_change_revision, *revisions, 0)
        return changed_keys

    def _start_watch(self) -> None:
        if not self._has_awaited_relay and self.is_relay_expected():
            # The reader tells soon what has changed since the first list.
            self._has_awaited_relay = self._is_relay_followed = True
            self._confirmations.expect(RELAY_RETURN_S)
        if self._is_relayed():
            self._state = MirrorState.RELAYED
            return
        self._state = MirrorState.WATCHING
        self._started_s = self._ctx.now_s
        wait_s = self._get_wait_s()
        operation = WatchPrefix(self._cfg.prefix, self.revision, wait_s)
        self._watch_call_id = self._calls.call_store(operation, self._on_changes)
        self._expect_answer(wait_s)

    def _is_relayed(self) -> bool:
        is_followed = self._is_relay_followed and self._confirmations.is_active
        return is_followed and not self.leads

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
        self._end_expectation()
        if result.is_error():
            self._handle_error(result.error)
            return
        changes = result.ok
        assert isinstance(changes, Changes)
        has_changed = self._apply_changes(changes)
        self._record_success()
        if has_changed:
            self._calls.call_later(self.watch_pause_s, self._start_watch)
        else:
            self._start_watch()

    def _apply_changes(self, changes: Changes) -> bool:
        """Apply changes and tell of them; return whether `items` changed."""
        changed_keys = {
            event.key for event in changes.events if self._apply_event(event)
        }
        self.revision = max(self.revision, changes.revision)
        self.last_change_revision = max(
            self.last_change_revision, *(event.revision for event in changes.events), 0
        )
        if changed_keys:
            self.changed_after_s = self.confirmed_s
            self._notify(frozenset(changed_keys))
        return bool(changed_keys)

    def _notify(self, changed_keys: frozenset[str]) -> None:
        """Tell of changes; an error in what is called must not end the watch."""
        self._notifier.notify(changed_keys)
        self._ctx.guard.run(f"relay of {self._cfg.prefix}", lambda: self.on_updated())

    def _apply_event(self, event: Item | Removed) -> bool:
        """Apply an event unless it is outdated; return whether `items` changed."""
        known_item = self.items.get(event.key)
        if known_item is not None and known_item.revision >= event.revision:
            return False
        if isinstance(event, Removed):
            self._removals.record(event.key, event.revision)
            return self.items.pop(event.key, None) is not None
        self._removals.forget(event.key)
        self.items[event.key] = event
        return True

    def _record_success(self) -> None:
        self.confirmed_s = self._ctx.now_s
        self._record_regained()

    def _record_regained(self) -> None:
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
        if self._state is MirrorState.WATCHING and self._is_relayed():
            self._follow_relay()
        elif self._state is MirrorState.WATCHING:
            # After a failed watch, changes may be missing without the store reporting
            # it.
            self._list_when_served()
        else:
            self._retry_list()
