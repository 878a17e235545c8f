"""Chooses the segments of one service that get new owners with the next write.

Used by the granter.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.request_models import LoadReport
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .capacities import CapacityTable
from .const import (
    FIRST_ASSIGNMENT_QUIET_S,
    FIRST_ASSIGNMENT_WAIT_MAX_S,
    PLAN_INTERVAL_S,
)
from .first_assignment import choose_probe_position, plan_shares, replace_rows
from .load_map import LoadMap
from .models import Segment, SegmentRow, SegmentState
from .planner import Move, find_overloaded, plan_assignment, plan_rebalancing
from .server_loads import Capacity, Holding
from .usage import UsageTable

# A set of hot keys is spread over tens of servers.
MOVES_PER_PLAN_MAX = 32
# Keys that have just moved are not moved again for this time.
MOVE_COOLDOWN_S = 0.7
# By then the rates of keys that have just become busy, or have ceased to be, are known.
LASTING_OVERLOAD_S = 1.5


@attrs.frozen
class AssignerParts:
    """Dependencies of `SegmentAssigner`.

    `estimate_capacity` returns what a server can run, and `is_owner_silent` whether
    grants to an owner fail and it has not answered for a while.
    """

    ctx: Context
    servers: ServerTable
    service: str
    usage: UsageTable
    estimate_capacity: Callable[[ServerRow], Capacity]
    is_owner_silent: Callable[[str], bool]


class SegmentAssigner:
    """Sets the targets of lost, vacant and unevenly loaded segments.

    It splits the rows of segments of which only a part moves. `is_first_assignment`
    says that the stored table had no owners yet.
    """

    def __init__(self, parts: AssignerParts) -> None:
        self.rows: list[SegmentRow] = []
        self.is_first_assignment = False
        self._parts = parts
        self._ctx = parts.ctx
        self._capacities = CapacityTable(parts.ctx)
        self._overloaded_since_s: dict[str, float] = {}
        self._last_plan_s = self._started_s = parts.ctx.now_s

    def record_load(self, owner: str, report: LoadReport) -> None:
        """Record the load report of an owner."""
        self._capacities.record_report(owner, report)

    def choose_rows(self) -> list[SegmentRow]:
        """Return the rows to write, with their targets."""
        chosen = self._reassign_lost_segments()
        if not self.is_first_assignment:
            chosen += self._assign_vacant_segments()
        elif self._is_ready_to_assign():
            return self._assign_first_shares()
        else:
            return chosen + self._probe_servers()
        if self._ctx.now_s - self._last_plan_s >= PLAN_INTERVAL_S:
            self._last_plan_s = self._ctx.now_s
            chosen += self._rebalance_segments()
        return chosen

    def _reassign_lost_segments(self) -> list[SegmentRow]:
        lost = [
            row
            for row in self.rows
            if row.state is not SegmentState.VACANT and self._is_owner_lost(row)
        ]
        return self._assign_rows(lost)

    def _is_owner_lost(self, row: SegmentRow) -> bool:
        servers = self._parts.servers
        server = servers.rows.get(row.segment.owner)
        return (
            row.grant_refused
            or self._parts.is_owner_silent(row.segment.owner)
            or server is None
            or server.entry.start_id != row.segment.start_id
            or not servers.may_hold_keys(server)
        )

    def _assign_vacant_segments(self) -> list[SegmentRow]:
        vacant = [row for row in self.rows if row.state is SegmentState.VACANT]
        # Owners by an outdated table keep their keys, under a new token, if they can.
        for row in vacant:
            if row.segment.owner and self._is_owner_lost(row):
                row.segment = Segment(row.segment.first, row.segment.last)
            row.target = row.segment.owner
        return [row for row in vacant if row.target] + self._assign_rows(
            [row for row in vacant if not row.target]
        )

    def _probe_servers(self) -> list[SegmentRow]:
        """Give each server without keys a single position, so that it reports."""
        probed = [row for row in self.rows if row.state is not SegmentState.VACANT]
        owners = {row.target or row.segment.owner for row in probed}
        names = [c.name for c in self._list_capacities() if c.name not in owners]
        chosen: list[SegmentRow] = []
        for number, name in enumerate(names, len(probed)):
            position = choose_probe_position(number)
            row = next(r for r in self.rows if r.segment.last >= position)
            if row.state is SegmentState.VACANT and not row.target:
                chosen += self._split_rows(Move(position, position, name))
        return chosen

    def _assign_first_shares(self) -> list[SegmentRow]:
        """Assign all positions; those that servers were probed with are included."""
        self._capacities.forget_others(set())  # estimates from before the first reports
        moves = plan_shares(self._list_capacities())
        if moves:
            self.is_first_assignment = False
            self.rows = replace_rows(self.rows, moves, self._ctx.now_s)
        return list(self.rows) if moves else []

    def _assign_rows(self, rows: list[SegmentRow]) -> list[SegmentRow]:
        """Set targets for the positions of some rows; return the rows to write."""
        if not rows:
            return []
        row_ids = {id(row) for row in rows}
        moves = plan_assignment(
            [(row.segment.first, row.segment.last) for row in rows],
            [self._build_holding(row) for row in self.rows if id(row) not in row_ids],
            self._list_capacities(),
            self._build_load_map(),
        )
        return [part for move in moves for part in self._split_rows(move)]

    def _rebalance_segments(self) -> list[SegmentRow]:
        holdings = [self._build_holding(row) for row in self.rows]
        capacities, load_map = self._list_capacities(), self._build_load_map()
        overloaded = find_overloaded(holdings, capacities, load_map)
        now_s = self._ctx.now_s
        self._overloaded_since_s = {
            name: self._overloaded_since_s.get(name, now_s) for name in overloaded
        }
        briefly_overloaded = {
            name
            for name, since_s in self._overloaded_since_s.items()
            if now_s - since_s < LASTING_OVERLOAD_S
        }
        moves = plan_rebalancing(
            holdings, capacities, load_map, MOVES_PER_PLAN_MAX, briefly_overloaded
        )
        return [part for move in moves for part in self._split_rows(move)]

    def _split_rows(self, move: Move) -> list[SegmentRow]:
        """Split the rows at the bounds of a move; return those inside, with targets."""
        self.rows = [
            part for row in self.rows for part in row.split(move.first, move.last)
        ]
        moved = [
            row
            for row in self.rows
            if move.first <= row.segment.first and row.segment.last <= move.last
        ]
        for row in moved:
            row.target = move.target
        return moved

    def _is_ready_to_assign(self) -> bool:
        """Return whether the first assignment need not wait for more servers."""
        now_s = self._ctx.now_s
        rows = self._parts.servers.rows_by_service.get(self._parts.service, ())
        last_joined_s = max((row.joined_s for row in rows), default=now_s)
        waited_s = now_s - self._started_s
        return (
            now_s - last_joined_s >= FIRST_ASSIGNMENT_QUIET_S
            or waited_s >= FIRST_ASSIGNMENT_WAIT_MAX_S
        )

    def _build_holding(self, row: SegmentRow) -> Holding:
        movable = (
            row.state is SegmentState.SERVING
            and not row.target
            and not row.call_pending
            and self._ctx.now_s - row.moved_s >= MOVE_COOLDOWN_S
        )
        segment = row.segment
        return Holding(segment.first, segment.last, segment.owner, movable)

    def _list_capacities(self) -> list[Capacity]:
        rows = self._parts.servers.rows_by_service.get(self._parts.service, ())
        self._capacities.forget_others({row.name for row in rows})
        return [
            self._capacities.estimate(row, self._parts.estimate_capacity(row))
            for row in rows
            if self._may_own_keys(row)
        ]

    def _may_own_keys(self, server: ServerRow) -> bool:
        """Return whether a server may be given keys; cold ones only if all are cold."""
        servers = self._parts.servers
        if not self._is_available(server):
            return False
        return not servers.is_cold(server) or all(
            servers.is_cold(row)
            for row in servers.rows_by_service.get(self._parts.service, ())
            if self._is_available(row)
        )

    def _is_available(self, server: ServerRow) -> bool:
        is_silent = self._parts.is_owner_silent(server.name)
        return self._parts.servers.may_hold_keys(server) and not is_silent

    def _build_load_map(self) -> LoadMap:
        return LoadMap(self._parts.usage.collect_rates())
