"""Ways to balance requests, for script/measure_balancing."""

import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from wagtailrill.balancing.latency import Latency
from wagtailrill.declaration.models import (
    SlowStart,
)
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet

SLOTS = 6
SERVERS = tuple(f"s-{n:02}" for n in range(12))
INSTANCES = tuple(f"i-{n:02}" for n in range(12))
SLOW_START = SlowStart()
SERVICE_MEAN_S = 0.010
SLOW_FACTOR = 10.0
HOP_S = 0.001
CONNECT_S = 0.001
WARM_UP_S = 2.0
DEADLINE_S = 2.0
OnEnd = Callable[[bool], None]


class Simulation(Protocol):
    """What strategies need of a run."""

    fleet: VirtualFleet
    rng: random.Random
    servers: dict[str, "Server"]
    busy_s: float


@attrs.define(eq=False)
class Server:
    """A backend server with a first-in-first-out queue behind its slots."""

    sim: "Simulation"
    name: str
    factor: float
    started_s: float = -1000.0
    generation: int = 0
    running: list = attrs.field(factory=list)
    queue: deque = attrs.field(factory=deque)
    over_slots: int = 0
    over_ramp: int = 0

    def bears(self) -> int:
        """Return how many requests the server bears since its start."""
        up_s = self.sim.fleet.now_s - self.started_s
        return min(SLOTS, SLOW_START.slots + int(up_s / SLOW_START.step_s + 1e-9))

    def order(self, service_s: float, on_end: OnEnd) -> None:
        """Run a request, or queue it when every slot is in use."""
        waiting = len(self.running) + len(self.queue)
        self.over_slots += waiting >= SLOTS
        self.over_ramp += waiting >= self.bears()
        self.queue.append((service_s * self.factor, on_end))
        self._next()

    def restart(self) -> None:
        """Fail everything and start cold."""
        self.started_s = self.sim.fleet.now_s
        self.generation += 1
        failed = [on_end for _, on_end in [*self.running, *self.queue]]
        self.running, self.queue = [], deque()
        for on_end in failed:
            on_end(False)

    def _next(self) -> None:
        while self.queue and len(self.running) < SLOTS:
            entry = self.queue.popleft()
            self.running.append(entry)
            self.sim.busy_s += entry[0]
            self.sim.fleet.call_later(entry[0], lambda e=entry: self._finish(e))

    def _finish(self, entry: tuple) -> None:
        if entry in self.running:
            self.running.remove(entry)
            self._next()
            entry[1](True)


class Independent:
    """Each instance chooses by its own count of outstanding requests."""

    def __init__(self, sim: "Simulation") -> None:
        self.sim, self.rng, self.messages = sim, sim.rng, 0
        self.outstanding = {(i, s): 0 for i in INSTANCES for s in SERVERS}

    def start(self, instance: str, service_s: float, exclude: str, end: OnEnd) -> str:
        """Send a request; return the server chosen."""
        name = self.choose(instance, [s for s in SERVERS if s != exclude])
        self.outstanding[instance, name] += 1
        sent_s = self.sim.fleet.now_s

        def on_end(answered: bool) -> None:
            self.outstanding[instance, name] -= 1
            self.ended(instance, name, self.sim.fleet.now_s - sent_s)
            end(answered)

        self.sim.servers[name].order(service_s, on_end)
        return name

    def ended(self, instance: str, name: str, latency_s: float) -> None:
        """Learn from the end of a request."""


class LeastLoaded(Independent):
    """The server with the fewest requests of this instance."""

    def choose(self, instance: str, names: list[str]) -> str:
        """Return a server."""
        return min(
            names, key=lambda s: (self.outstanding[instance, s], self.rng.random())
        )


class TwoChoices(Independent):
    """The better of two random servers."""

    def choose(self, instance: str, names: list[str]) -> str:
        """Return a server."""
        pair = self.rng.sample(names, 2)
        return min(pair, key=lambda s: self.outstanding[instance, s])


