"""Pure functions that plan the owners of key slots and hot keys."""

import enum
import math
from collections.abc import Iterable, Sequence

import attrs

from ..declaration.const import KEY_SLOT_COUNT
from . import const
from .keys import is_hot_slot


class MoveReason(enum.StrEnum):
    """Why a slot moves."""

    LOSS = "loss"
    BALANCE = "balance"
    DEMOTION = "demotion"


class PlacementMode(enum.StrEnum):
    """Whether key slots are spread by their number or by their measured load."""

    CAPACITY = "capacity"
    LOAD = "load"


@attrs.frozen
class ServerCapacity:
    """A backend server that may receive key slots, and its relative capacity."""

    name: str
    weight: float = 1.0


@attrs.frozen
class Item:
    """A key slot or hot key, its owner (empty if none) and its load."""

    number: int
    owner: str
    load: float


@attrs.frozen
class PlannedMove:
    """A move of one item to a new owner."""

    number: int
    target: str


def choose_mode(
    current: PlacementMode, rate_per_s: float, server_count: int
) -> PlacementMode:
    """Return the mode for a service's request rate, with hysteresis."""
    per_server = rate_per_s / max(server_count, 1)
    if per_server >= const.LOAD_MODE_RATE_PER_SERVER:
        return PlacementMode.LOAD
    if per_server < const.CAPACITY_MODE_RATE_PER_SERVER:
        return PlacementMode.CAPACITY
    return current


def planning_loads(mode: PlacementMode, items: Sequence[Item]) -> list[Item]:
    """Return the items with the loads that the planner counts in a mode."""
    if mode is PlacementMode.CAPACITY or not any(i.load for i in items):
        return [
            attrs.evolve(i, load=0.0 if is_hot_slot(i.number) else 1.0) for i in items
        ]
    total = sum(i.load for i in items if not is_hot_slot(i.number))
    floor = const.IDLE_SLOT_SHARE * total / KEY_SLOT_COUNT
    return [attrs.evolve(i, load=max(i.load, floor)) for i in items]


class _Plan:
    """Loads and key slot counts of the receivers while a plan is made."""

    def __init__(
        self, items: Iterable[Item], servers: Sequence[ServerCapacity]
    ) -> None:
        self.weights = {s.name: s.weight for s in servers}
        self.owned: dict[str, dict[int, Item]] = {s.name: {} for s in servers}
        self.loads = dict.fromkeys(self.weights, 0.0)
        self.counts = dict.fromkeys(self.weights, 0)
        total_weight = sum(self.weights.values())
        fair = {n: KEY_SLOT_COUNT * w / total_weight for n, w in self.weights.items()}
        self.caps = {
            n: max(math.ceil(f), math.floor(f * const.SLOT_COUNT_EXCESS))
            for n, f in fair.items()
        }
        self.total_weight = total_weight
        for item in items:
            if item.owner in self.owned:
                self.put(item, item.owner)

    def put(self, item: Item, name: str) -> None:
        """Give an item to a server."""
        self.owned[name][item.number] = item
        self.loads[name] += item.load
        self.counts[name] += not is_hot_slot(item.number)

    def take(self, item: Item, name: str) -> None:
        """Take an item from a server."""
        del self.owned[name][item.number]
        self.loads[name] -= item.load
        self.counts[name] -= not is_hot_slot(item.number)

    def relative(self, name: str) -> float:
        """Return a server's load for its weight."""
        return self.loads[name] / self.weights[name]

    def mean(self) -> float:
        """Return the load per weight."""
        return sum(self.loads.values()) / self.total_weight

    def has_room(self, name: str) -> bool:
        """Return whether a server may own one more key slot."""
        return self.counts[name] < self.caps[name]

    def lowest(self, item: Item) -> str:
        """Return the server to which an item adds least relative load."""
        fits = [n for n in self.weights if is_hot_slot(item.number) or self.has_room(n)]
        return min(
            fits or list(self.weights),
            key=lambda n: ((self.loads[n] + item.load) / self.weights[n], n),
        )


