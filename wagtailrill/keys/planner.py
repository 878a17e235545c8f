"""Plans which backend server owns which key positions; used by the granter.

A plan reduces the estimated number of requests in progress at all servers.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence

import attrs

from .const import KEY_POSITIONS, STRIPE_POSITIONS
from .load_map import RUN_LOAD_MAX_RATIO, LoadMap
from .server_loads import Capacity, Holding, ServerLoads

# Assumed utilisation of the servers while no requests have been measured.
ASSUMED_UTILISATION_RATIO = 0.3
# A move must reduce the requests in progress by more than this plus the costs below,
# all in the unit of `Capacity.estimate_in_progress`.
MOVE_GAIN_MIN = 0.4
# Stands for the requests that wait while their keys move, per request/s moved and
# slowness of the source, where running requests have to end first.
MOVE_COST_PER_REQUEST = 0.2
# Cost of moving all keys; a move costs its share of the positions, and the calls to
# two servers. The move with the most gain for its cost is preferred, which is a narrow
# one where busy keys lie close together.
MOVE_COST_ALL_KEYS = 100.0
MOVE_COST = 0.2
# A part of a lost owner's keys that uses more of a mean server's capacity is divided,
# so that the servers with room share it.
PART_LOAD_RATIO = 0.25
# More positions than this leave an owner only after it has been overloaded for a while:
# narrow ranges may relieve it, and its load may have been moved to it just now.
WIDE_RUN_POSITIONS = 128
# Only the busiest holdings of a server are considered.
HOLDINGS_TRIED_MAX = 4
# Each segment needs its own grant, so ranges are split only for more load than this.
RUN_LOAD_MIN_PER_S = 0.5
# A server without keys gets a stripe first: with less it would stay idle while the
# others are busy but not overloaded, and a version under test would get no requests.
FIRST_SHARE_POSITIONS = STRIPE_POSITIONS


@attrs.frozen
class Move:
    """Positions `first` to `last`, inclusive, that the server `target` is to own."""

    first: int
    last: int
    target: str


def plan_assignment(
    ranges: Sequence[tuple[int, int]],
    holdings: Iterable[Holding],
    capacities: Sequence[Capacity],
    load_map: LoadMap,
) -> list[Move]:
    """Return moves that assign ranges of positions to servers, stripe by stripe.

    `ranges` has pairs of first and last positions. Without servers nothing is assigned.
    """
    if not capacities:
        return []
    if not load_map.is_known:
        load_map = LoadMap(
            {}, ASSUMED_UTILISATION_RATIO * sum(c.requests_per_s for c in capacities)
        )
    loads = ServerLoads.from_holdings(holdings, capacities, load_map)
    mean_per_s = sum(c.requests_per_s for c in capacities) / len(capacities)
    moves: list[Move] = []
    for first, last in _split_ranges(ranges, load_map, PART_LOAD_RATIO * mean_per_s):
        added_per_s = load_map.sum_load(first, last)
        target = loads.find_cheapest(added_per_s, loads.capacities)
        moves.append(Move(first, last, target))
        loads.move_load(added_per_s, target)
    return moves


def _split_ranges(
    ranges: Iterable[tuple[int, int]], load_map: LoadMap, load_max_per_s: float
) -> list[tuple[int, int]]:
    """Return parts of ranges, none longer than a stripe.

    A part is halved while its load is too high for a single server to take it over.
    The part with the highest load comes first.
    """
    pending = [
        (first, min(last, first + STRIPE_POSITIONS - 1))
        for start, last in ranges
        for first in range(start, last + 1, STRIPE_POSITIONS)
    ]
    parts: list[tuple[int, int]] = []
    while pending:
        first, last = pending.pop()
        if first == last or load_map.sum_load(first, last) <= load_max_per_s:
            parts.append((first, last))
            continue
        middle = (first + last) // 2
        pending += [(first, middle), (middle + 1, last)]
    parts.sort(key=lambda part: (-load_map.sum_load(*part), part))
    return parts


def plan_rebalancing(
    holdings: Sequence[Holding],
    capacities: Sequence[Capacity],
    load_map: LoadMap,
    moves_max: int,
    briefly_overloaded: Collection[str] = (),
) -> list[Move]:
    """Return at most `moves_max` moves that reduce the requests in progress.

    Servers without keys get some first; then the owners with the longest request times
    give some up. The owners in `briefly_overloaded` give up narrow ranges only.
    """
    if len(capacities) < 2:
        return []
    loads = ServerLoads.from_holdings(holdings, capacities, load_map)
    moves = _plan_first_shares(holdings, loads, load_map)[:moves_max]
    rest = [h for h in holdings if h.movable and h.owner in loads.loads_per_s]
    for move in moves:
        rest = _remove_moved(rest, move)
    if not load_map.is_known:
        return moves
    while len(moves) < moves_max:
        best = _find_best_move(rest, loads, load_map, briefly_overloaded)
        if best is None:
            break
        source, move = best
        moves.append(move)
        loads.move_load(load_map.sum_load(move.first, move.last), move.target, source)
        rest = _remove_moved(rest, move)
    return moves


def find_overloaded(
    holdings: Iterable[Holding], capacities: Sequence[Capacity], load_map: LoadMap
) -> set[str]:
    """Return the owners that are overloaded by their holdings."""
    loads = ServerLoads.from_holdings(holdings, capacities, load_map)
    return {name for name in loads.capacities if loads.is_overloaded(name)}


def _find_best_move(
    holdings: Sequence[Holding],
    loads: ServerLoads,
    load_map: LoadMap,
    briefly_overloaded: Collection[str],
) -> tuple[str, Move] | None:
    """Return the best move of the worst source that has one, None without any."""
    for source in loads.list_sources({h.owner for h in holdings}):
        width_max = KEY_POSITIONS
        if source in briefly_overloaded:
            width_max = WIDE_RUN_POSITIONS
        move = _find_move_from(source, holdings, loads, load_map, width_max)
        if move is not None:
            return source, move
    return None


def _find_move_from(
    source: str,
    holdings: Sequence[Holding],
    loads: ServerLoads,
    load_map: LoadMap,
    width_max: int,
) -> Move | None:
    """Return the move that gains most for its cost, None if none gains enough."""
    targets = loads.list_targets(source)
    if not targets:
        return None
    best: Move | None = None
    best_worth = 0.0
    rooms = {name: loads.estimate_room(name, source) for name in targets}
    excess_per_s = loads.estimate_excess(source)
    wanted_per_s = min(excess_per_s, max(rooms.values()))
    wait_cost = MOVE_COST_PER_REQUEST * loads.capacities[source].slowness
    for first, last in _generate_runs(source, holdings, wanted_per_s, load_map):
        moved_per_s = load_map.sum_load(first, last)
        if last - first >= width_max:
            continue
        if first < last and moved_per_s > RUN_LOAD_MAX_RATIO * excess_per_s:
            continue
        able = [name for name in targets if rooms[name] >= moved_per_s]
        if not able:
            continue
        target = loads.find_cheapest(moved_per_s, able)
        gain = -loads.estimate_added_requests(
            source, -moved_per_s
        ) - loads.estimate_added_requests(target, moved_per_s)
        gain -= moved_per_s * wait_cost
        cost = MOVE_COST_ALL_KEYS * (last - first + 1) / KEY_POSITIONS
        worth = gain / (MOVE_COST + cost)
        if gain - cost > MOVE_GAIN_MIN and worth > best_worth:
            best, best_worth = Move(first, last, target), worth
    return best


def _generate_runs(
    source: str, holdings: Sequence[Holding], wanted_per_s: float, load_map: LoadMap
) -> Iterable[tuple[int, int]]:
    """Yield first and last positions of a server's keys that could be moved."""
    own = [h for h in holdings if h.owner == source]
    own.sort(key=lambda h: load_map.sum_load(h.first, h.last), reverse=True)
    wanted_per_s = max(wanted_per_s, RUN_LOAD_MIN_PER_S)
    for holding in own[:HOLDINGS_TRIED_MAX]:
        yield holding.first, holding.last
        if load_map.sum_load(holding.first, holding.last) < RUN_LOAD_MIN_PER_S:
            continue
        hottest = load_map.find_hottest(holding.first, holding.last)
        if hottest is not None and load_map.get_rate(hottest) >= RUN_LOAD_MIN_PER_S:
            yield hottest, hottest
        for ratio in (1.0 / RUN_LOAD_MAX_RATIO, 0.5 / RUN_LOAD_MAX_RATIO):
            run = load_map.find_densest_run(
                holding.first, holding.last, ratio * wanted_per_s
            )
            if run is not None:
                yield run