class PeakEwma(Independent):
    """The lowest peak-EWMA latency times outstanding requests."""

    def __init__(self, sim: "Simulation") -> None:
        super().__init__(sim)
        self.latency = {k: Latency(10.0) for k in self.outstanding}

    def choose(self, instance: str, names: list[str]) -> str:
        """Return a server."""
        now_s = self.sim.fleet.now_s

        def score(name: str) -> tuple[float, float]:
            key = (instance, name)
            latency_s = self.latency[key].score_s(now_s)
            return latency_s * (self.outstanding[key] + 1), self.rng.random()

        return min(names, key=score)

    def ended(self, instance: str, name: str, latency_s: float) -> None:
        """Learn from the end of a request."""
        self.latency[instance, name].record(latency_s, self.sim.fleet.now_s)


class JoinIdleQueue(Independent):
    """Servers put each free slot into the idle queue of a random instance."""

    def __init__(self, sim: "Simulation") -> None:
        super().__init__(sim)
        self.idle = {i: deque() for i in INSTANCES}
        for name in SERVERS * SLOTS:
            self.idle[self.rng.choice(INSTANCES)].append(name)

    def choose(self, instance: str, names: list[str]) -> str:
        """Return a server."""
        queue = self.idle[instance]
        return queue.popleft() if queue else self.rng.choice(names)

    def ended(self, instance: str, name: str, latency_s: float) -> None:
        """Announce a free slot."""
        server = self.sim.servers[name]
        if len(server.running) < SLOTS:
            self.messages += self.sim.fleet.now_s >= WARM_UP_S
            self.idle[self.rng.choice(INSTANCES)].append(name)


class StaticSplit(Independent):
    """Round robin over one slot at each of six servers, with a queue before them."""

    def __init__(self, sim: "Simulation") -> None:
        super().__init__(sim)
        self.free, self.queue = {}, {i: deque() for i in INSTANCES}
        for n, instance in enumerate(INSTANCES):
            own = [SERVERS[(n + k) % len(SERVERS)] for k in range(SLOTS)]
            self.free[instance] = deque(own)

    def start(self, instance: str, service_s: float, exclude: str, end: OnEnd) -> str:
        """Queue a request; the server is not known yet."""
        self.queue[instance].append((service_s, end))
        self._next(instance)
        return ""

    def _next(self, instance: str) -> None:
        free, queue = self.free[instance], self.queue[instance]
        while free and queue:
            name, (service_s, end) = free.popleft(), queue.popleft()

            def on_end(answered: bool, name: str = name, end: OnEnd = end) -> None:
                free.append(name)
                end(answered)
                self._next(instance)

            self.sim.servers[name].order(service_s, on_end)


class HomeForwards(TwoChoices):
    """The home of each server queues and forwards every request."""

    def start(self, instance: str, service_s: float, exclude: str, end: OnEnd) -> str:
        """Send a request to the home of the server chosen."""
        name = self.choose(instance, [s for s in SERVERS if s != exclude])
        self.outstanding[instance, name] += 1
        self.messages += 2 * (self.sim.fleet.now_s >= WARM_UP_S)
        call_later = self.sim.fleet.call_later

        def back(answered: bool) -> None:
            self.outstanding[instance, name] -= 1
            end(answered)

        def on_end(answered: bool) -> None:
            self.used[name] -= 1
            self._next(name)
            call_later(HOP_S, lambda: back(answered))

        def arrive() -> None:
            self.waiting[name].append((service_s, on_end))
            self._next(name)

        call_later(HOP_S, arrive)
        return name

    def __init__(self, sim: "Simulation") -> None:
        super().__init__(sim)
        self.used = dict.fromkeys(SERVERS, 0)
        self.waiting = {s: deque() for s in SERVERS}

    def _next(self, name: str) -> None:
        while self.waiting[name] and self.used[name] < SLOTS:
            self.used[name] += 1
            self.sim.servers[name].order(*self.waiting[name].popleft())


STRATEGIES = {
    "static split": StaticSplit,
    "least loaded": LeastLoaded,
    "two choices": TwoChoices,
    "peak-EWMA": PeakEwma,
    "join idle queue": JoinIdleQueue,
    "home forwards": HomeForwards,
}
