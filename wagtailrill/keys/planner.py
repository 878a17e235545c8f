"""Plans which backend server holds which keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .const import KEY_POSITIONS

# Part of a service's requests that is taken to be spread evenly over its keys.
EVEN_PART = 0.25
# A server above this use of its slots gives keys to one that is less used.
BUSY_USE = 0.55
# The difference of use that a move is worth.
USE_DIFFERENCE_MIN = 0.2
# A new server gets this part of its fair share of positions at first.
FIRST_SHARE = 0.6


@attrs.frozen
class Holding:
    """Positions that a server holds and could give away."""

    first: int
    last: int
    owner: str


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
    """Requests per second by position, with a part spread evenly."""

    def __init__(self, rates: Mapping[int, float]) -> None:
        self._positions = sorted(rates)
        self._rates = rates
        total = sum(rates.values())
        self._even = EVEN_PART * total / KEY_POSITIONS
        self._scale = 1.0 - EVEN_PART
        self.total = total

    def load(self, first: int, last: int) -> float:
        """Return the requests per second of some positions."""
        measured = sum(self._rates[p] for p in self._between(first, last))
        return measured * self._scale + (last - first + 1) * self._even

    def cut(self, first: int, last: int, wanted: float) -> int:
        """Return the last position such that the load from `first` is as wanted."""
        seen, position = 0.0, first
        for hot in self._between(first, last):
            gap = (hot - position) * self._even
            if seen + gap >= wanted:
                break
            seen += gap + self._rates[hot] * self._scale + self._even
            position = hot + 1
            if seen >= wanted:
                return min(hot, last)
        if self._even <= 0.0:
            share = (last - first + 1) * min(wanted / max(self.total, 1e-9), 1.0)
            return min(last, first + max(int(share) - 1, 0))
        rest = int((wanted - seen) / self._even)
        return max(first, min(last, position + rest - 1))

    def densest(self, first: int, last: int, wanted: float) -> tuple[int, int] | None:
        """Return the narrowest run of measured positions with the load wanted."""
        positions = self._between(first, last)
        best: tuple[int, int] | None = None
        start, load = 0, 0.0
        for position in positions:
            load += self._rates[position] * self._scale
            while load - self._rates[positions[start]] * self._scale >= wanted:
                load -= self._rates[positions[start]] * self._scale
                start += 1
            if load >= wanted:
                run = (positions[start], position)
                if best is None or run[1] - run[0] < best[1] - best[0]:
                    best = run
        return best

    def _between(self, first: int, last: int) -> Sequence[int]:
        start = bisect_left(self._positions, first)
        return self._positions[start : bisect_right(self._positions, last)]


@attrs.define
class Plan:
    """Loads by server while moves are planned."""

    capacities: dict[str, Capacity]
    loads: dict[str, float]

    def use(self, name: str) -> float:
        """Return the part of a server's capacity that is used."""
        return self.loads[name] / max(self.capacities[name].requests_per_s, 1e-9)

    def least_used(self) -> str:
        """Return the server with the most room."""
        return min(self.capacities, key=lambda name: (self.use(name), name))

    def most_used(self) -> str:
        """Return the server with the least room."""
        return max(self.capacities, key=lambda name: (self.use(name), name))


