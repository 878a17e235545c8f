"""Reads and writes the key table of one service in the store for its granter."""

from collections.abc import Callable

import attrs

from ..core.call_scope import CallScope
from ..core.context import Context
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..store.conditional_put import (
    ConditionalPut,
    PutCallbacks,
    PutOutcome,
    PutRequest,
    PutResult,
)
from ..store.const import STORE_RETRY_DELAY_S
from ..store.models import Found, Get, Item, StoreError, StoreResult
from ..store.revision import get_era
from .models import EMPTY_TABLE, KeyTable, compute_token_floor

OnWritten = Callable[[bool], None]
OnTakenOver = Callable[[KeyTable, bool], None]


class TableStore:
    """Stores the table under the condition that nobody else has written it.

    `fence` is the highest fencing token of the table, `revision` its revision in the
    store. `write_pending` is set as long as any attempt at a write may still be
    executed; no other write may begin then. `on_taken_over` receives the table and
    whether it is outdated.

    After a restore of the store the stored table is an outdated copy. Nothing more is
    written until the duty has a fencing token of the present era. A granter that knows
    the owners then writes them again with `restore_table`. One that takes an outdated
    table over writes it back as it is, so that the next successor knows that, too.
    """

    def __init__(
        self,
        ctx: Context,
        service: str,
        table_key: str,
        duty_fence: int,
        on_taken_over: OnTakenOver,
    ) -> None:
        self.fence = 0
        self.revision = 0
        self.write_pending = False
        self._ctx = ctx
        self._service = service
        self._table_key = table_key
        self._duty_fence = duty_fence
        self._on_taken_over = on_taken_over
        # What a restore has overtaken is written again when the duty is confirmed.
        self._calls = CallScope(ctx, self._is_of_present_era)
        self._retry: TimerHandle | None = None

    @property
    def duty_fence(self) -> int:
        """Fencing token of the duty under which tables are written."""
        return self._duty_fence

    def stop(self) -> None:
        """Ignore all further answers of the store."""
        self._calls.abandon()

    def is_writable(self) -> bool:
        """Return whether a write may begin now."""
        return not self.write_pending and self._is_of_present_era()

    def change_duty_fence(self, duty_fence: int) -> None:
        """Write under another fencing token of the duty; abandon pending calls.

        The token is of a later era of the store. An abandoned write that is executed
        after all is of an earlier one, so the table counts as outdated then.
        """
        self._duty_fence = duty_fence
        self._calls.abandon()
        self.write_pending = False

    def _is_of_present_era(self) -> bool:
        return get_era(self._duty_fence) >= self._ctx.store_era.current

    # Takeover

    def take_over_table(self) -> None:
        """Read the table and write it back, so that a predecessor's writes fail."""
        self.write_pending = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._calls.call_store(Get(self._table_key), self._on_takeover_read)

    def _retry_later(self, callback: Callable[[], None]) -> None:
        # The table in the store may be another one than the known rows make.
        self.write_pending = True
        self._retry = self._calls.call_later(STORE_RETRY_DELAY_S, callback)

    def _on_takeover_read(self, result: StoreResult) -> None:
        if result.is_error():
            self._retry_later(self.take_over_table)
            return
        table = self._read_found_table(result)
        is_outdated = table.is_older_than_era(get_era(self._duty_fence))
        self._raise_fence(table.fence)
        written_table = table if is_outdated else self._stamp_table(table)
        self._put(
            written_table,
            lambda written: self._on_takeover_written(written, table, is_outdated),
        )

    def _on_takeover_written(
        self, written: bool, table: KeyTable, is_outdated: bool
    ) -> None:
        if not written:
            self._retry_later(self.take_over_table)
            return
        self._ctx.log(
            LogName.KEY_TABLE_READ,
            service=self._service,
            revision=self.revision,
            segments=len(table.segments),
            fence=table.fence,
            era=get_era(table.duty_fence),
            outdated=is_outdated,
        )
        self._on_taken_over(table, is_outdated)

    def _read_found_table(self, result: StoreResult) -> KeyTable:
        found = result.ok
        assert isinstance(found, Found)
        return self._read_item(found.item)

    def _read_item(self, item: Item | None) -> KeyTable:
        """Note the revision of a read table; return it, empty if there is none."""
        self.revision = 0
        if item is None:
            return EMPTY_TABLE
        self.revision = item.revision
        parsed = KeyTable.from_bytes(item.value)
        if parsed.is_ok():
            return parsed.ok
        self._ctx.log(
            LogName.KEY_TABLE_INVALID,
            service=self._service,
            revision=self.revision,
            reason=parsed.error,
        )
        return EMPTY_TABLE

    # Writes

    def restore_table(self, table: KeyTable) -> None:
        """Write the known table in place of the outdated one, whatever that is."""
        self.write_pending = True
        self._raise_fence(table.fence)

        def on_read(result: StoreResult) -> None:
            if result.is_error():
                self._retry_later(lambda: self.restore_table(table))
                return
            self._read_found_table(result)
            restored = attrs.evolve(table, fence=self.fence)
            self.write_table(
                restored, lambda written: self._on_restore_written(written, restored)
            )

        self._calls.call_store(Get(self._table_key), on_read)

    def _on_restore_written(self, written: bool, table: KeyTable) -> None:
        if not written:
            self._retry_later(lambda: self.restore_table(table))
            return
        self._ctx.log(
            LogName.KEY_TABLE_RESTORED,
            service=self._service,
            revision=self.revision,
            fence=self.fence,
        )

    def write_table(self, table: KeyTable, on_written: OnWritten) -> None:
        """Write a table; `on_written` receives whether it is in the store.

        If it is not, no attempt at the write will be executed any more.
        """
        self._put(self._stamp_table(table), on_written)

    def _stamp_table(self, table: KeyTable) -> KeyTable:
        return attrs.evolve(table, duty_fence=self._duty_fence)

    def _put(self, table: KeyTable, on_written: OnWritten) -> None:
        self.write_pending = True
        callbacks = PutCallbacks(
            lambda result: self._on_put_result(result, table, on_written),
            self._log_failed_attempt,
        )
        req = PutRequest(self._table_key, table.to_bytes(), self.revision)
        ConditionalPut(self._calls, req, callbacks).start()

    def _log_failed_attempt(self, error: StoreError) -> None:
        self._ctx.log(
            LogName.KEY_TABLE_WRITE_FAILED,
            service=self._service,
            kind=error.kind.value,
            message=error.message,
            revision=self.revision,
        )

    def _on_put_result(
        self, result: PutResult, table: KeyTable, on_written: OnWritten
    ) -> None:
        match result:
            case PutResult(PutOutcome.WRITTEN, Item(revision=revision)):
                self.write_pending = False
                self.revision = revision
                self._raise_fence(table.fence)
                on_written(True)
            case PutResult(PutOutcome.SUPERSEDED, item):
                self._on_superseded(item, table, on_written)
            case _:
                self.write_pending = False
                on_written(False)

    def _on_superseded(
        self, item: Item | None, table: KeyTable, on_written: OnWritten
    ) -> None:
        era = get_era(self._duty_fence)
        stored = self._read_item(item)
        if stored.is_older_than_era(era) and not table.is_older_than_era(era):
            # A late write from before a restore has replaced the complete table.
            self._put(table, on_written)
        else:
            on_written(False)
            self.take_over_table()

    def _raise_fence(self, fence: int) -> None:
        floor = compute_token_floor(get_era(self._duty_fence))
        self.fence = max(self.fence, fence, floor)
