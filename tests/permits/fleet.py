"""Instances with permits, backend servers and load on the virtual clock."""

import itertools
import random

import attrs

from wagtailrill.core.commands import CloseConnections, SendPeer
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants
from wagtailrill.declaration.models import (
    BackendServerEntry,
    Configuration,
    DataCentre,
    Declaration,
    Organisation,
    Route,
    Service,
    SlowStart,
)
from wagtailrill.partitions.directory import Member
from wagtailrill.permits.models import DeniedReason, Permit, PermitSettings
from wagtailrill.permits.permits import Permits
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet

from .coordinator import FakeCoordinator, FakeDirectory, TablePushed

SLOTS = 6
# Fewer than 12 instances would open, so that connections are recalled too.
CONNECTIONS = 20
SLOW_START = SlowStart(slots=1, step_s=0.4)
ORGANISATIONS = ("large", "mid", "small")
TIMEOUT_S = 1.0


def configuration(servers, connections=CONNECTIONS, **states):
    """Return a declaration with one service; `states` are by server name."""
    entries = tuple(
        attrs.evolve(
            BackendServerEntry(name, f"127.0.0.1:{n}", "dc", SLOTS, connections),
            **({"state": states[name]} if name in states else {}),
        )
        for n, name in enumerate(servers)
    )
    service = Service(
        "boxfinder",
        (Route("GET", "/", idempotent=True, timeout_s=TIMEOUT_S),),
        entries,
        slow_start=SLOW_START,
    )
    organisations = tuple(Organisation(o, 100.0, 100.0) for o in ORGANISATIONS)
    return Configuration(
        1, Declaration("test", (DataCentre("dc"),), (service,), organisations)
    )


class PermitNode:
    """One instance: permits with a fake directory."""

    def __init__(self, name, incarnation, rng):
        self.ctx = Context(
            Identity(name, incarnation, "dc"), rng, Invariants(raise_errors=True)
        )
        self.host = ComponentHost(self.ctx)
        self.directory = FakeDirectory(Member(name, incarnation), self.ctx)
        self.permits = Permits(self.ctx, self.directory, PermitSettings())
        self.permits.attach(self.host)
        self.directory.listener = self.permits
        self.host.on_event(TablePushed, self.directory.heartbeat)
        self.host.on_event(Action, lambda action: action.run(self))

    def step(self, event, now_s, wall_s):
        self.ctx.set_time(now_s, wall_s)
        self.directory.check_lease()
        return self.host.step(event, now_s, wall_s)

    def next_due_s(self):
        return self.host.next_due_s()


@attrs.frozen
class Action:
    """Something that the I/O code of an instance tells its decision code."""

    run: object


@attrs.define(eq=False)
class Server:
    """A backend server that bears `SLOW_START` from its own start."""

    name: str
    started_s: float
    start_id: str
    slots: int = SLOTS
    running: list = attrs.field(factory=list)
    peak: int = 0

    def bears(self, now_s):
        steps = int((now_s - self.started_s) / SLOW_START.step_s + 1e-9)
        return min(SLOTS, SLOW_START.slots + steps)


@attrs.define(eq=False)
class Conn:
    """An open connection; it is dead once its server has another start id."""

    start_id: str


@attrs.define(eq=False)
class Running:
    """An order at a server."""

    row: object
    lease_until_s: float
    ended: bool = False