def plan_orphans(
    items: Sequence[Item],
    servers: Sequence[ServerCapacity],
    staying: frozenset[str] = frozenset(),
) -> list[PlannedMove]:
    """Plan owners for the items whose owner is neither a receiver nor staying."""
    if not servers:
        return []
    names = {s.name for s in servers} | staying
    plan = _Plan(items, servers)
    orphans = [i for i in items if i.owner not in names]
    moves = []
    for item in sorted(orphans, key=lambda i: (-i.load, i.number)):
        target = plan.lowest(item)
        plan.put(item, target)
        moves.append(PlannedMove(item.number, target))
    return moves


def plan_balance(
    items: Sequence[Item], servers: Sequence[ServerCapacity], moves_max: int
) -> list[PlannedMove]:
    """Plan at most `moves_max` moves that even out the load, or none in the band."""
    if len(servers) < 2:
        return []
    plan = _Plan(items, servers)
    if _inside(plan, const.IMBALANCE_LOW, const.IMBALANCE_HIGH):
        return []
    joining = _below(plan, const.IMBALANCE_LOW)
    moved: dict[int, str] = {}
    while len(moved) < moves_max:
        if _inside(plan, const.BALANCED_LOW, const.BALANCED_HIGH):
            break
        # While a server is filled up, the others keep what they have.
        receivers = joining & _below(plan, const.BALANCED_LOW)
        if joining and not receivers:
            break
        step = _balance_step(plan, moved, receivers or set(plan.weights))
        if step is None:
            break
        moved[step.number] = step.target
    return [PlannedMove(number, target) for number, target in moved.items()]


def _inside(plan: _Plan, low: float, high: float) -> bool:
    mean = plan.mean()
    if any(plan.counts[n] > plan.caps[n] for n in plan.weights):
        return False
    return all(low * mean <= plan.relative(n) <= high * mean for n in plan.weights)


def _below(plan: _Plan, share: float) -> set[str]:
    mean = plan.mean()
    return {n for n in plan.weights if plan.relative(n) < share * mean}


def _balance_step(
    plan: _Plan, moved: dict[int, str], receivers: set[str]
) -> PlannedMove | None:
    ranked = sorted(plan.weights, key=lambda n: (plan.relative(n), n))
    crowded = [n for n in ranked if plan.counts[n] > plan.caps[n]]
    donors = crowded[-1:] + ranked[::-1]
    for donor in donors[:3]:
        for receiver in [n for n in ranked if n in receivers][:3]:
            item = _best_item(plan, donor, receiver, moved, donor in crowded)
            if item is None:
                continue
            plan.take(item, donor)
            plan.put(item, receiver)
            return PlannedMove(item.number, receiver)
    return None


def _best_item(
    plan: _Plan, donor: str, receiver: str, moved: dict[int, str], crowded: bool
) -> Item | None:
    gap = plan.relative(donor) - plan.relative(receiver)
    if donor == receiver or (gap <= 0 and not crowded):
        return None
    weight = max(plan.weights[donor], plan.weights[receiver])
    # A donor that fell below the band would have to be filled up by others.
    spare = plan.loads[donor] - const.BALANCED_LOW * plan.mean() * plan.weights[donor]
    largest = min(gap * weight, spare)
    candidates = [
        item
        for item in plan.owned[donor].values()
        if item.number not in moved
        and (crowded or item.load < largest)
        and (is_hot_slot(item.number) or plan.has_room(receiver))
    ]
    middle = max(gap, 0.0) * weight / 2
    return min(candidates, key=lambda i: (abs(i.load - middle), i.number), default=None)


def imbalance(items: Iterable[Item], servers: Sequence[ServerCapacity]) -> float:
    """Return the highest load per weight divided by the mean."""
    plan = _Plan(items, servers)
    mean = plan.mean()
    return max(map(plan.relative, plan.weights)) / mean if mean else 1.0
