"""Compare-and-swap writes of the cell table, confirmed by read-back."""

from collections.abc import Callable

import attrs

from ..platform.models import Read, Stored, StoreErrorKind, StoreResult, Write, Written
from .models import MembershipSettings
from .store_calls import StoreCalls
from .table import CellTable

Change = Callable[[CellTable | None, int], CellTable | None]


@attrs.frozen
class WriteJob:
    """A change that is recomputed on the stored table until a write is confirmed.

    `change` returns None to give up. `on_done` gets the confirmed table and version,
    or None when the job was given up or `may_write` became false.
    """

    change: Change
    may_write: Callable[[], bool]
    on_done: Callable[[CellTable | None, int], None]


class TableWriter:
    """Runs one write of the cell table at a time.

    `unresolved` holds the tables that were sent and may be in the store, or come to
    be, without a confirmation: later writes make sure that they cannot any more.
    """

    def __init__(self, cfg: MembershipSettings, store: StoreCalls) -> None:
        self.cfg = cfg
        self.store = store
        self.job: WriteJob | None = None
        self.proposed: CellTable | None = None
        self.unresolved: list[CellTable] = []
        self._version = 0

    def start(self, job: WriteJob, base: CellTable | None, version: int) -> None:
        """Write a change of the table that has the given version; 0 means unread."""
        self.job = job
        if version == 0 or self.unresolved:
            self._read()
        else:
            self._propose(base, version)

    def _propose(self, base: CellTable | None, version: int) -> None:
        job = self.job
        self.proposed = None
        if version > self._version:
            self.unresolved.clear()
        table = job.change(base, version) if job is not None else None
        if table is None:
            self._finish(None, 0)
            return
        rng = self.store.ctx.rng
        self.proposed = attrs.evolve(table, write_id=f"{rng.getrandbits(64):016x}")
        self._version = version
        self._write()

    def _write(self) -> None:
        if self.proposed is None or self.job is None or not self.job.may_write():
            self._finish(None, 0)
            return
        if self.proposed not in self.unresolved:
            self.unresolved.append(self.proposed)
        document = self.proposed.to_bytes()
        write = Write(self.cfg.table_key, document, self._version)
        self.store.call(write, self._written)

    def _written(self, result: StoreResult) -> None:
        if result.is_ok() and isinstance(result.ok, Written):
            self._finish(self.proposed, result.ok.revision)
        elif result.error.kind in (
            StoreErrorKind.CONFLICT,
            StoreErrorKind.UNAVAILABLE,
        ):
            self._read()
        else:
            self._finish(None, 0)

    def _read(self) -> None:
        if self.job is None or not self.job.may_write():
            self._finish(None, 0)
            return
        self.store.call(Read(self.cfg.table_key), self._read_back)

    def _read_back(self, result: StoreResult) -> None:
        if result.is_error():
            self._read()
            return
        assert isinstance(result.ok, Stored)
        stored = result.ok
        try:
            table = CellTable.from_bytes(stored.value) if stored.revision else None
        except ValueError:
            self.store.ctx.log("cell_table_malformed", revision=stored.revision)
            self._finish(None, 0)
            return
        if self.confirms(table):
            self._finish(table, stored.revision)
        elif self.proposed is not None and stored.revision == self._version:
            # An earlier attempt may still take effect, so the same document is sent
            # again: whichever attempt comes first, the write happens once.
            self._write()
        else:
            self._propose(table, stored.revision)

    def confirms(self, stored: CellTable | None) -> bool:
        """Return whether the stored table is the one of the current write."""
        if stored is None or self.proposed is None:
            return False
        return stored.write_id == self.proposed.write_id

    def _finish(self, table: CellTable | None, version: int) -> None:
        if version > self._version:
            self.unresolved.clear()
        job, self.job, self.proposed = self.job, None, None
        if job is not None:
            job.on_done(table, version)
