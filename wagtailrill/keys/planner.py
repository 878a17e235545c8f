"""Plans which backend server holds which keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .const import KEY_POSITIONS

# Part of a service's requests that is taken to be spread evenly over its keys.
EVEN_PART = 0.2
# A server above this use of its slots gives keys to one that is less used.
BUSY_USE = 0.5
# A move has to lower the use of the busier of both servers by this much.
GAIN_MIN = 0.12
# A run of keys may have this part of the load that should move.
RUN_LEAST = 0.4
RUN_MOST = 1.3
# A new server gets this part of its fair share of positions at first.
FIRST_SHARE = 0.6


@attrs.frozen
class Holding:
    """Positions that a server holds; only movable ones may be given away."""

    first: int
    last: int
    owner: str
    movable: bool = True


@attrs.frozen
class Capacity:
    """What a server can do: requests per second when all slots are used."""

    name: str
    requests_per_s: float


@attrs.frozen
class Move:
    """Positions to be given to another server."""

    first: int
    last: int
    target: str


class LoadMap:
    """Requests per second by position, with a part spread evenly.

    Without any requests each position counts the same.
    """

    def __init__(self, rates: Mapping[int, float]) -> None:
        total = sum(rates.values())
        self.measured = total > 0.0
        self._positions = sorted(rates)
        self._rates = {p: rate * (1.0 - EVEN_PART) for p, rate in rates.items()}
        self._even = (EVEN_PART * total if self.measured else 1.0) / KEY_POSITIONS

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

    def cut(self, first: int, last: int, wanted: float) -> int:
        """Return the last position such that the load from `first` is as wanted."""
        seen, position = 0.0, first
        for hot in self.between(first, last):
            gap = (hot - position) * self._even
            if seen + gap >= wanted:
                break
            seen += gap + self._rates[hot] + self._even
            position = hot + 1
            if seen >= wanted:
                return min(hot, last)
        rest = int((wanted - seen) / self._even)
        return max(first, min(last, position + rest - 1))

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
class Uses:
    """Loads by server while moves are planned."""

    capacities: dict[str, float]
    loads: dict[str, float]

    @classmethod
    def of(
        cls,
        holdings: Iterable[Holding],
        capacities: Sequence[Capacity],
        load: LoadMap,
    ) -> "Uses":
        """Return the loads of what the servers hold."""
        uses = cls(
            {c.name: max(c.requests_per_s, 1e-3) for c in capacities},
            {c.name: 0.0 for c in capacities},
        )
        for holding in holdings:
            if holding.owner in uses.loads:
                uses.loads[holding.owner] += load.load(holding.first, holding.last)
        return uses

    def use(self, name: str, more: float = 0.0) -> float:
        """Return the part of a server's capacity that is used."""
        return (self.loads[name] + more) / self.capacities[name]

    def least(self, more: float = 0.0, but: str = "") -> str:
        """Return the server that is used least after it got more load."""
        names = [name for name in self.capacities if name != but]
        return min(names, key=lambda name: (self.use(name, more), name))

    def most(self, names: Iterable[str]) -> str:
        """Return the server of some that is used most."""
        return max(names, key=lambda name: (self.use(name), name))


def divide(
    vacant: Sequence[tuple[int, int]],
    holdings: Iterable[Holding],
    capacities: Sequence[Capacity],
    load: LoadMap,
) -> list[Move]:
    """Return who gets positions that nobody holds.

    Each server is filled up to the use that all have when everything is divided; the
    positions that it gets lie side by side.
    """
    if not capacities:
        return []
    uses = Uses.of(holdings, capacities, load)
    wanted = sum(uses.loads.values()) + sum(load.load(f, last) for f, last in vacant)
    wanted_use = wanted / sum(uses.capacities.values())
    moves: list[Move] = []
    for start, last in vacant:
        first = start
        while first <= last:
            target = uses.least()
            room = wanted_use * uses.capacities[target] - uses.loads[target]
            end = load.cut(first, last, max(room, 0.0))
            moves.append(Move(first, end, target))
            uses.loads[target] += load.load(first, end)
            first = end + 1
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
    uses = Uses.of(holdings, capacities, load)
    rest = [h for h in holdings if h.movable and h.owner in uses.loads]
    sources = {h.owner for h in rest}
    while sources and len(moves) < moves_max:
        source = uses.most(sources)
        if uses.use(source) < BUSY_USE:
            break
        move = _best_move(source, rest, uses, load)
        if move is None:
            sources.discard(source)
            continue
        moves.append(move)
        moved = load.load(move.first, move.last)
        uses.loads[source] -= moved
        uses.loads[move.target] += moved
        rest = _without(rest, move)
    return moves


def _best_move(
    source: str, holdings: Sequence[Holding], uses: Uses, load: LoadMap
) -> Move | None:
    """Return the move that relieves a server most, None if none is worth it."""
    best: Move | None = None
    best_use = uses.use(source) - GAIN_MIN
    for first, last in _runs(source, holdings, uses, load):
        moved = load.load(first, last)
        target = uses.least(moved, but=source)
        use = max(uses.use(source, -moved), uses.use(target, moved))
        if use < best_use:
            best, best_use = Move(first, last, target), use
    return best


def _runs(
    source: str, holdings: Sequence[Holding], uses: Uses, load: LoadMap
) -> Iterable[tuple[int, int]]:
    """Yield runs of a server's keys that could be moved."""
    target = uses.least(but=source)
    # After a move of this load both servers are used alike.
    per_load = 1.0 / uses.capacities[source] + 1.0 / uses.capacities[target]
    wanted = (uses.use(source) - uses.use(target)) / per_load
    for holding in holdings:
        if holding.owner != source:
            continue
        run = load.densest(holding.first, holding.last, wanted)
        if run is not None:
            yield run
        hottest = load.hottest(holding.first, holding.last)
        if hottest is not None:
            yield hottest, hottest
        if holding.last > holding.first:
            end = load.cut(holding.first, holding.last, wanted)
            yield holding.first, min(end, holding.last)


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
    """Return moves that give servers without keys a first share."""
    owners = {holding.owner for holding in holdings}
    total = sum(c.requests_per_s for c in capacities)
    movable = [h for h in holdings if h.movable]
    moves: list[Move] = []
    for capacity in capacities:
        if capacity.name in owners or not movable:
            continue
        widest = max(movable, key=lambda h: h.last - h.first)
        share = int(KEY_POSITIONS * capacity.requests_per_s / total * FIRST_SHARE)
        half = (widest.last - widest.first + 1) // 2
        width = max(1, min(share, half))
        moves.append(Move(widest.first, widest.first + width - 1, capacity.name))
        movable.remove(widest)
    return moves
