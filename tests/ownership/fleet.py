"""Virtual fleet of instances with backend servers and callers."""

import functools
import itertools
import random

from expression import Error

from tests.membership.fleet import CFG
from tests.ownership.backend_model import BackendModel, Ledger
from wagtailrill.core.backend import BackendError, BackendErrorKind
from wagtailrill.core.commands import CallBackend
from wagtailrill.core.events import BackendReplied
from wagtailrill.membership.membership import Membership
from wagtailrill.membership.table import CellTable
from wagtailrill.ownership.component import Ownership
from wagtailrill.ownership.keys import key_hash
from wagtailrill.ownership.models import OwnershipSettings, SlotRoute
from wagtailrill.platform.models import Write
from wagtailrill.stand_ins.virtual_cell import VirtualCell, instance_names

# All instances decode the same documents; sharing the immutable tables saves a fifth of
# the time of a run.
_decode = functools.lru_cache(maxsize=64)(CellTable.from_bytes)
REFUSED = Error(BackendError(BackendErrorKind.UNREACHABLE))
ORDER_TIMEOUT_S = 0.6


class _Exchange:
    """An order on its way to a backend server and back."""

    def __init__(self, world, name, ownership, route):
        self.world = world
        self.name = name
        self.ownership = ownership
        self.route = route
        self.backend = world.backends[route.backend_server]
        self.order_id = next(world.order_ids)
        self.start = 0
        self.ended = False

    def arrive(self):
        """Reach the server."""
        self.world.at_backend(self.name, self.backend, self.begin)

    def begin(self):
        """Start to run, or be refused."""
        self.start = self.backend.start
        if self._accepted():
            self._later(self.world.rng.uniform(0.002, 0.03), self.finish)
        else:
            self._later(0.001, lambda: self.end(False))

    def finish(self):
        """Take effect, after a freeze of the server if there is one."""
        if self.backend.start != self.start:
            return
        if self.backend.frozen:
            self.backend.held.append(self.finish)
            return
        if self._accepted():
            now_s = self.world.fleet.now_s
            self.world.ledger.effect(self.route, self.backend.name, now_s)
        self._later(0.001, lambda: self.end(False))

    def end(self, may_run):
        """Tell the instance that the attempt ended, if it is still running."""
        if self.ended or self.world.awake(self.name) is not self.ownership:
            return
        self.ended = True
        self.ownership.order_ended(self.order_id, may_run)
        if may_run:
            self.ownership.report_unreachable(self.backend.name)

    def _accepted(self):
        world = self.world
        return self.backend.accepts(self.route, world.fleet.now_s, world.wall_s())

    def _later(self, delay_s, action):
        self.world.fleet.call_later(delay_s, action)


