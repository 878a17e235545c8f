"""Assigns the keys of one service while this instance has the duty."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..core.orders import LoadReport
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import PLAN_INTERVAL_S, SETTLE_MAX_S, SETTLE_S
from .grants import HELD_S, GrantParts, Grants
from .models import (
    Former,
    FormerRow,
    KeyTable,
    Segment,
    SegmentRow,
    SegmentState,
)
from .planner import ASSUMED_USE, Capacity, Holding, LoadMap, Move, divide, rebalance
from .table_store import TableStore
from .usage import UsageTable

MOVES_MAX = 12
# Keys that have just moved stay for this long.
MOVE_PAUSE_S = 2.0
# A release waits for the work that runs on the keys.
USUAL_MOVE_S = 0.3


@attrs.frozen
class GranterParts:
    """What a granter needs; `may_act` tells whether the duty is still held.

    `capacity_of` returns what a server can run, `heard_s` when it last answered.
    """

    ctx: Context
    servers: ServerTable
    service: str
    key: str
    capacity_of: Callable[[ServerRow], Capacity]
    may_act: Callable[[], bool]
    on_change: Callable[[], None]
    on_load: Callable[[str, LoadReport], None]
    heard_s: Callable[[str], float]


class Granter:
    """Keeps the table of segments in the store and carries it out at the servers.

    A change is written before any server is asked, so that a successor knows every
    process that may hold keys. Nothing is done before a first write, which bars the
    writes of a predecessor.
    """

    def __init__(
        self, parts: GranterParts, usage: UsageTable, duty_fence: int, wait_s: float
    ) -> None:
        self.rows: list[SegmentRow] = []
        self.loaded = False
        self._parts = parts
        self._ctx = parts.ctx
        self._usage = usage
        self._predecessor_until_s = parts.ctx.now_s + wait_s
        self._planned_s = self._began_s = parts.ctx.now_s
        self._stopped = False
        self._first = False
        self._grants = Grants(
            GrantParts(
                parts.ctx,
                parts.servers,
                parts.service,
                lambda: not self._stopped and parts.may_act(),
                parts.on_change,
                parts.on_load,
                parts.heard_s,
                self._grant_next,
            )
        )
        self._store = TableStore(
            parts.ctx, parts.service, parts.key, duty_fence, self._taken_over
        )
        self._store.take_over()

    def stop(self) -> None:
        """Call and write nothing more."""
        self._stopped = True
        self._store.stop()

    def predecessor_stopped(self) -> None:
        """Learn that the predecessor does not act any more."""
        now_s = self._ctx.now_s
        self._predecessor_until_s = min(self._predecessor_until_s, now_s)
        latest_s = now_s + HELD_S
        for row in self.rows:
            row.held_until_s = min(row.held_until_s, latest_s)
            for former in row.formers:
                former.held_until_s = min(former.held_until_s, latest_s)

    def tick(self) -> None:
        """Run the systems over all segments."""
        if self._stopped or not self.loaded or not self._parts.may_act():
            return
        # Those that wait longest go first, since a server is asked little by little.
        for row in sorted(self.rows, key=lambda row: row.sent_s):
            self._grants.run(row)
        if self._store.writing:
            return
        changed = self._leave_lost_owners()
        if self._settled():
            changed += self._assign_vacant()
        if self._ctx.now_s - self._planned_s >= PLAN_INTERVAL_S:
            self._planned_s = self._ctx.now_s
            changed += self._rebalance()
        if changed:
            self._write(changed)

    def _grant_next(self, owner: str) -> None:
        """Extend the grant of a server that waits longest."""
        rows = [row for row in self.rows if row.segment.owner == owner]
        if rows:
            self._grants.run(min(rows, key=lambda row: row.sent_s))

    def served_in_s(self, position: int) -> float:
        """Return about how long a key is without an owner that can be asked."""
        for row in self.rows:
            if row.segment.first <= position <= row.segment.last:
                return self._vacant_s(row)
        return USUAL_MOVE_S

    def _vacant_s(self, row: SegmentRow) -> float:
        if row.state is SegmentState.SERVING:
            return 0.0
        waits_s = [
            former.held_until_s - self._ctx.now_s
            for former in row.formers
            if not former.done and self._cannot_release(former)
        ]
        return max(waits_s, default=0.0) + USUAL_MOVE_S

    def _cannot_release(self, former: FormerRow) -> bool:
        return former.failed or former.former.owner not in self._parts.servers.rows

    def explain(self, position: int) -> dict[str, str | int]:
        """Return what the granter knows of a key."""
        for row in self.rows:
            segment = row.segment
            if segment.first <= position <= segment.last:
                held_s = round(self._ctx.now_s - row.moved_s, 3)
                return {
                    "state": row.state.value,
                    "owner": segment.owner,
                    "fence": segment.fence,
                    "first": segment.first,
                    "last": segment.last,
                    "since_s": str(held_s)
                    if row.moved_s > 0
                    else "before the takeover",
                }
        return {}

    # Store

    def _taken_over(self, table: KeyTable) -> None:
        self._first = table.fence == 0
        until_s = max(self._predecessor_until_s, self._ctx.now_s) + HELD_S
        self.rows = [_row_of(segment, until_s) for segment in table.segments]
        self.loaded = True
        self._parts.on_change()

    def _write(self, rows: list[SegmentRow]) -> None:
        """Write the table with the targets of some rows as owners."""
        fence = self._store.fence
        segments: dict[int, Segment] = {}
        for row in rows:
            server = self._parts.servers.rows[row.target]
            fence += 1
            segments[id(row)] = attrs.evolve(
                row.segment,
                owner=server.name,
                start_id=server.entry.start_id,
                fence=fence,
                formers=_formers_of(row, server, self._ctx.now_s),
            )
        table = KeyTable(
            tuple(segments.get(id(row)) or _kept(row) for row in self.rows), fence
        )
        self._store.write(table, lambda written: self._apply(written, rows, segments))

    def _apply(
        self, written: bool, rows: list[SegmentRow], segments: dict[int, Segment]
    ) -> None:
        if not written:
            for row in rows:
                row.target = ""
            return
        for row in rows:
            self._begin_move(row, segments[id(row)])
        self._parts.on_change()

    def _begin_move(self, row: SegmentRow, segment: Segment) -> None:
        former, row.segment = row.segment, segment
        known = {f.former: f for f in row.formers if not f.done}
        row.formers = [
            known.get(name) or FormerRow(name, row.held_until_s)
            for name in segment.formers
        ]
        row.state = SegmentState.RELEASING
        row.target, row.handover, row.failures = "", "", 0
        row.lost = row.calling = False
        row.held_until_s = float("-inf")
        row.moved_s = self._ctx.now_s
        capacity = self._parts.capacity_of(self._parts.servers.rows[segment.owner])
        self._ctx.log(
            LogName.KEYS_MOVED,
            service=self._parts.service,
            first=segment.first,
            last=segment.last,
            former_owner=former.owner,
            owner=segment.owner,
            fence=segment.fence,
            revision=self._store.revision,
            requests_per_s=round(self._usage.rate(segment.first, segment.last), 2),
            owner_requests_per_s=round(self._owned_rate(segment.owner), 2),
            owner_capacity_per_s=round(capacity.requests_per_s, 2),
            owner_slowness=round(capacity.slowness, 2),
        )
        self._grants.run(row)

    def _owned_rate(self, server: str) -> float:
        return sum(
            self._usage.rate(row.segment.first, row.segment.last)
            for row in self.rows
            if row.segment.owner == server
        )

    # Systems that choose rows for the next write

    def _leave_lost_owners(self) -> list[SegmentRow]:
        lost = [row for row in self.rows if row.segment.owner and self._lost(row)]
        return self._divide(lost)

    def _lost(self, row: SegmentRow) -> bool:
        servers = self._parts.servers
        server = servers.rows.get(row.segment.owner)
        return (
            row.lost
            or self._grants.owner_silent(row.segment.owner)
            or server is None
            or server.entry.start_id != row.segment.start_id
            or not servers.accepts_work(server)
        )

    def _assign_vacant(self) -> list[SegmentRow]:
        vacant = [row for row in self.rows if row.state is SegmentState.VACANT]
        return self._divide(vacant)

    def _divide(self, rows: list[SegmentRow]) -> list[SegmentRow]:
        if not rows:
            return []
        lost = {id(row) for row in rows}
        moves = divide(
            [(row.segment.first, row.segment.last) for row in rows],
            [self._holding(row) for row in self.rows if id(row) not in lost],
            self._capacities(),
            self._load_map(),
        )
        return [piece for move in moves for piece in self._cut_out(move)]

    def _rebalance(self) -> list[SegmentRow]:
        moves = rebalance(
            [self._holding(row) for row in self.rows],
            self._capacities(),
            self._load_map(),
            MOVES_MAX,
        )
        return [piece for move in moves for piece in self._cut_out(move)]

    def _cut_out(self, move: Move) -> list[SegmentRow]:
        """Return the rows that make up a move, cut off from the rest of theirs."""
        rows: list[SegmentRow] = []
        found: list[SegmentRow] = []
        for row in self.rows:
            first, last = row.segment.first, row.segment.last
            if last < move.first or first > move.last:
                rows.append(row)
                continue
            inner = row
            if first < move.first or last > move.last:
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

    def _settled(self) -> bool:
        """Return whether the first assignment need not wait for more servers."""
        if not self._first:
            return True
        now_s = self._ctx.now_s
        rows = self._parts.servers.by_service.get(self._parts.service, ())
        newest_s = max((row.joined_s for row in rows), default=now_s)
        waited_s = now_s - self._began_s
        return now_s - newest_s >= SETTLE_S or waited_s >= SETTLE_MAX_S

    def _holding(self, row: SegmentRow) -> Holding:
        movable = (
            row.state is SegmentState.SERVING
            and not row.calling
            and self._ctx.now_s - row.moved_s >= MOVE_PAUSE_S
        )
        segment = row.segment
        return Holding(segment.first, segment.last, segment.owner, movable)

    def _capacities(self) -> list[Capacity]:
        return [
            self._parts.capacity_of(row)
            for row in self._parts.servers.by_service.get(self._parts.service, ())
            if self._may_own(row)
        ]

    def _may_own(self, server: ServerRow) -> bool:
        servers = self._parts.servers
        if not servers.accepts_work(server) or self._grants.owner_silent(server.name):
            return False
        return not servers.is_cold(server) or all(
            servers.is_cold(row)
            for row in servers.by_service.get(self._parts.service, ())
        )

    def _load_map(self) -> LoadMap:
        rates = self._usage.rates()
        if rates or not self._first:
            return LoadMap(rates)
        # Before the first requests the servers' reports tell how fast they are.
        capacity = sum(c.requests_per_s for c in self._capacities())
        return LoadMap({}, ASSUMED_USE * capacity)


def _row_of(segment: Segment, until_s: float) -> SegmentRow:
    """Return the row of a stored segment, whose grants may last until a time."""
    if not segment.owner:
        return SegmentRow(segment)
    formers = [FormerRow(former, until_s) for former in segment.formers]
    state = SegmentState.RELEASING if formers else SegmentState.SERVING
    return SegmentRow(segment, state, held_until_s=until_s, formers=formers)


def _undone(row: SegmentRow) -> tuple[Former, ...]:
    return tuple(former.former for former in row.formers if not former.done)


def _kept(row: SegmentRow) -> Segment:
    """Return what is stored of a row that does not change owners."""
    return attrs.evolve(row.segment, formers=_undone(row))


def _formers_of(row: SegmentRow, server: ServerRow, now_s: float) -> tuple[Former, ...]:
    """Return who may still hold the keys of a row that goes to a server."""
    formers = _undone(row)
    segment = row.segment
    if segment.owner and row.held_until_s > now_s:
        formers += (Former(segment.owner, segment.start_id),)
    own = Former(server.name, server.entry.start_id)
    return tuple(former for former in formers if former != own)
