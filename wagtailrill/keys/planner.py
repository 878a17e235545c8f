"""Plans which backend server holds which keys."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate

import attrs

from .const import KEY_POSITIONS, STRIPES

# Part of the requests for keys that are not busy which counts as spread evenly.
EVEN_PART = 0.3
BUSY_PER_S = 4.0
# Without measured requests the servers are taken to be used this much.
ASSUMED_USE = 0.3
# A move has to lower the requests in progress, in units of a request's usual time, by
# more than this, and by more than the requests for the keys that wait meanwhile.
GAIN_MIN = 0.4
MOVE_COST_PER_REQUEST = 0.2
# Keys that change hands have a price of their own.
MOVE_COST_ALL_KEYS = 35.0
# Only the busiest keys of a server are considered.
HOLDINGS_TRIED = 4
TARGETS_TRIED = 8
SOURCES_TRIED = 4
# Parts of a server's load that are tried as moves, and how exactly a run has them.
RUN_PARTS = (0.15, 0.4)
RUN_LEAST = 0.6
RUN_MOST = 1.4
STRIPE_POSITIONS = KEY_POSITIONS // STRIPES


@attrs.frozen
class Holding:
    """Positions that a server holds; only movable ones may be given away."""

    first: int
    last: int
    owner: str
    movable: bool = True


@attrs.frozen
class Capacity:
    """What a server can do: requests per second when all slots are used.

    `slowness` is how long it takes for one request, 1.0 as usual.
    """

    name: str
    requests_per_s: float
    slowness: float = 1.0

    def cost(self, load: float) -> float:
        """Return the requests in progress, in units of a request's usual time."""
        return load * self.time(load)

    def time(self, load: float) -> float:
        """Return how long a request takes, with the wait for a slot.

        The shape is that of a queue with several servers: short waits up to a use of
        0.8, and long ones near 1.
        """
        use = load / max(self.requests_per_s, 1e-3)
        if use >= 1.0:
            return self.slowness * (11.0 + 20.0 * (use - 1.0))
        return self.slowness * (1.0 + use**6 / (3.0 * (1.0 - use) + 0.1))


@attrs.frozen
class Move:
    """Positions to be given to another server."""

    first: int
    last: int
    target: str


class LoadMap:
    """Requests per second by position.

    A part of the requests for keys that are not busy counts as spread evenly, since
    few requests tell little of a key. Without any requests `assumed` requests per
    second are spread evenly.
    """

    def __init__(self, rates: Mapping[int, float], assumed: float = 0.0) -> None:
        self.known = bool(rates) or assumed > 0.0
        self._positions = sorted(rates)
        self._rates = {
            p: rate if rate >= BUSY_PER_S else rate * (1.0 - EVEN_PART)
            for p, rate in rates.items()
        }
        known = [self._rates[p] for p in self._positions]
        self._sums = [0.0, *accumulate(known)]
        even = sum(rates.values()) - self._sums[-1] if rates else assumed
        self._even = even / KEY_POSITIONS

    def load(self, first: int, last: int) -> float:
        """Return the requests per second of some positions."""
        start = bisect_left(self._positions, first)
        end = bisect_right(self._positions, last)
        return self._sums[end] - self._sums[start] + (last - first + 1) * self._even

    def between(self, first: int, last: int) -> Sequence[int]:
        """Return the measured positions of a range, in order."""
        start = bisect_left(self._positions, first)
        return self._positions[start : bisect_right(self._positions, last)]

    def rate(self, position: int) -> float:
        """Return the measured requests per second of a position."""
        return self._rates[position]

    def densest(self, first: int, last: int, wanted: float) -> tuple[int, int] | None:
        """Return the narrowest run of measured positions with about the load wanted."""
        positions = self.between(first, last)
        best: tuple[int, int] | None = None
        start, load = 0, 0.0
        for position in positions:
            load += self._rates[position]
            while load > wanted * RUN_MOST and positions[start] <= position:
                load -= self._rates[positions[start]]
                start += 1
            if load < wanted * RUN_LEAST:
                continue
            run = (positions[start], position)
            if best is None or run[1] - run[0] < best[1] - best[0]:
                best = run
        return best

    def hottest(self, first: int, last: int) -> int | None:
        """Return the position with the most requests."""
        positions = self.between(first, last)
        return max(positions, key=self.rate) if positions else None


@attrs.define
class Loads:
    """Loads by server while moves are planned."""

    capacities: dict[str, Capacity]
    loads: dict[str, float]

    @classmethod
    def of(
        cls,
        holdings: Iterable[Holding],
        capacities: Sequence[Capacity],
        load: LoadMap,
    ) -> "Loads":
        """Return the loads of what the servers hold."""
        loads = cls({c.name: c for c in capacities}, {c.name: 0.0 for c in capacities})
        for holding in holdings:
            if holding.owner in loads.loads:
                loads.loads[holding.owner] += load.load(holding.first, holding.last)
        return loads

    def added_cost(self, name: str, more: float) -> float:
        """Return the requests in progress that more load would add at a server."""
        capacity, load = self.capacities[name], self.loads[name]
        return capacity.cost(load + more) - capacity.cost(load)

    def cheapest(self, more: float, names: Iterable[str]) -> str:
        """Return the server where more load adds least."""
        return min(names, key=lambda name: (self.added_cost(name, more), name))

    def slowest(self, names: Iterable[str]) -> list[str]:
        """Return the servers with most requests in progress for their load."""

        def time(name: str) -> float:
            return self.capacities[name].time(self.loads[name])

        return sorted(names, key=lambda name: (-time(name), name))[:SOURCES_TRIED]

    def least_used(self, but: str) -> list[str]:
        """Return the servers with most room, but one."""
        names = [name for name in self.capacities if name != but]
        names.sort(key=lambda name: (self.added_cost(name, 1.0), name))
        return names[:TARGETS_TRIED]

    def move(self, amount: float, target: str, source: str = "") -> None:
        """Count load at another server."""
        self.loads[target] += amount
        if source:
            self.loads[source] -= amount


