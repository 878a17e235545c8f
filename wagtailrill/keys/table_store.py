"""The key table of one service in the store, written by one granter."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Found,
    Get,
    Put,
    StoreErrorKind,
    StoreResult,
)
from .const import STORE_RETRY_S
from .models import EMPTY_TABLE, KeyTable

OnWritten = Callable[[bool], None]


class TableStore:
    """Reads and writes the table under the condition that nobody else has written.

    `fence` is the highest token of the table, `revision` its revision in the store.
    """

    def __init__(
        self,
        ctx: Context,
        service: str,
        key: str,
        duty_fence: int,
        on_taken_over: Callable[[KeyTable], None],
    ) -> None:
        self.fence = 0
        self.revision = 0
        self.writing = False
        self._ctx = ctx
        self._service = service
        self._key = key
        self._duty_fence = duty_fence
        self._on_taken_over = on_taken_over
        self._stopped = False

    def stop(self) -> None:
        """Take no notice of answers any more."""
        self._stopped = True

    def take_over(self) -> None:
        """Read the table and write it again, so that a predecessor cannot write."""
        self.writing = True
        self._ctx.call_store(Get(self._key), self._on_read)

    def write(self, table: KeyTable, on_written: OnWritten) -> None:
        """Write a table; `on_written` tells whether it is in the store."""
        self.writing = True
        table = attrs.evolve(table, duty_fence=self._duty_fence)
        commit = Commit(
            (Expected(self._key, self.revision),), (Put(self._key, table.to_bytes()),)
        )
        self._ctx.call_store(
            commit, lambda result: self._on_commit(result, table, on_written)
        )

    def _on_read(self, result: StoreResult) -> None:
        if self._stopped:
            return
        if result.is_error():
            self._ctx.timers.call_later(STORE_RETRY_S, self.take_over)
            return
        found = result.ok
        assert isinstance(found, Found)
        table = EMPTY_TABLE
        self.revision = 0
        if found.item is not None:
            self.revision = found.item.revision
            read = KeyTable.from_bytes(found.item.value)
            if read.is_ok():
                table = read.ok
            else:
                self._ctx.log(
                    LogName.KEY_TABLE_INVALID,
                    service=self._service,
                    revision=self.revision,
                    reason=read.error,
                )
        self.fence = table.fence
        self.write(table, lambda written: self._on_marked(written, table))

    def _on_marked(self, written: bool, table: KeyTable) -> None:
        if not written:
            self._ctx.timers.call_later(STORE_RETRY_S, self.take_over)
            return
        self._ctx.log(
            LogName.KEY_TABLE_READ,
            service=self._service,
            revision=self.revision,
            segments=len(table.segments),
            fence=table.fence,
        )
        self._on_taken_over(table)

    def _on_commit(
        self, result: StoreResult, table: KeyTable, on_written: OnWritten
    ) -> None:
        if self._stopped:
            return
        if result.is_ok():
            committed = result.ok
            assert isinstance(committed, Committed)
            self._written(committed.revision, table, on_written)
            return
        error = result.error
        self._ctx.log(
            LogName.KEY_TABLE_WRITE_FAILED,
            service=self._service,
            kind=error.kind.value,
            message=error.message,
            revision=self.revision,
        )
        if error.kind is StoreErrorKind.REFUSED:
            self.writing = False
            on_written(False)
        else:
            # It may have taken effect, or somebody else has written.
            self._read_back(table, on_written)

    def _read_back(self, table: KeyTable, on_written: OnWritten) -> None:
        def on_read(result: StoreResult) -> None:
            if self._stopped:
                return
            if result.is_error():
                self._ctx.timers.call_later(
                    STORE_RETRY_S, lambda: self._read_back(table, on_written)
                )
                return
            found = result.ok
            assert isinstance(found, Found)
            item = found.item
            if item is not None and item.value == table.to_bytes():
                self._written(item.revision, table, on_written)
            elif (item.revision if item is not None else 0) == self.revision:
                # The commit may still be carried out. Tokens of it are not used
                # again, and the next write makes its condition fail.
                self.fence = table.fence
                self.writing = False
                on_written(False)
            else:
                on_written(False)
                self.take_over()

        self._ctx.call_store(Get(self._key), on_read)

    def _written(self, revision: int, table: KeyTable, on_written: OnWritten) -> None:
        self.writing = False
        self.revision, self.fence = revision, table.fence
        on_written(True)