def _remove_moved(holdings: Sequence[Holding], move: Move) -> list[Holding]:
    """Return the holdings without the positions of a move."""
    rest: list[Holding] = []
    for holding in holdings:
        if holding.last < move.first or holding.first > move.last:
            rest.append(holding)
            continue
        if holding.first < move.first:
            rest.append(attrs.evolve(holding, last=move.first - 1))
        if holding.last > move.last:
            rest.append(attrs.evolve(holding, first=move.last + 1))
    return rest


def _plan_first_shares(
    holdings: Sequence[Holding], loads: ServerLoads, load_map: LoadMap
) -> list[Move]:
    """Return moves that give servers without keys their first ones.

    Only owners with several holdings give one up, the most loaded owner first. It gives
    up a part of its least loaded holding.
    """
    counts = Counter(holding.owner for holding in holdings)
    moves: list[Move] = []
    taken: set[int] = set()
    for name in loads.capacities:
        if counts[name]:
            continue
        movable = [
            h
            for h in holdings
            if h.movable and counts[h.owner] > 1 and h.first not in taken
        ]
        if not movable:
            break
        owner = max(movable, key=lambda h: loads.loads_per_s.get(h.owner, 0.0)).owner
        source = min(
            (h for h in movable if h.owner == owner),
            key=lambda h: load_map.sum_load(h.first, h.last),
        )
        last = min(source.last, source.first + FIRST_SHARE_POSITIONS - 1)
        moves.append(Move(source.first, last, name))
        taken.add(source.first)
        counts[source.owner] -= 1
        counts[name] += 1
        moved_per_s = load_map.sum_load(source.first, last)
        if source.owner in loads.loads_per_s:
            loads.move_load(moved_per_s, name, source.owner)
        else:
            loads.move_load(moved_per_s, name)
    return moves
