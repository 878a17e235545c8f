"""Plans which backend server holds which keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .const import KEY_POSITIONS, STRIPES

# Part of a service's requests that is taken to be spread evenly over its keys.
EVEN_PART = 0.2
# A move has to lower the longer of both servers' times by this part.
GAIN_MIN = 0.15
# Without measured requests the servers are taken to be used this much.
ASSUMED_USE = 0.5
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
    """Requests per second by position, with a part spread evenly.

    Without any requests `assumed` requests per second are spread evenly.
    """

    def __init__(self, rates: Mapping[int, float], assumed: float = 1.0) -> None:
        total = sum(rates.values())
        self.measured = total > 0.0
        self._positions = sorted(rates)
        self._rates = {p: rate * (1.0 - EVEN_PART) for p, rate in rates.items()}
        self._even = (EVEN_PART * total if self.measured else assumed) / KEY_POSITIONS

    def load(self, first: int, last: int) -> float:
        """Return the requests per second of some positions."""
        measured = sum(self._rates[p] for p in self.between(first, last))
        return measured + (last - first + 1) * self._even

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

    def time(self, name: str, more: float = 0.0) -> float:
        """Return how long a request takes at a server that got more load."""
        return self.capacities[name].time(self.loads[name] + more)

    def fastest(self, more: float, but: str = "") -> str:
        """Return the server where requests take least after it got more load."""
        names = [name for name in self.capacities if name != but]
        return min(names, key=lambda name: (self.time(name, more), name))

    def slowest(self, names: Iterable[str]) -> str:
        """Return the server of some where requests take longest."""
        return max(names, key=lambda name: (self.time(name), name))

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
    if not load.measured:
        load = LoadMap({}, ASSUMED_USE * sum(c.requests_per_s for c in capacities))
    loads = Loads.of(holdings, capacities, load)
    moves: list[Move] = []
    for start, last in vacant:
        for first in range(start, last + 1, STRIPE_POSITIONS):
            end = min(last, first + STRIPE_POSITIONS - 1)
            amount = load.load(first, end)
            target = loads.fastest(amount)
            moves.append(Move(first, end, target))
            loads.move(amount, target)
    return moves


def rebalance(
    holdings: Sequence[Holding],
    capacities: Sequence[Capacity],
    load: LoadMap,
    moves_max: int,
) -> list[Move]:
    """Return moves from servers that are much used to those that are little used."""
    if len(capacities) < 2:
        return []
    moves = _first_shares(holdings, capacities)
    if moves or not load.measured:
        return moves[:moves_max]
    loads = Loads.of(holdings, capacities, load)
    rest = [h for h in holdings if h.movable and h.owner in loads.loads]
    sources = {h.owner for h in rest}
    while sources and len(moves) < moves_max:
        source = loads.slowest(sources)
        move = _best_move(source, rest, loads, load)
        if move is None:
            sources.discard(source)
            continue
        moves.append(move)
        loads.move(load.load(move.first, move.last), move.target, source)
        rest = _without(rest, move)
    return moves


def _best_move(
    source: str, holdings: Sequence[Holding], loads: Loads, load: LoadMap
) -> Move | None:
    """Return the move that relieves a server most, None if none is worth it."""
    best: Move | None = None
    best_time = loads.time(source) * (1.0 - GAIN_MIN)
    for first, last in _runs(source, holdings, loads, load):
        moved = load.load(first, last)
        target = loads.fastest(moved, but=source)
        time = loads.time(target, moved)
        if last - first + 1 < _positions(source, holdings):
            time = max(time, loads.time(source, -moved))
        if time < best_time:
            best, best_time = Move(first, last, target), time
    return best


def _positions(owner: str, holdings: Sequence[Holding]) -> int:
    return sum(h.last - h.first + 1 for h in holdings if h.owner == owner)


def _runs(
    source: str, holdings: Sequence[Holding], loads: Loads, load: LoadMap
) -> Iterable[tuple[int, int]]:
    """Yield runs of a server's keys that could be moved."""
    held = loads.loads[source]
    for holding in holdings:
        if holding.owner != source:
            continue
        yield holding.first, holding.last
        hottest = load.hottest(holding.first, holding.last)
        if hottest is not None:
            yield hottest, hottest
        for part in RUN_PARTS:
            run = load.densest(holding.first, holding.last, held * part)
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
    holdings: Sequence[Holding], capacities: Sequence[Capacity]
) -> list[Move]:
    """Return moves that give servers without keys their first ones."""
    owners = {holding.owner for holding in holdings}
    movable = [h for h in holdings if h.movable]
    moves: list[Move] = []
    for capacity in capacities:
        if capacity.name in owners or not movable:
            continue
        widest = max(movable, key=lambda h: h.last - h.first)
        last = min(widest.last, widest.first + STRIPE_POSITIONS - 1)
        moves.append(Move(widest.first, last, capacity.name))
        movable.remove(widest)
    return moves