def divide(
    vacant: Sequence[tuple[int, int]],
    holdings: Iterable[Holding],
    capacities: Sequence[Capacity],
    load: LoadMap,
) -> list[Move]:
    """Return who gets positions that nobody holds, stripe by stripe."""
    if not capacities:
        return []
    if not load.known:
        load = LoadMap({}, ASSUMED_USE * sum(c.requests_per_s for c in capacities))
    loads = Loads.of(holdings, capacities, load)
    moves: list[Move] = []
    for start, last in vacant:
        for first in range(start, last + 1, STRIPE_POSITIONS):
            end = min(last, first + STRIPE_POSITIONS - 1)
            amount = load.load(first, end)
            target = loads.cheapest(amount, loads.capacities)
            moves.append(Move(first, end, target))
            loads.move(amount, target)
    return moves


def rebalance(
    holdings: Sequence[Holding],
    capacities: Sequence[Capacity],
    load: LoadMap,
    moves_max: int,
) -> list[Move]:
    """Return moves that lower the number of waiting requests, the best ones first."""
    if len(capacities) < 2:
        return []
    loads = Loads.of(holdings, capacities, load)
    moves = _first_shares(holdings, loads, load)[:moves_max]
    rest = [h for h in holdings if h.movable and h.owner in loads.loads]
    for move in moves:
        rest = _without(rest, move)
    if not load.known:
        return moves
    while len(moves) < moves_max:
        best = _best_move(rest, loads, load)
        if best is None:
            break
        source, move = best
        moves.append(move)
        loads.move(load.load(move.first, move.last), move.target, source)
        rest = _without(rest, move)
    return moves


def _best_move(
    holdings: Sequence[Holding], loads: Loads, load: LoadMap
) -> tuple[str, Move] | None:
    """Return the source and the move that relieves most, None if none is worth it."""
    best: tuple[str, Move] | None = None
    best_gain = GAIN_MIN
    for source in loads.slowest({h.owner for h in holdings}):
        targets = loads.least_used(but=source)
        for first, last in _runs(source, holdings, loads, load):
            moved = load.load(first, last)
            target = loads.cheapest(moved, targets)
            gain = -loads.added_cost(source, -moved) - loads.added_cost(target, moved)
            gain -= moved * MOVE_COST_PER_REQUEST
            gain -= MOVE_COST_ALL_KEYS * (last - first + 1) / KEY_POSITIONS
            if gain > best_gain:
                best, best_gain = (source, Move(first, last, target)), gain
    return best


def _runs(
    source: str, holdings: Sequence[Holding], loads: Loads, load: LoadMap
) -> Iterable[tuple[int, int]]:
    """Yield runs of a server's keys that could be moved."""
    held = loads.loads[source]
    own = [h for h in holdings if h.owner == source]
    own.sort(key=lambda h: load.load(h.first, h.last), reverse=True)
    for holding in own[:HOLDINGS_TRIED]:
        yield holding.first, holding.last
        if load.load(holding.first, holding.last) < BUSY_PER_S:
            continue  # each range has a grant of its own, so only busy ones are cut
        hottest = load.hottest(holding.first, holding.last)
        if hottest is not None and load.rate(hottest) >= BUSY_PER_S:
            yield hottest, hottest
        for part in RUN_PARTS:
            wanted = max(held * part, BUSY_PER_S)
            run = load.densest(holding.first, holding.last, wanted)
            if run is not None:
                yield run


def _without(holdings: Sequence[Holding], move: Move) -> list[Holding]:
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


def _first_shares(
    holdings: Sequence[Holding], loads: Loads, load: LoadMap
) -> list[Move]:
    """Return moves that give servers without keys their first ones.

    Owners that have several holdings give one up, the most loaded owner first.
    """
    counts = Counter(holding.owner for holding in holdings)
    moves: list[Move] = []
    given: set[int] = set()
    for name in loads.capacities:
        if counts[name]:
            continue
        movable = [
            h
            for h in holdings
            if h.movable and counts[h.owner] > 1 and h.first not in given
        ]
        if not movable:
            break
        owner = max(movable, key=lambda h: loads.loads.get(h.owner, 0.0)).owner
        source = min(
            (h for h in movable if h.owner == owner),
            key=lambda h: load.load(h.first, h.last),
        )
        last = min(source.last, source.first + STRIPE_POSITIONS - 1)
        moves.append(Move(source.first, last, name))
        given.add(source.first)
        counts[source.owner] -= 1
        counts[name] += 1
        amount = load.load(source.first, last)
        if source.owner in loads.loads:
            loads.move(amount, name, source.owner)
        else:
            loads.move(amount, name)
    return moves