def _plan_of(
    holdings: Iterable[Holding], capacities: Sequence[Capacity], load: LoadMap
) -> Plan:
    plan = Plan({c.name: c for c in capacities}, {c.name: 0.0 for c in capacities})
    for holding in holdings:
        if holding.owner in plan.loads:
            plan.loads[holding.owner] += load.load(holding.first, holding.last)
    return plan


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
    flat = LoadMap({}) if load.total <= 0.0 else load
    plan = _plan_of(holdings, capacities, flat)
    loads = [(first, last, _load_or_width(flat, first, last)) for first, last in vacant]
    capacity = sum(c.requests_per_s for c in capacities)
    if load.total <= 0.0:
        plan.loads = {name: 0.0 for name in plan.loads}
        for holding in holdings:
            if holding.owner in plan.loads:
                plan.loads[holding.owner] += holding.last - holding.first + 1
    wanted_use = (sum(plan.loads.values()) + sum(w for _, _, w in loads)) / capacity
    moves: list[Move] = []
    for first, last, _ in loads:
        while first <= last:
            target = plan.least_used()
            room = wanted_use * plan.capacities[target].requests_per_s
            room = max(room - plan.loads[target], 0.0)
            end = _cut(flat, first, last, room)
            moves.append(Move(first, end, target))
            plan.loads[target] += _load_or_width(flat, first, end) + 1e-9
            first = end + 1
    return moves


def _load_or_width(load: LoadMap, first: int, last: int) -> float:
    return load.load(first, last) if load.total > 0.0 else float(last - first + 1)


def _cut(load: LoadMap, first: int, last: int, wanted: float) -> int:
    if load.total > 0.0:
        return load.cut(first, last, wanted)
    return max(first, min(last, first + round(wanted) - 1))


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
    if load.total <= 0.0 or moves:
        return moves[:moves_max]
    plan = _plan_of(holdings, capacities, load)
    free = {h.owner: [x for x in holdings if x.owner == h.owner] for h in holdings}
    while len(moves) < moves_max:
        source, target = plan.most_used(), plan.least_used()
        use, target_use = plan.use(source), plan.use(target)
        if use < BUSY_USE or use - target_use < USE_DIFFERENCE_MIN:
            break
        capacity = plan.capacities[source].requests_per_s
        target_capacity = plan.capacities[target].requests_per_s
        # After the move both are used alike.
        wanted = (use - target_use) / (1.0 / capacity + 1.0 / target_capacity)
        run = _best_run(free.get(source, ()), load, wanted * 0.7)
        if run is None:
            break
        moves.append(Move(run[0], run[1], target))
        moved = load.load(*run)
        plan.loads[source] -= moved
        plan.loads[target] += moved
        free[source] = _without(free[source], *run)
    return moves


def _best_run(
    holdings: Sequence[Holding], load: LoadMap, wanted: float
) -> tuple[int, int] | None:
    runs = []
    for holding in holdings:
        run = load.densest(holding.first, holding.last, wanted)
        if run is not None:
            runs.append(run)
    if runs:
        return min(runs, key=lambda run: run[1] - run[0])
    for holding in holdings:
        if holding.last > holding.first and load.load(holding.first, holding.last) > 0:
            end = load.cut(holding.first, holding.last, wanted)
            return holding.first, min(end, holding.last - 1)
    return None


def _without(holdings: Sequence[Holding], first: int, last: int) -> list[Holding]:
    rest: list[Holding] = []
    for holding in holdings:
        if holding.last < first or holding.first > last:
            rest.append(holding)
            continue
        if holding.first < first:
            rest.append(attrs.evolve(holding, last=first - 1))
        if holding.last > last:
            rest.append(attrs.evolve(holding, first=last + 1))
    return rest


def _first_shares(
    holdings: Sequence[Holding], capacities: Sequence[Capacity]
) -> list[Move]:
    """Return moves that give servers without keys a first share."""
    owners = {holding.owner for holding in holdings}
    total = sum(c.requests_per_s for c in capacities)
    moves: list[Move] = []
    for capacity in capacities:
        if capacity.name in owners or not holdings:
            continue
        width = int(KEY_POSITIONS * capacity.requests_per_s / total * FIRST_SHARE)
        taken = {move.first for move in moves}
        choices = [h for h in holdings if h.first not in taken]
        if not choices:
            break
        widest = max(choices, key=lambda h: h.last - h.first)
        half = (widest.last - widest.first + 1) // 2
        width = max(1, min(width, half))
        moves.append(Move(widest.first, widest.first + width - 1, capacity.name))
    return moves
