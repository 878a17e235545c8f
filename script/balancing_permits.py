"""Borrowed permits with the real code, for script/measure_balancing."""

import itertools
import random
from collections.abc import Callable

import attrs
from balancing_strategies import (
    CONNECT_S,
    DEADLINE_S,
    INSTANCES,
    SERVERS,
    SLOTS,
    SLOW_START,
    WARM_UP_S,
    OnEnd,
    Simulation,
)

from wagtailrill.balancing.balancer import Balancer
from wagtailrill.balancing.models import BalancerSettings
from wagtailrill.core.commands import CloseConnections, SendPeer
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.events import CallerLeft
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants
from wagtailrill.core.orders import AttemptOutcome
from wagtailrill.declaration.models import (
    BackendServerEntry,
    Configuration,
    DataCentre,
    Declaration,
    Route,
    Service,
)
from wagtailrill.partitions.directory import Home, Member
from wagtailrill.permits.models import Permit, PermitSettings
from wagtailrill.permits.permits import Permits


class StaticDirectory:
    """A cell that does not change."""

    members_ = tuple(Member(name, n + 1) for n, name in enumerate(INSTANCES))

    def __init__(self, name: str) -> None:
        self.name = name

    def has_lease(self) -> bool:
        return True

    def home_of(self, partition: int) -> Home:
        return Home(INSTANCES[partition % len(INSTANCES)], 1)

    def is_home(self, partition: int) -> bool:
        return self.home_of(partition).instance == self.name

    def members(self) -> tuple[Member, ...]:
        return self.members_

    def is_member(self, instance: str, incarnation: int) -> bool:
        return Member(instance, incarnation) in self.members_

    def suspected(self, instance: str) -> bool:
        return False


def configuration() -> Configuration:
    """Return the declaration of the measured service."""
    entries = tuple(
        BackendServerEntry(s, "127.0.0.1:1", "dc", SLOTS, 120) for s in SERVERS
    )
    routes = (Route("GET", "/", idempotent=True, timeout_s=DEADLINE_S),)
    service = Service("find", routes, entries, slow_start=SLOW_START)
    return Configuration(1, Declaration("m", (DataCentre("dc"),), (service,), ()))


class PermitNode:
    """Permits and balancing of one instance: the real code."""

    def __init__(self, name: str, incarnation: int, rng: random.Random) -> None:
        identity = Identity(name, incarnation, "dc")
        self.ctx = Context(identity, rng, Invariants(raise_errors=True))
        self.host = ComponentHost(self.ctx)
        directory = StaticDirectory(name)
        self.permits = Permits(self.ctx, directory, PermitSettings())
        self.permits.attach(self.host)
        self.balancer = Balancer(self.ctx, self.permits, BalancerSettings())
        self.host.on_event(CallerLeft, lambda _: None)
        self.host.on_event(Action, lambda action: action.run())
        for component in (self.permits, self.balancer):
            component.configure(configuration())

    def step(self, event: object, now_s: float, wall_s: float) -> list:
        return self.host.step(event, now_s, wall_s)

    def next_due_s(self) -> float | None:
        return self.host.next_due_s()


@attrs.frozen
class Action:
    """Something that the I/O code tells an instance."""

    run: Callable[[], None]


class BorrowedPermits:
    """Permits lent by homes, with the real balancing."""

    def __init__(self, sim: "Simulation") -> None:
        self.sim, self.messages, self.denied = sim, 0, 0
        self.ids = itertools.count(1)
        self.pools = {(i, s): [] for i in INSTANCES for s in SERVERS}
        fleet = sim.fleet
        send = fleet._handlers[SendPeer]

        def count(name: str, command: SendPeer) -> None:
            self.messages += fleet.now_s >= WARM_UP_S
            send(name, command)

        fleet.on_command(SendPeer, count)
        fleet.on_command(CloseConnections, self._close)
        for name in INSTANCES:
            fleet.start(name)
        for name in INSTANCES:
            self._act(name, lambda name=name: self._gain(name))
            for server in SERVERS:
                self._act(name, lambda n=name, s=server: self._seen(n, s), delay_s=0.1)

    def start(self, instance: str, service_s: float, exclude: str, end: OnEnd) -> str:
        """Choose a server, acquire a permit and send a request."""
        node = self.sim.fleet.nodes[instance].node
        chosen = ""

        def run() -> None:
            nonlocal chosen
            chosen = node.balancer.choose("find", frozenset({exclude})) or ""
            deadline_s = node.ctx.now_s + DEADLINE_S

            def on_result(result: object) -> None:
                if isinstance(result, Permit):
                    self._send(instance, result, service_s, end)
                else:
                    self.denied += 1

            node.permits.acquire(chosen, next(self.ids), "all", deadline_s, on_result)

        self._now(instance, run)
        return chosen

    def restarted(self, server: str) -> None:
        """Close the idle connections to a server that has restarted."""
        for instance in INSTANCES:
            pool = self.pools[instance, server]
            for _ in range(len(pool)):
                self._act(instance, lambda i=instance: self._closed(i, server))

    def _closed(self, instance: str, server: str) -> None:
        if self.pools[instance, server]:
            self.pools[instance, server].pop()
            self.sim.fleet.nodes[instance].node.permits.connection_closed(server)

    def _gain(self, name: str) -> None:
        permits = self.sim.fleet.nodes[name].node.permits
        for partition in range(64):
            if StaticDirectory(name).is_home(partition):
                permits.home_gained(partition, 1)

    def _seen(self, name: str, server: str) -> None:
        permits = self.sim.fleet.nodes[name].node.permits
        permits.start_id_seen(server, f"{server}/0", 1000.0)

    def _act(self, name: str, run: Callable[[], None], delay_s: float = 0.0) -> None:
        self.sim.fleet.deliver(name, Action(run), delay_s)

    def _now(self, name: str, run: Callable[[], None]) -> None:
        self.sim.fleet._step(self.sim.fleet.nodes[name], Action(run))

    def _close(self, name: str, command: CloseConnections) -> None:
        pool = self.pools[name, command.backend_server]
        del pool[: command.count if command.count is not None else len(pool)]

    def _send(
        self, instance: str, permit: Permit, service_s: float, end: OnEnd
    ) -> None:
        name, sent_s = permit.backend_server, self.sim.fleet.now_s
        server, pool = self.sim.servers[name], self.pools[instance, name]
        conn = None if permit.may_connect else pool.pop()
        node = self.sim.fleet.nodes[instance].node

        def on_end(answered: bool) -> None:
            latency_s = self.sim.fleet.now_s - sent_s

            def run() -> None:
                outcome = AttemptOutcome.ANSWERED if answered else AttemptOutcome.LOST
                node.balancer.record(name, outcome, latency_s)
                start_id = f"{name}/{server.generation}" if answered else ""
                if answered:
                    pool.append(server.generation)
                node.permits.release(permit, answered, start_id)

            self._now(instance, run)
            end(answered)

        def order() -> None:
            if conn is not None and conn != server.generation:
                on_end(False)
            else:
                server.order(service_s, on_end)

        self.sim.fleet.call_later(CONNECT_S if conn is None else 0.0, order)
