"""Writes the record and the status of a service under a condition.

The decider of the service uses it.
"""

from collections.abc import Callable

from ..core.context import Context
from ..core.log_events import LogName
from ..fleet.members import Members
from ..store.models import Commit, Committed, Expected, Put, StoreResult
from ..store.revision import get_era
from .const import STORE_RETRY_S
from .models import Phase, RolloutDialect, RolloutRecord

RECORD_PREFIX = "rollouts/"


class RecordWriter:
    """Writes one record at a time, if nobody else has written since it was read.

    `stored_serial` is that of the record in the store as far as known, 0 without one.
    """

    def __init__(
        self, ctx: Context, members: Members, dialect: RolloutDialect, service: str
    ) -> None:
        self.is_pending = False
        self._ctx = ctx
        self._members = members
        self._dialect = dialect
        self._service = service
        self._retry_at_s = float("-inf")
        self._committed_revision = 0
        self._committed_serial = 0
        self._read_revision = 0
        self._read_serial = 0

    @property
    def stored_serial(self) -> int:
        """Return the serial of the stored record."""
        if self._committed_revision > self._follow_mirror():
            return self._committed_serial
        return self._read_serial

    def write(
        self, record: RolloutRecord, on_written: Callable[[RolloutRecord], None]
    ) -> None:
        """Write a record unless a write is pending or has just failed."""
        if self.is_pending or self._ctx.now_s < self._retry_at_s:
            return
        revision = max(self._follow_mirror(), self._committed_revision)
        key = self._members.build_key(RECORD_PREFIX + self._service)
        puts = [Put(key, record.to_bytes())]
        if record.phase is not Phase.SETTLED:
            status = self._dialect.encode_status(record.phase, record.target)
            puts.append(Put(self._dialect.get_status_key(self._service), status))
        self.is_pending = True

        def on_result(result: StoreResult) -> None:
            self.is_pending = False
            committed = result.ok if result.is_ok() else None
            if isinstance(committed, Committed):
                self._committed_revision = committed.revision
                self._committed_serial = record.serial
                on_written(record)
                return
            # The mirror shows whether a write without an answer has taken effect.
            self._retry_at_s = self._ctx.now_s + STORE_RETRY_S
            self._ctx.log(
                LogName.ROLLOUT_WRITE_FAILED,
                service=self._service,
                phase=record.phase.value,
                kind=result.error.kind.value,
            )

        self._ctx.call_store(Commit((Expected(key, revision),), tuple(puts)), on_result)

    def _follow_mirror(self) -> int:
        """Return the revision of the mirrored record; forget commits that are lost."""
        if get_era(self._committed_revision) < self._ctx.store_era.current:
            self._committed_revision = 0  # a restore of the store may have lost it
        item = self._members.get_item(RECORD_PREFIX + self._service)
        revision = item.revision if item is not None else 0
        if revision != self._read_revision:
            self._read_revision, self._read_serial = revision, 0
            parsed = RolloutRecord.from_bytes(item.value) if item is not None else None
            if parsed is not None and parsed.is_ok():
                self._read_serial = parsed.ok.serial
        return revision
