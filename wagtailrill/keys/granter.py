"""Assigns the keys of one service while this instance has the duty."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..core.orders import LoadReport
from ..servers.models import ServerRow
from ..servers.table import ServerTable
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
from .const import (
    GRANT_RETRY_S,
    PLAN_INTERVAL_S,
    SETTLE_MAX_S,
    SETTLE_S,
)
from .grants import HELD_S, GrantParts, Grants
from .models import EMPTY_TABLE, KeyTable, Segment, SegmentRow, SegmentState
from .planner import Capacity, Holding, LoadMap, Move, divide, rebalance
from .usage import UsageTable

MOVES_MAX = 4
# Keys that have just moved stay for this long.
MOVE_PAUSE_S = 2.0

# In these a segment's owner gives its keys up.
LEAVING_STATES = frozenset(
    {SegmentState.VACANT, SegmentState.RELEASING, SegmentState.EXPIRING}
)


@attrs.frozen
class GranterParts:
    """What a granter needs; `may_act` tells whether the duty is still held.

    `capacity_of` returns what a server can run.
    """

    ctx: Context
    servers: ServerTable
    service: str
    key: str
    capacity_of: Callable[[ServerRow], Capacity]
    may_act: Callable[[], bool]
    on_change: Callable[[], None]
    on_load: Callable[[str, LoadReport], None]


class Granter:
    """Keeps the table of segments in the store and carries it out at the servers.

    A change is written before the new owner is asked, so that a successor knows every
    owner that may hold keys.
    """

    def __init__(
        self, parts: GranterParts, usage: UsageTable, duty_fence: int, wait_s: float
    ) -> None:
        self.rows: list[SegmentRow] = []
        self.loaded = False
        self._parts = parts
        self._ctx = parts.ctx
        self._usage = usage
        self._duty_fence = duty_fence
        self._predecessor_until_s = parts.ctx.now_s + wait_s
        self._fence = 0
        self._revision = 0
        self._writing = False
        self._stopped = False
        self._planned_s = self._began_s = parts.ctx.now_s
        self._moved_s: dict[int, float] = {}
        self._grants = Grants(
            GrantParts(
                parts.ctx,
                parts.servers,
                parts.service,
                lambda: not self._stopped and parts.may_act(),
                parts.on_change,
                parts.on_load,
            )
        )
        self._load()

    def stop(self) -> None:
        """Call and write nothing more."""
        self._stopped = True

    def tick(self) -> None:
        """Run the systems over all segments."""
        if self._stopped or not self.loaded or not self._parts.may_act():
            return
        self._check_owners()
        # Those that wait longest go first, since a server is asked little by little.
        for row in sorted(self.rows, key=lambda row: row.sent_s):
            self._grants.run(row)
        if self._settled():
            self._assign_vacant()
        if self._ctx.now_s - self._planned_s >= PLAN_INTERVAL_S:
            self._planned_s = self._ctx.now_s
            self._rebalance()

    def _settled(self) -> bool:
        """Return whether the first assignment need not wait for more servers."""
        if self._revision:
            return True
        now_s = self._ctx.now_s
        rows = self._parts.servers.by_service.get(self._parts.service, ())
        newest_s = max((row.joined_s for row in rows), default=now_s)
        waited_s = now_s - self._began_s
        return now_s - newest_s >= SETTLE_S or waited_s >= SETTLE_MAX_S

    # Store

    def _load(self) -> None:
        self._ctx.call_store(Get(self._parts.key), self._on_loaded)

    def _on_loaded(self, result: StoreResult) -> None:
        if self._stopped:
            return
        if result.is_error():
            self._ctx.timers.call_later(GRANT_RETRY_S, self._load)
            return
        found = result.ok
        assert isinstance(found, Found)
        table = EMPTY_TABLE
        if found.item is not None:
            self._revision = found.item.revision
            read = KeyTable.from_bytes(found.item.value)
            if read.is_ok():
                table = read.ok
        self._fence = table.fence
        self._ctx.log(
            LogName.KEY_TABLE_READ,
            service=self._parts.service,
            revision=self._revision,
            segments=len(table.segments),
            fence=table.fence,
        )
        self.rows = [self._row_of(segment) for segment in table.segments]
        self.loaded = True
        self._parts.on_change()

    def _row_of(self, segment: Segment) -> SegmentRow:
        if not segment.owner:
            return SegmentRow(segment)
        # A predecessor may have extended the grant until it stopped.
        until_s = max(self._predecessor_until_s, self._ctx.now_s) + HELD_S
        return SegmentRow(segment, SegmentState.SERVING, held_until_s=until_s)

    def _write(self, rows: list[SegmentRow]) -> None:
        """Write the table with new owners for some rows."""
        fence = self._fence
        segments: dict[int, Segment] = {}
        for row in rows:
            server = self._parts.servers.rows[row.target]
            fence += 1
            segments[id(row)] = attrs.evolve(
                row.segment,
                owner=server.name,
                start_id=server.entry.start_id,
                fence=fence,
            )
        table = KeyTable(
            tuple(segments.get(id(row), _kept(row)) for row in self.rows),
            fence,
            self._duty_fence,
        )
        commit = Commit(
            (Expected(self._parts.key, self._revision),),
            (Put(self._parts.key, table.to_bytes()),),
        )
        self._writing = True
        self._ctx.call_store(
            commit, lambda result: self._written(result, table, rows, segments)
        )

    def _written(
        self,
        result: StoreResult,
        table: KeyTable,
        rows: list[SegmentRow],
        segments: dict[int, Segment],
    ) -> None:
        if self._stopped:
            return
        if result.is_error():
            error = result.error
            self._ctx.log(
                LogName.KEY_TABLE_WRITE_FAILED,
                service=self._parts.service,
                kind=error.kind.value,
                message=error.message,
            )
            if error.kind is StoreErrorKind.REFUSED:
                self._writing = False
            else:
                # The write may have taken effect; the table is read again.
                self._read_back(table, rows, segments)
            return
        committed = result.ok
        assert isinstance(committed, Committed)
        self._apply(committed.revision, table, rows, segments)

    def _read_back(
        self,
        table: KeyTable,
        rows: list[SegmentRow],
        segments: dict[int, Segment],
    ) -> None:
        def on_read(result: StoreResult) -> None:
            if self._stopped:
                return
            if result.is_error():
                self._ctx.timers.call_later(
                    GRANT_RETRY_S, lambda: self._read_back(table, rows, segments)
                )
                return
            found = result.ok
            assert isinstance(found, Found)
            revision = found.item.revision if found.item is not None else 0
            content = found.item.value if found.item is not None else b""
            if content == table.to_bytes():
                self._apply(revision, table, rows, segments)
            elif revision == self._revision:
                # Carried out later, it would fail its condition once this is written.
                self._fence = table.fence
                self._writing = False
            else:
                self.loaded = False
                self._writing = False
                self._load()

        self._ctx.call_store(Get(self._parts.key), on_read)

    def _apply(
        self,
        revision: int,
        table: KeyTable,
        rows: list[SegmentRow],
        segments: dict[int, Segment],
    ) -> None:
        self._writing = False
        self._revision, self._fence = revision, table.fence
        for row in rows:
            former, row.segment = row.segment, segments[id(row)]
            row.state = SegmentState.GRANTING
            row.sent_s = float("-inf")
            row.failures = 0
            row.moved_s = self._ctx.now_s
            self._ctx.log(
                LogName.KEYS_MOVED,
                service=self._parts.service,
                first=row.segment.first,
                last=row.segment.last,
                former_owner=former.owner,
                owner=row.segment.owner,
                fence=row.segment.fence,
                revision=revision,
            )
            self._grants.run(row)

    # Owners

    def _check_owners(self) -> None:
        for row in self.rows:
            if row.state in (SegmentState.VACANT, SegmentState.RELEASING):
                continue
            server = self._parts.servers.rows.get(row.segment.owner)
            if server is not None and server.entry.start_id != row.segment.start_id:
                # The process that was granted the keys has ended.
                self._grants.vacate(row)
            elif row.state is SegmentState.EXPIRING:
                continue
            elif server is None or not self._parts.servers.accepts_work(server):
                self._take_back(row)

    def _take_back(self, row: SegmentRow) -> None:
        if row.state is SegmentState.GRANTING and row.calling:
            return
        row.target = ""
        self._grants.release(row)
        self._parts.on_change()

    def _assign_vacant(self) -> None:
        vacant = [row for row in self.rows if row.state is SegmentState.VACANT]
        if not vacant or self._writing:
            return
        chosen: list[SegmentRow] = []
        unplanned: list[SegmentRow] = []
        for row in vacant:
            server = self._parts.servers.rows.get(row.target)
            if server is not None and self._may_own(server):
                chosen.append(row)
            else:
                unplanned.append(row)
        if unplanned:
            chosen.extend(self._divide(unplanned))
        if chosen:
            self._write(chosen)

    def _divide(self, vacant: list[SegmentRow]) -> list[SegmentRow]:
        moves = divide(
            [(row.segment.first, row.segment.last) for row in vacant],
            self._holdings(),
            self._capacities(),
            self._load_map(),
        )
        return [piece for move in moves for piece in self._cut_out(move)]

    def _rebalance(self) -> None:
        if self._writing:
            return
        moves = rebalance(
            self._holdings(), self._capacities(), self._load_map(), MOVES_MAX
        )
        for move in moves:
            for row in self._cut_out(move):
                self._grants.release(row)
        if moves:
            self._parts.on_change()

    def _cut_out(self, move: Move) -> list[SegmentRow]:
        """Return the rows that make up a move, cut off from the rest of theirs."""
        rows: list[SegmentRow] = []
        found: list[SegmentRow] = []
        for row in self.rows:
            first, last = row.segment.first, row.segment.last
            if last < move.first or first > move.last:
                rows.append(row)
                continue
            if first < move.first:
                rows.append(row.piece(first, move.first - 1))
            inner = row.piece(max(first, move.first), min(last, move.last))
            inner.target = move.target
            rows.append(inner)
            found.append(inner)
            if last > move.last:
                rows.append(row.piece(move.last + 1, last))
        self.rows = rows
        return found

    def _holdings(self) -> list[Holding]:
        """Return who holds, or is about to hold, which positions."""
        return [
            Holding(
                row.segment.first,
                row.segment.last,
                row.target if row.state in LEAVING_STATES else row.segment.owner,
                self._movable(row),
            )
            for row in self.rows
        ]

    def _movable(self, row: SegmentRow) -> bool:
        return (
            row.state is SegmentState.SERVING
            and not row.calling
            and self._ctx.now_s - row.moved_s >= MOVE_PAUSE_S
        )

    def _capacities(self) -> list[Capacity]:
        return [
            self._parts.capacity_of(row)
            for row in self._parts.servers.by_service.get(self._parts.service, ())
            if self._may_own(row)
        ]

    def _may_own(self, server: ServerRow) -> bool:
        servers = self._parts.servers
        if not servers.accepts_work(server):
            return False
        return not servers.is_cold(server) or all(
            servers.is_cold(row)
            for row in servers.by_service.get(self._parts.service, ())
        )

    def _load_map(self) -> LoadMap:
        return LoadMap(self._usage.rates())


def _kept(row: SegmentRow) -> Segment:
    """Return what the table says of a row that does not change.

    A vacant row keeps its former owner, which no longer holds it.
    """
    return row.segment
