"""Writes one key under a condition, and repeats the write until its outcome is known.

An error that proves that one attempt was not executed says nothing about earlier ones
without an answer: the store may execute those later, while their condition holds.
"""

import enum
from collections.abc import Callable
from typing import Final

import attrs

from ..core.call_scope import CallScope
from .const import STORE_RETRY_DELAY_S
from .models import (
    Commit,
    Committed,
    Expected,
    Found,
    Get,
    Item,
    Put,
    StoreError,
    StoreErrorKind,
    StoreResult,
)

# Of these errors, each proves that the attempt that got it has written nothing.
_NOT_EXECUTED_KINDS: Final = frozenset({StoreErrorKind.REFUSED, StoreErrorKind.INVALID})


class PutOutcome(enum.Enum):
    """What has become of a write; each outcome is final for all of its attempts."""

    WRITTEN = "written"
    SUPERSEDED = "superseded"  # another value has been written instead
    NOT_EXECUTED = "not_executed"


@attrs.frozen
class PutResult:
    """The outcome of a write; `item` is the stored one, unless it was not executed.

    After `SUPERSEDED` it is None if the key does not exist any more.
    """

    outcome: PutOutcome
    item: Item | None = None


@attrs.frozen
class PutRequest:
    """A value for a key whose revision must be `revision`, 0 if it must not exist.

    No other writer may store the same value at that revision.
    """

    key: str
    value: bytes = attrs.field(repr=False)
    revision: int


@attrs.frozen
class PutCallbacks:
    """`on_result` gets the result, and `on_failed` the error of each failed attempt."""

    on_result: Callable[[PutResult], None]
    on_failed: Callable[[StoreError], None]


class ConditionalPut:
    """One write with all of its attempts.

    A read after a failed attempt shows whether one of them has taken effect. While the
    revision is unchanged the write is repeated: only its success, or a change by
    another writer, excludes that an earlier attempt takes effect later.
    """

    def __init__(
        self, calls: CallScope, req: PutRequest, callbacks: PutCallbacks
    ) -> None:
        self._calls = calls
        self._req = req
        self._callbacks = callbacks
        self._may_be_executed_late = False

    def start(self) -> None:
        """Make the first attempt."""
        self._try_write()

    def _try_write(self) -> None:
        expected = Expected(self._req.key, self._req.revision)
        put = Put(self._req.key, self._req.value)
        self._calls.call_store(Commit((expected,), (put,)), self._on_attempt)

    def _on_attempt(self, result: StoreResult) -> None:
        if result.is_ok():
            committed = result.ok
            assert isinstance(committed, Committed)
            item = Item(self._req.key, self._req.value, committed.revision)
            self._finish(PutOutcome.WRITTEN, item)
            return
        error = result.error
        self._callbacks.on_failed(error)
        if error.kind in _NOT_EXECUTED_KINDS:
            self._on_not_executed()
            return
        if error.kind is not StoreErrorKind.CONFLICT:
            self._may_be_executed_late = True
        self._read_back()

    def _on_not_executed(self) -> None:
        if self._may_be_executed_late:
            self._read_back_later()
        else:
            self._finish(PutOutcome.NOT_EXECUTED, None)

    def _read_back_later(self) -> None:
        self._calls.call_later(STORE_RETRY_DELAY_S, self._read_back)

    def _read_back(self) -> None:
        self._calls.call_store(Get(self._req.key), self._on_read)

    def _on_read(self, result: StoreResult) -> None:
        if result.is_error():
            self._read_back_later()
            return
        found = result.ok
        assert isinstance(found, Found)
        item = found.item
        if item is not None and item.value == self._req.value:
            self._finish(PutOutcome.WRITTEN, item)
        elif (item.revision if item is not None else 0) == self._req.revision:
            self._try_write()
        else:
            self._finish(PutOutcome.SUPERSEDED, item)

    def _finish(self, outcome: PutOutcome, item: Item | None) -> None:
        self._callbacks.on_result(PutResult(outcome, item))
