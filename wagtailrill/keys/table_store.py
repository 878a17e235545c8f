"""Reads and writes the key table of one service in the store for its granter."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
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
from .const import STORE_RETRY_DELAY_S
from .models import EMPTY_TABLE, KeyTable

OnWritten = Callable[[bool], None]
NOT_EXECUTED_KINDS = frozenset({StoreErrorKind.REFUSED, StoreErrorKind.INVALID})


class TableStore:
    """Stores the table under the condition that nobody else has written it.

    `fence` is the highest fencing token of the table, `revision` its revision in the
    store. While `write_pending` is set, no other write may begin.
    """

    def __init__(
        self,
        ctx: Context,
        service: str,
        table_key: str,
        duty_fence: int,
        on_taken_over: Callable[[KeyTable], None],
    ) -> None:
        self.fence = 0
        self.revision = 0
        self.write_pending = False
        self._ctx = ctx
        self._service = service
        self._table_key = table_key
        self._duty_fence = duty_fence
        self._on_taken_over = on_taken_over
        self._stopped = False
        self._retry: TimerHandle | None = None

    def stop(self) -> None:
        """Ignore all further answers of the store."""
        self._stopped = True

    def take_over_table(self) -> None:
        """Read the table and write it back, so that a predecessor's writes fail."""
        self.write_pending = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._ctx.call_store(Get(self._table_key), self._on_takeover_read)

    def _retry_takeover(self) -> None:
        self._retry = self._ctx.timers.call_later(
            STORE_RETRY_DELAY_S, self.take_over_table
        )

    def write_table(self, table: KeyTable, on_written: OnWritten) -> None:
        """Write a table; `on_written` receives whether it is in the store."""
        self.write_pending = True
        self._commit(attrs.evolve(table, duty_fence=self._duty_fence), on_written)

    def _commit(self, table: KeyTable, on_written: OnWritten) -> None:
        commit = Commit(
            (Expected(self._table_key, self.revision),),
            (Put(self._table_key, table.to_bytes()),),
        )
        self._ctx.call_store(
            commit, lambda result: self._on_commit_result(result, table, on_written)
        )

    def _on_takeover_read(self, result: StoreResult) -> None:
        if self._stopped:
            return
        if result.is_error():
            self._retry_takeover()
            return
        found = result.ok
        assert isinstance(found, Found)
        table = EMPTY_TABLE
        self.revision = 0
        if found.item is not None:
            self.revision = found.item.revision
            parsed = KeyTable.from_bytes(found.item.value)
            if parsed.is_ok():
                table = parsed.ok
            else:
                self._ctx.log(
                    LogName.KEY_TABLE_INVALID,
                    service=self._service,
                    revision=self.revision,
                    reason=parsed.error,
                )
        self.fence = table.fence
        self.write_table(
            table, lambda written: self._on_takeover_written(written, table)
        )

    def _on_takeover_written(self, written: bool, table: KeyTable) -> None:
        if not written:
            self._retry_takeover()
            return
        self._ctx.log(
            LogName.KEY_TABLE_READ,
            service=self._service,
            revision=self.revision,
            segments=len(table.segments),
            fence=table.fence,
        )
        self._on_taken_over(table)

    def _on_commit_result(
        self, result: StoreResult, table: KeyTable, on_written: OnWritten
    ) -> None:
        if self._stopped:
            return
        if result.is_ok():
            committed = result.ok
            assert isinstance(committed, Committed)
            self._finish_write(committed.revision, table, on_written)
            return
        error = result.error
        self._ctx.log(
            LogName.KEY_TABLE_WRITE_FAILED,
            service=self._service,
            kind=error.kind.value,
            message=error.message,
            revision=self.revision,
        )
        if error.kind in NOT_EXECUTED_KINDS:
            self.write_pending = False
            on_written(False)
        else:
            # The commit may have taken effect, or another instance has written.
            self._check_commit(table, on_written)

    def _check_commit(self, table: KeyTable, on_written: OnWritten) -> None:
        """Read the table back to learn the outcome of a commit."""

        def on_read(result: StoreResult) -> None:
            if self._stopped:
                return
            if result.is_error():
                self._ctx.timers.call_later(
                    STORE_RETRY_DELAY_S, lambda: self._check_commit(table, on_written)
                )
                return
            found = result.ok
            assert isinstance(found, Found)
            item = found.item
            if item is not None and item.value == table.to_bytes():
                self._finish_write(item.revision, table, on_written)
            elif (item.revision if item is not None else 0) == self.revision:
                # The commit may still take effect. Until it is known to have or not,
                # no other owner may be granted keys, so it is repeated.
                self._commit(table, on_written)
            else:
                on_written(False)
                self.take_over_table()

        self._ctx.call_store(Get(self._table_key), on_read)

    def _finish_write(
        self, revision: int, table: KeyTable, on_written: OnWritten
    ) -> None:
        self.write_pending = False
        self.revision, self.fence = revision, table.fence
        on_written(True)
