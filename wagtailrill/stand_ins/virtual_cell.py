"""Instances of one cell on the virtual clock, for the tests of single components."""

import abc
import random
from collections.abc import Callable, Iterable

from ..core.context import Context, Identity
from ..core.events import InstancesListed
from ..core.host import ComponentHost
from ..core.invariants import Invariants
from ..platform.models import InstanceEntry
from .virtual_fleet import WALL_EPOCH_S, VirtualFleet

DATA_CENTRE = "dc"


class VirtualCell(abc.ABC):
    """Instances that know each other by the platform's list.

    A subclass attaches the components and checks its invariants while time passes.
    """

    def __init__(self, names: Iterable[str], seed: int) -> None:
        self.names = list(names)
        self.fleet = VirtualFleet(self._make, seed)
        self.store = self.fleet.store

    @abc.abstractmethod
    def attach(self, name: str, host: ComponentHost) -> None:
        """Attach the components of a new process to its host."""

    def check(self) -> None:  # noqa: B027
        """Raise if an invariant does not hold now."""

    def start(self, name: str, rate: float = 1.0) -> None:
        """Start or replace an instance and show it the platform's list."""
        self.fleet.start(name, rate)
        entries = tuple(InstanceEntry(n, "", DATA_CENTRE) for n in self.names)
        self.fleet.deliver(name, InstancesListed(entries), 0.0)

    def wall_s(self) -> float:
        """Return the true Unix time."""
        return WALL_EPOCH_S + self.fleet.now_s

    def set_clock(self, name: str) -> bool:
        """Set an instance's clocks to now; return whether it runs unpaused."""
        row = self.fleet.nodes.get(name)
        if row is None or row.paused:
            return False
        assert isinstance(row.node, ComponentHost)
        now_s = row.offset_s + self.fleet.now_s * row.rate
        row.node.ctx.set_time(now_s, self.wall_s())
        return True

    def running(self) -> list[str]:
        """Return the names of the unpaused instances, with their clocks set to now."""
        return [name for name in self.fleet.nodes if self.set_clock(name)]

    def run(self, duration_s: float, step_s: float = 0.05) -> None:
        """Advance time, with a check after each step."""
        end_s = self.fleet.now_s + duration_s
        while self.fleet.now_s < end_s:
            self.fleet.run_until(min(end_s, self.fleet.now_s + step_s))
            self.check()

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.02
    ) -> float:
        """Advance time until a condition holds; return the time it took."""
        start_s = self.fleet.now_s
        while not condition():
            assert self.fleet.now_s - start_s < limit_s, f"not within {limit_s} s"
            self.run(step_s, step_s)
        return self.fleet.now_s - start_s

    def _make(self, name: str, incarnation: int, rng: random.Random) -> ComponentHost:
        identity = Identity(name, incarnation, DATA_CENTRE)
        host = ComponentHost(Context(identity, rng, Invariants()))
        self.attach(name, host)
        return host


def instance_names(count: int) -> list[str]:
    """Return the names of a number of instances."""
    return [f"i-{n:02}" for n in range(count)]