class OwnershipFleet(VirtualCell):
    """Steps instances, backend servers and callers on one virtual clock."""

    def __init__(self, instances, conf, seed, keys=12, callers_per_s=8.0):
        super().__init__(instance_names(instances), seed)
        self.conf = conf
        self.rng = random.Random(seed ^ 0x5EED)
        self.ledger = Ledger()
        self.ownerships = {}
        self.memberships = {}
        self.cut_backends = set()
        self.draining = set()
        self.delayed_share = 0.02
        self.lost_reply_share = 0.0
        self.interval_s = 1.0 / callers_per_s
        self.order_ids = itertools.count(1)
        self.keys = [
            (service, f"key-{n}".encode())
            for service in conf.services
            for n in range(keys)
        ]
        CellTable.from_bytes = _decode
        self.fleet.on_command(CallBackend, self._call_backend)
        self._watch_table()
        self.backends = {
            name: BackendModel(
                name,
                conf.service_of[name].checks_grants,
                self.rng.uniform(0.99, 1.01),
                self.rng.uniform(-0.02, 0.02),
            )
            for name in conf.backend_servers
        }
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start or replace an instance, with callers of its own."""
        super().start(name, self.rng.uniform(0.995, 1.005))
        self._caller(name, self.fleet.nodes[name])

    def attach(self, name, host):
        """Attach membership and ownership."""
        self.memberships[name] = Membership(host.ctx, CFG)
        self.memberships[name].attach(host)
        cfg = OwnershipSettings(return_delay_s=1.0, rebalance_interval_s=2.0)
        self.ownerships[name] = Ownership(host.ctx, self.memberships[name], cfg)
        self.ownerships[name].attach(host)
        self.ownerships[name].configure(self.conf)

    def _watch_table(self):
        model = self.fleet.store.model
        apply = model.apply

        def checked(operation, now_s):
            result = apply(operation, now_s)
            written = isinstance(operation, Write) and result.is_ok()
            if written and operation.key == CFG.table_key:
                self.ledger.stored(operation.value)
            return result

        model.apply = checked

    def awake(self, name):
        """Return the ownership of a running instance, with its clock set, or None."""
        return self.ownerships[name] if self.set_clock(name) else None

    def coordinators(self):
        """Return the running instances that coordinate."""
        return [n for n in self.running() if self.memberships[n].coordinates()]

    def configure(self, conf):
        """Bring a configuration into force at different times at the instances."""
        self.conf = conf
        for name in self.names:
            later = self.rng.uniform(0.0, 0.5)
            self.fleet.call_later(later, lambda n=name: self._configure(n, conf))

    def _configure(self, name, conf):
        ownership = self.awake(name)
        if ownership is not None and conf.version == self.conf.version:
            ownership.configure(conf)

    def delay_s(self):
        if self.rng.random() < self.delayed_share:
            return self.rng.uniform(0.1, 3.0)
        return self.rng.uniform(0.0005, 0.002)

    def at_backend(self, name, backend, action):
        """Run an action at a server now, when it thaws, or never."""
        if not backend.reachable or (name, backend.name) in self.cut_backends:
            return
        if backend.frozen:
            backend.held.append(action)
        else:
            action()

    def thaw(self, backend):
        """Let a frozen server carry out what waited in its connections."""
        backend.frozen = False
        held, backend.held = backend.held, []
        for action in held:
            action()

    def _call_backend(self, name, command):
        row = self.fleet.nodes[name]
        backend = self.backends[command.backend_server]

        def act():
            result = backend.control(command.operation, self.fleet.now_s, self.wall_s())
            reply(result)

        def reply(result):
            if self.rng.random() < self.lost_reply_share:
                return
            if (name, backend.name) not in self.cut_backends:
                event = BackendReplied(command.call_id, result)
                self.fleet.call_later(0.001, lambda: self.fleet._step(row, event))

        def arrive():
            if backend.refuses:
                reply(REFUSED)
            else:
                self.at_backend(name, backend, act)

        self.fleet.call_later(self.delay_s(), arrive)

    def _caller(self, name, row):
        def call():
            if self.fleet.nodes.get(name) is not row:
                return
            if row.incarnation not in self.draining:
                self.order(name, *self.rng.choice(self.keys))
            self.fleet.call_later(self.rng.uniform(0.5, 1.5) * self.interval_s, call)

        self.fleet.call_later(self.rng.uniform(0.0, self.interval_s), call)

    def leave(self, name, row):
        """Stop an instance as planned: drain it, then let it leave its cell."""
        self.draining.add(row.incarnation)
        ownership = self.awake(name)
        if self.fleet.nodes.get(name) is not row:
            return
        if ownership is None or ownership.orders_in_flight():
            self.fleet.call_later(0.1, lambda: self.leave(name, row))
            return
        kill = functools.partial(self.fleet.kill, name)
        self.memberships[name].leave(lambda: self.fleet.call_later(0.0, kill))

    def order(self, name, service, key, held=False):
        """Send an order for a key through an instance; return it if it is routed.

        A held order stays in transit until the test calls its `begin`.
        """
        ownership = self.awake(name)
        if ownership and self.fleet.nodes[name].incarnation in self.draining:
            return None
        route = ownership.route(service, key) if ownership else None
        if not isinstance(route, SlotRoute):
            return None
        exchange = _Exchange(self, name, ownership, route)
        ownership.order_started(exchange.order_id, route)
        if not held:
            self.fleet.call_later(self.delay_s(), exchange.arrive)
        self.fleet.call_later(ORDER_TIMEOUT_S, lambda: exchange.end(True))
        return exchange

    def time_until_served(self, keys, limit_s, poll_s=0.02):
        """Send orders until each key has run again; return the time for each."""
        start_s = self.fleet.now_s
        took_s = {}
        while len(took_s) < len(keys):
            assert self.fleet.now_s - start_s < limit_s, (
                f"not served within {limit_s} s: {set(keys) - took_s.keys()}"
            )
            for key in keys:
                if key not in took_s:
                    names = list(self.fleet.nodes)
                    self.order(self.rng.choice(names), *key)
            self.run(poll_s)
            for key in keys:
                ran_s = self.ledger.ran.get((key[0], key_hash(key[1])), -1.0)
                if ran_s > start_s:
                    took_s.setdefault(key, ran_s - start_s)
        return [took_s[key] for key in keys]
