"""Tracks restores of the store from a copy, and orders revisions across them.

After a restore the store has forgotten what it acknowledged since the copy was made,
leases included, and gives out revision numbers again. `Context` passes each store call
through here, so that components only see revisions that never go back.
"""

from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok

from ..core.callback_guard import CallbackGuard
from .models import (
    Changes,
    Commit,
    Committed,
    Expected,
    Found,
    Item,
    Listed,
    Removed,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreReply,
    StoreResult,
    WatchPrefix,
)
from .revision import FIRST_ERA, build_revision, get_era, get_number

_OUTDATED_CONDITION: Final = StoreError(
    StoreErrorKind.CONFLICT, "the expected revision is from before a restore"
)
_OUTDATED_WATCH: Final = StoreError(
    StoreErrorKind.COMPACTED, "the watch began before a restore"
)
_OUTDATED_REPLY: Final = StoreError(
    StoreErrorKind.NO_ANSWER, "the reply is from before a restore"
)
_RESTORED_MEANWHILE: Final = StoreError(
    StoreErrorKind.NO_ANSWER, "the store was restored during the call"
)

RestoreListener = Callable[[], None]


class StoreEra:
    """The era of the store: it rises with each restore from an older copy.

    `current` is 0 until the first answer, and for stores that do not report an era.
    `risen_s` is the monotonic time at which this process learned of the latest restore,
    `-inf` if there was none since its start. `began_by_s` is the latest time at which
    the era can have begun, `-inf` if the store has never been restored: a process that
    has only seen a later era cannot know how old it is unless another one tells it.
    """

    def __init__(self) -> None:
        self.current = 0
        self.risen_s = float("-inf")
        self.began_by_s = float("-inf")
        self._listeners: list[RestoreListener] = []

    def add_listener(self, listener: RestoreListener) -> None:
        """Add a function to call after each restore of the store."""
        self._listeners.append(listener)

    def observe(self, era: int, now_s: float) -> bool:
        """Take the era of an answer; return whether the store has been restored."""
        if era <= self.current:
            return False
        is_restored = self.current > 0
        self.current = era
        if era > FIRST_ERA:
            self.began_by_s = now_s
        if is_restored:
            self.risen_s = now_s
        return is_restored

    def limit_begin(self, began_by_s: float) -> None:
        """Take a time by which the era had begun, as another instance knows it."""
        self.began_by_s = min(self.began_by_s, began_by_s)

    def notify_listeners(self, guard: CallbackGuard) -> None:
        """Call the listeners after a restore, each whatever the others do."""
        for listener in self._listeners:
            guard.run("store restored", listener)


@attrs.frozen
class StoreCall:
    """A store call that waits for its result, with the era in which it was sent.

    `sent_s` is the monotonic time at which it was sent.
    """

    operation: StoreOperation
    era: int
    on_result: Callable[[StoreResult], None]
    sent_s: float = 0.0

    def compute_duration_s(self, now_s: float) -> float | None:
        """Return for how long it has waited, None for a watch."""
        if isinstance(self.operation, WatchPrefix):
            return None
        return now_s - self.sent_s


def find_outdated_condition(operation: StoreOperation, era: int) -> StoreError | None:
    """Return the error of an operation that relies on revisions of an older era."""
    match operation:
        case Commit(expected=expected):
            is_outdated = any(
                e.revision > 0 and get_era(e.revision) < era for e in expected
            )
            return _OUTDATED_CONDITION if is_outdated else None
        case WatchPrefix(after_revision=revision) if get_era(revision) < era:
            return _OUTDATED_WATCH
    return None


def strip_era(operation: StoreOperation) -> StoreOperation:
    """Return the operation with the revision numbers that the store knows."""
    match operation:
        case Commit(expected=expected):
            return attrs.evolve(
                operation,
                expected=tuple(
                    Expected(e.key, get_number(e.revision)) for e in expected
                ),
            )
        case WatchPrefix(after_revision=revision):
            return attrs.evolve(operation, after_revision=get_number(revision))
    return operation


def order_result(
    call: StoreCall, result: StoreResult, era: int, current_era: int
) -> StoreResult:
    """Return a result with revisions of the era of its answer.

    A result whose meaning a restore has changed becomes an error: its revisions or its
    condition may belong to other changes of the same number.
    """
    if result.is_error():
        error = result.error
        items = tuple(_stamp_item(item, era) for item in error.items)
        return Error(attrs.evolve(error, items=items))
    if era < current_era:
        return Error(_OUTDATED_REPLY)
    if call.era and era != call.era:
        match call.operation:
            case WatchPrefix():
                return Error(_OUTDATED_WATCH)
            case Commit(expected=expected) if any(e.revision for e in expected):
                return Error(_RESTORED_MEANWHILE)
    return Ok(_stamp_reply(result.ok, era))


def _stamp_reply(reply: StoreReply, era: int) -> StoreReply:
    match reply:
        case Found(item):
            return Found(item and _stamp_item(item, era))
        case Listed(items, has_more, revision):
            stamped = tuple(_stamp_item(item, era) for item in items)
            return Listed(stamped, has_more, build_revision(era, revision))
        case Changes(events, revision):
            return Changes(
                tuple(_stamp_event(event, era) for event in events),
                build_revision(era, revision),
            )
        case Committed(revision):
            return Committed(build_revision(era, revision))
    return reply


def _stamp_event(event: Item | Removed, era: int) -> Item | Removed:
    if isinstance(event, Removed):
        return Removed(event.key, build_revision(era, event.revision))
    return _stamp_item(event, era)


def _stamp_item(item: Item, era: int) -> Item:
    return attrs.evolve(
        item,
        revision=build_revision(era, item.revision),
        created_revision=build_revision(era, item.created_revision),
    )
