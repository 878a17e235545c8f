"""The very first assignment of a service's keys, by the speed of its servers.

Nobody knows how fast servers are before they have answered. Each server is first
granted a single position: its answers report its speed while the granter waits for
further servers. Then all positions are assigned in proportion, which spares moves.
"""

from collections.abc import Sequence

from .const import KEY_POSITIONS, STRIPE_COUNT, STRIPE_POSITIONS
from .models import FormerOwner, FormerOwnerRow, Segment, SegmentRow, SegmentState
from .planner import Move
from .server_loads import Capacity


def choose_probe_position(number: int) -> int:
    """Return the position that the server with this number gets first, from 0 on."""
    stripe, offset = number % STRIPE_COUNT, number // STRIPE_COUNT
    return (stripe * STRIPE_POSITIONS + offset) % KEY_POSITIONS


def plan_shares(capacities: Sequence[Capacity]) -> list[Move]:
    """Return all positions in ranges for the servers, in proportion to capacity.

    A server with more positions than a stripe has gets several ranges, between which
    lie those of others, so that busy keys, which lie close together, are spread.
    """
    total_per_s = sum(c.requests_per_s for c in capacities)
    if total_per_s <= 0.0:
        return []
    rounds: list[list[tuple[str, float]]] = []
    for capacity in capacities:
        share = capacity.requests_per_s / total_per_s
        count = max(1, round(share * STRIPE_COUNT))
        rounds.extend([] for _ in range(count - len(rounds)))
        for number in range(count):
            rounds[number].append((capacity.name, share / count))
    moves: list[Move] = []
    first, end_share = 0, 0.0
    for name, share in (part for parts in rounds for part in parts):
        end_share += share
        after = min(round(end_share * KEY_POSITIONS), KEY_POSITIONS)
        if after > first:
            moves.append(Move(first, after - 1, name))
            first = after
    if first < KEY_POSITIONS:  # by rounding
        last_move = moves.pop()
        moves.append(Move(last_move.first, KEY_POSITIONS - 1, last_move.target))
    return moves


def replace_rows(
    rows: Sequence[SegmentRow], moves: Sequence[Move], now_s: float
) -> list[SegmentRow]:
    """Return vacant rows with the targets of moves, in place of all rows.

    The new rows list who may hold their keys by the former ones.
    """
    replaced: list[SegmentRow] = []
    for move in moves:
        holders: dict[FormerOwner, FormerOwnerRow] = {}
        for row in rows:
            if row.segment.last < move.first or row.segment.first > move.last:
                continue
            for process, former in row.collect_holders(now_s).items():
                known = holders.setdefault(process, FormerOwnerRow(process, 0.0))
                known.held_until_s = max(known.held_until_s, former.held_until_s)
        fence = max(
            row.segment.fence
            for row in rows
            if row.segment.first <= move.last and move.first <= row.segment.last
        )
        segment = Segment(move.first, move.last, fence=fence, formers=tuple(holders))
        replaced.append(
            SegmentRow(segment, target=move.target, formers=list(holders.values()))
        )
    for row in rows:
        row.state = SegmentState.REPLACED
    return replaced