class PermitFleet(VirtualFleet):
    """Fleet with fake servers; counts overload and wrongful denials."""

    def __init__(self, seed, instances, servers, rates=True):
        super().__init__(PermitNode, seed)
        self.configuration = configuration(servers)
        self.ids = itertools.count(1)
        self.servers = {
            s: Server(s, -100.0 if self.rng.random() < 0.5 else 0.0, f"{s}/0")
            for s in servers
        }
        self.pools, self.closes = {}, {}
        self.overload, self.excused, self.overconnected = 0, 0, 0
        self.messages, self.served = 0, 0
        self.served_to, self.denied = {}, []
        self.silent_closes = 0.0
        self.on_command(CloseConnections, self._close)
        self.coordinator = FakeCoordinator(
            self, random.Random(seed + 2), self.rng.uniform(0.99, 1.01)
        )
        for n in range(instances):
            self.launch(f"i-{n}", self.rng.uniform(0.99, 1.01) if rates else 1.0)

    def _send_peer(self, sender, command):
        self.messages += 1
        assert isinstance(command, SendPeer)
        super()._send_peer(sender, command)

    def launch(self, name, rate=1.0):
        row = self.start(name, rate)
        self.act(name, lambda node: node.permits.configure(self.configuration))
        return row

    def act(self, name, run, delay_s=0.0):
        self.deliver(name, Action(run), delay_s)

    def configure(self, value):
        self.configuration = value
        for name in self.nodes:
            self.act(name, lambda node: node.permits.configure(value))

    def request(self, name, server, organisation, service_s, deadline_s=2.0):
        """Send one request through an instance."""
        row, request_id = self.nodes.get(name), next(self.ids)
        if row is None:
            return

        def on_result(result):
            if isinstance(result, Permit):
                self._send_order(row, result, organisation, service_s)
            else:
                self.denied.append((self.now_s, name, result.reason))

        def run(node):
            node.permits.acquire(
                server, request_id, organisation, node.ctx.now_s + deadline_s, on_result
            )

        self.act(name, run)

    def probe(self, name, server):
        """Let an instance learn a server's start id and uptime."""
        target = self.servers[server]
        start_id, uptime_s = target.start_id, self.now_s - target.started_s

        def run(node):
            node.permits.start_id_seen(server, start_id, uptime_s)

        self.act(name, run, 0.001)

    def restart(self, name):
        """Restart a server without notice."""
        server = self.servers[name]
        server.started_s = self.now_s
        server.start_id = f"{name}/{next(self.ids)}"
        for order in server.running:
            order.ended = True
        server.running.clear()
        for (row, pool_of), pool in self.pools.items():
            if pool_of != name:
                continue
            for conn in list(pool):
                if self.rng.random() >= self.silent_closes:
                    self._notice_close(row, name, conn)

    def _notice_close(self, row, server, conn):
        def run(node):
            pool = self.pools[row, server]
            if conn in pool:
                pool.remove(conn)
                node.permits.connection_closed(server)

        self.call_later(0.001, lambda: self._step(row, Action(run)))

    def _close(self, name, command):
        pool = self.pools.setdefault((self.nodes[name], command.backend_server), [])
        del pool[: len(pool) if command.count is None else command.count]
        if command.count is None:
            key = (self.nodes[name], command.backend_server)
            self.closes[key] = self.closes.get(key, 0) + 1

    def _send_order(self, row, permit, organisation, service_s):
        name = permit.backend_server
        server = self.servers[name]
        pool = self.pools.setdefault((row, name), [])
        if permit.may_connect:
            delay_s = 0.002
            conn = None
        else:
            delay_s = 0.0005
            conn = pool.pop() if pool else Conn("none")
        closes = self.closes.get((row, name))
        until_s = (row.node.directory.lease_until_s - row.offset_s) / row.rate

        def arrive():
            used = Conn(server.start_id) if conn is None else conn
            if used.start_id != server.start_id:
                self._end(row, permit, None, "")
                return
            order = Running(row, until_s)
            server.running.append(order)
            self._count(server)
            self.call_later(service_s, lambda: finish(order, used))

        def finish(order, used):
            if order.ended:
                self._end(row, permit, None, "")
                return
            server.running.remove(order)
            self.served += 1
            key = (row.name, organisation)
            self.served_to[key] = self.served_to.get(key, 0) + 1
            self._end(row, permit, used, server.start_id, closes)

        self.call_later(delay_s, arrive)

    def _end(self, row, permit, conn, start_id, closes=None):
        """Report the end; connections told to close meanwhile are not kept."""
        key = (row, permit.backend_server)

        def run(node):
            kept = conn is not None and self.closes.get(key) == closes
            if kept:
                self.pools[key].append(conn)
            node.permits.release(permit, kept, start_id)

        self.call_later(0.0005, lambda: self._step(row, Action(run)))

    def _count(self, server):
        """Compare the load with what the server bears.

        Excused are orders whose sender's lease has lapsed since it sent them and
        orders of processes that are no longer members.
        """
        members = set(self.coordinator.table.members)
        strict = [
            o
            for o in server.running
            if o.lease_until_s >= self.now_s
            and Member(o.row.name, o.row.incarnation) in members
        ]
        bears = server.bears(self.now_s)
        self.overload += len(strict) > bears
        self.excused += len(server.running) > bears >= len(strict)
        pooled = sum(
            len(pool)
            for (row, name), pool in self.pools.items()
            if name == server.name
            and self.nodes.get(row.name) is row
            and row.node.directory.has_lease()
        )
        self.overconnected += pooled + len(strict) > CONNECTIONS
        server.peak = max(server.peak, len(server.running))

    def deadline_denials(self, since_s):
        """Return the denials at the deadline after a time."""
        return [
            d for d in self.denied if d[0] >= since_s and d[2] is DeniedReason.DEADLINE
        ]
