"""Assigns the keys of one service to backend servers while this instance has the duty.

Created by `KeyOwnership` for each duty that the instance takes.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..core.request_models import LoadReport
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from ..store.revision import get_era
from .assignment import AssignerParts, SegmentAssigner
from .grants import SENT_GRANT_HELD_MAX_S, GrantManager, GrantParts
from .models import (
    FormerOwner,
    FormerOwnerRow,
    KeyTable,
    Segment,
    SegmentRow,
    SegmentState,
    compute_token_floor,
)
from .server_loads import Capacity
from .table_store import TableStore
from .usage import UsageTable

# A release waits for the requests that run on the keys.
TYPICAL_MOVE_DURATION_S = 0.3


@attrs.frozen
class GranterParts:
    """Dependencies of `Granter`.

    `estimate_capacity` returns what a server can run, `holds_duty` whether the duty is
    still held, and `get_last_answer_s` the monotonic time at which a server last
    answered a request and reported its load. `get_duty_fence` returns the fencing token
    of the duty, which rises when the duty is confirmed after a restore of the store.
    """

    ctx: Context
    servers: ServerTable
    service: str
    table_key: str
    estimate_capacity: Callable[[ServerRow], Capacity]
    holds_duty: Callable[[], bool]
    on_segments_changed: Callable[[], None]
    on_load_report: Callable[[str, LoadReport], None]
    get_last_answer_s: Callable[[str], float]
    get_duty_fence: Callable[[], int]


class Granter:
    """Plans the owners of segments, stores the table and grants the keys.

    A change is written before any server is called, so that a successor knows every
    process that may hold keys. Nothing is done before the first write, which makes the
    writes of a predecessor fail. `moved_positions` counts those that changed owners.

    A granter that finds a table from before a restore of the store does not know who
    was granted keys since. It grants none until all grants of predecessors have ended.
    """

    def __init__(
        self,
        parts: GranterParts,
        usage: UsageTable,
        duty_fence: int,
        predecessor_may_act_s: float,
    ) -> None:
        self.table_loaded = False
        self.moved_positions = 0
        self._parts = parts
        self._ctx = parts.ctx
        self._usage = usage
        self._predecessor_may_act_until_s = parts.ctx.now_s + predecessor_may_act_s
        self._stopped = False
        self._is_table_outdated = False
        self._grants_barred_until_s = float("-inf")
        self._grants = GrantManager(
            GrantParts(
                parts.ctx,
                parts.servers,
                parts.service,
                lambda: not self._stopped and parts.holds_duty(),
                parts.on_segments_changed,
                self._on_load_report,
                parts.get_last_answer_s,
                self._renew_oldest_grant,
            )
        )
        self._assigner = SegmentAssigner(
            AssignerParts(
                parts.ctx,
                parts.servers,
                parts.service,
                usage,
                parts.estimate_capacity,
                self._grants.is_owner_silent,
            )
        )
        self._table_store = TableStore(
            parts.ctx, parts.service, parts.table_key, duty_fence, self._on_taken_over
        )
        self._table_store.take_over_table()

    @property
    def rows(self) -> list[SegmentRow]:
        """Segments of the service."""
        return self._assigner.rows

    def stop(self) -> None:
        """Make no further calls or writes."""
        self._stopped = True
        self._table_store.stop()

    def on_predecessor_stopped(self) -> None:
        """Assume that old grants end sooner, as the predecessor grants no more keys."""
        now_s = self._ctx.now_s
        self._predecessor_may_act_until_s = min(
            self._predecessor_may_act_until_s, now_s
        )
        latest_s = now_s + SENT_GRANT_HELD_MAX_S
        self._grants_barred_until_s = min(self._grants_barred_until_s, latest_s)
        for row in self.rows:
            row.held_until_s = min(row.held_until_s, latest_s)
            for former in row.formers:
                former.held_until_s = min(former.held_until_s, latest_s)

    def on_predecessor_found(self, predecessor_may_act_s: float) -> None:
        """Wait again for the grants of a predecessor, unless the bar has ended."""
        until_s = self._ctx.now_s + predecessor_may_act_s
        self._predecessor_may_act_until_s = until_s
        latest_s = until_s + SENT_GRANT_HELD_MAX_S
        if self._ctx.now_s < self._grants_barred_until_s:
            self._grants_barred_until_s = latest_s
        for row in self.rows:
            row.held_until_s = max(row.held_until_s, latest_s)
            for former in row.formers:
                former.held_until_s = max(former.held_until_s, latest_s)

    def tick(self) -> None:
        """Process all segments, and write the table if some get new owners."""
        if self._stopped or not self._parts.holds_duty():
            return
        duty_fence = self._parts.get_duty_fence()
        if duty_fence != self._table_store.duty_fence:
            self._on_duty_confirmed(duty_fence)
        if not self.table_loaded or self._ctx.now_s < self._grants_barred_until_s:
            return
        # Calls per server are limited, so the oldest grants are renewed first.
        for row in sorted(self.rows, key=lambda row: row.grant_sent_s):
            self._grants.process_segment(row)
        if not self._table_store.is_writable():
            return
        changed = self._assigner.choose_rows()
        if changed:
            self._write_targets(changed)

    def _on_load_report(self, owner: str, report: LoadReport) -> None:
        self._assigner.record_load(owner, report)
        self._parts.on_load_report(owner, report)

    def _renew_oldest_grant(self, owner: str) -> None:
        """Process the segment of a server whose grant was sent longest ago."""
        rows = [row for row in self.rows if row.segment.owner == owner]
        if rows:
            self._grants.process_segment(min(rows, key=lambda row: row.grant_sent_s))

    def estimate_unowned_s(self, position: int) -> float:
        """Return about how many seconds pass until an owner serves a position."""
        barred_s = self._grants_barred_until_s - self._ctx.now_s
        if barred_s > 0.0:
            return barred_s + TYPICAL_MOVE_DURATION_S
        for row in self.rows:
            if row.segment.first <= position <= row.segment.last:
                return self._estimate_row_unowned_s(row)
        return TYPICAL_MOVE_DURATION_S

    def _estimate_row_unowned_s(self, row: SegmentRow) -> float:
        if row.state is SegmentState.SERVING:
            return self._estimate_unmoved_s(row)
        waits_s = [
            former.held_until_s - self._ctx.now_s
            for former in row.formers
            if not former.keys_freed and self._must_wait_for_expiry(former)
        ]
        return max(waits_s, default=0.0) + TYPICAL_MOVE_DURATION_S

    def _estimate_unmoved_s(self, row: SegmentRow) -> float:
        """Return how long the owner's keys still wait for a move that is overdue.

        What has kept them until now, such as the store, is assumed to last as long.
        """
        refused_for_s = self._parts.servers.get_refused_for_s(row.segment.owner)
        return refused_for_s + TYPICAL_MOVE_DURATION_S if refused_for_s else 0.0

    def _must_wait_for_expiry(self, former: FormerOwnerRow) -> bool:
        return (
            former.release_failed
            or former.process.owner not in self._parts.servers.rows
        )

    def explain_position(self, position: int) -> dict[str, str | int]:
        """Return the state of the segment of a position, empty if none is loaded."""
        for row in self.rows:
            segment = row.segment
            if segment.first <= position <= segment.last:
                since_move_s = round(self._ctx.now_s - row.moved_s, 3)
                return {
                    "state": row.state.value,
                    "owner": segment.owner,
                    "fence": segment.fence,
                    "first": segment.first,
                    "last": segment.last,
                    "since_s": str(since_move_s)
                    if row.moved_s > 0
                    else "before the takeover",
                }
        return {}

    # Store

    def _on_duty_confirmed(self, duty_fence: int) -> None:
        """Write the known owners again after a restore of the store.

        A write that the restore has overtaken is given up: no server has been granted
        keys by it, and it cannot be mistaken for a table of the present era.
        """
        self._table_store.change_duty_fence(duty_fence)
        if not self.table_loaded or self._is_table_outdated:
            self._table_store.take_over_table()
            return
        for row in self.rows:
            row.target = ""
        self._table_store.restore_table(self._build_table({}, self._table_store.fence))

    def _on_taken_over(self, table: KeyTable, is_outdated: bool) -> None:
        self._assigner.is_first_assignment = table.fence == 0
        held_until_s = (
            max(self._predecessor_may_act_until_s, self._ctx.now_s)
            + SENT_GRANT_HELD_MAX_S
        )
        for row in self.rows:
            row.state = SegmentState.REPLACED
        self._is_table_outdated = is_outdated
        if is_outdated:
            self._grants_barred_until_s = held_until_s
            self._assigner.rows = [
                SegmentRow.from_outdated_segment(s) for s in table.segments
            ]
        else:
            self._assigner.rows = [
                SegmentRow.from_segment(s, held_until_s) for s in table.segments
            ]
        self.table_loaded = True
        self._parts.on_segments_changed()

    def _build_table(self, segments: dict[int, Segment], fence: int) -> KeyTable:
        """Return the table with new segments, by the identity of their rows."""
        return KeyTable(
            tuple(
                segments.get(id(row)) or row.build_unmoved_segment()
                for row in self.rows
            ),
            fence,
        )

    def _write_targets(self, rows: list[SegmentRow]) -> None:
        """Write the table with the targets of some rows as owners."""
        fence = self._table_store.fence
        segments: dict[int, Segment] = {}
        for row in rows:
            server = self._parts.servers.rows[row.target]
            new_owner = FormerOwner(server.name, server.entry.start_id)
            fence += 1
            segments[id(row)] = attrs.evolve(
                row.segment,
                owner=server.name,
                start_id=server.entry.start_id,
                fence=fence,
                formers=row.list_formers_of(new_owner, self._ctx.now_s),
            )
        self._table_store.write_table(
            self._build_table(segments, fence),
            lambda written: self._on_targets_written(written, rows, segments),
        )

    def _on_targets_written(
        self, written: bool, rows: list[SegmentRow], segments: dict[int, Segment]
    ) -> None:
        if not written:
            for row in rows:
                row.target = ""
            return
        self._is_table_outdated = False
        for row in rows:
            self._begin_move(row, segments[id(row)])
        self._parts.on_segments_changed()

    def _begin_move(self, row: SegmentRow, segment: Segment) -> None:
        holders = row.collect_holders(self._ctx.now_s)
        former_segment, row.segment = row.segment, segment
        if former_segment.owner not in ("", segment.owner):
            self.moved_positions += segment.last - segment.first + 1
        own_grant = holders.pop(segment.process, None)
        self._ctx.invariants.check(
            holders.keys() <= set(segment.formers),
            "holders_of_moved_keys_are_listed",
            f"fence {segment.fence}",
        )
        self._check_token(segment.fence, former_segment.fence)
        row.formers = list(holders.values())
        former_state, row.state = row.state, SegmentState.RELEASING
        row.target, row.handover, row.grant_failures = "", "", 0
        row.grant_refused = row.call_pending = False
        row.held_until_s = own_grant.held_until_s if own_grant else float("-inf")
        row.moved_s = self._ctx.now_s
        server = self._parts.servers.rows.get(segment.owner)
        capacity = (
            self._parts.estimate_capacity(server)
            if server is not None  # its entry may have ended during the write
            else Capacity(segment.owner, 0.0)
        )
        self._ctx.log(
            LogName.KEYS_MOVED,
            service=self._parts.service,
            first=segment.first,
            last=segment.last,
            former_owner=former_segment.owner,
            former_fence=former_segment.fence,
            former_state=former_state.value,
            formers=",".join(f.describe(self._ctx.now_s) for f in row.formers),
            owner=segment.owner,
            fence=segment.fence,
            revision=self._table_store.revision,
            requests_per_s=round(self._usage.sum_rates(segment.first, segment.last), 2),
            owner_requests_per_s=round(self._sum_owner_rates(segment.owner), 2),
            owner_capacity_per_s=round(capacity.requests_per_s, 2),
            owner_slowness=round(capacity.slowness, 2),
        )
        self._grants.process_segment(row)

    def _check_token(self, fence: int, former_fence: int) -> None:
        detail = f"fence {fence} after {former_fence}"
        floor = compute_token_floor(get_era(self._table_store.duty_fence))
        check = self._ctx.invariants.check
        check(fence > former_fence, "tokens_of_moved_keys_rise", detail)
        check(fence > floor, "tokens_exceed_those_of_earlier_eras", detail)
        check(
            self._ctx.now_s >= self._grants_barred_until_s,
            "no_grant_by_an_outdated_table",
            detail,
        )

    def _sum_owner_rates(self, owner: str) -> float:
        return sum(
            self._usage.sum_rates(row.segment.first, row.segment.last)
            for row in self.rows
            if row.segment.owner == owner
        )
