"""Guards the virtual clock driver: without it the random runs prove nothing."""

import random

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet
from wagtailrill.store.models import Get, StoreErrorKind


class StartedHost(ComponentHost):
    """A host without parts that have something to do at the start."""

    def start(self, now_s, wall_s):
        return self.step(None, now_s, wall_s)


def make_fleet(received, seed=1):
    def factory(name, incarnation, rng):
        ctx = Context(Identity(name, incarnation, "dc"), rng, Invariants())
        host = StartedHost(ctx)
        host.register_message_handler(
            [str], lambda envelope: received.append((name, envelope))
        )
        ctx.timers.call_every(0.5, lambda: ctx.send("b" if name == "a" else "a", name))
        return host

    fleet = VirtualFleet(factory, seed)
    fleet.start("a")
    fleet.start("b")
    return fleet


def test_cut_instances_exchange_nothing_until_healed():
    """Guards against cuts that let messages through."""
    received = []
    fleet = make_fleet(received)
    fleet.cut("a", "b")
    fleet.run_until(2.0)
    assert received == []
    fleet.heal()
    fleet.run_until(4.0)
    assert {name for name, _ in received} == {"a", "b"}


def test_paused_instance_handles_messages_only_after_it_resumes():
    """Guards against a pause that loses or answers messages."""
    received = []
    fleet = make_fleet(received)
    fleet.pause("b")
    fleet.run_until(2.0)
    assert all(name == "a" for name, _ in received)
    fleet.resume("b")
    assert any(name == "b" for name, _ in received)


def test_same_seed_gives_the_same_run():
    """Guards against hidden sources of randomness."""
    runs = []
    for _ in range(2):
        received = []
        fleet = make_fleet(received, seed=random.Random(7).randrange(100))
        fleet.run_until(5.0)
        runs.append([(name, e.sequence) for name, e in received])
    assert runs[0] == runs[1]
    assert len(runs[0]) > 10


def test_store_outage_answers_nothing():
    """Guards against outages that still answer."""
    received, results = [], []
    fleet = make_fleet(received)
    fleet.store.down = True
    fleet.nodes["a"].node.ctx.call_store(Get("k"), results.append)
    fleet.run_until(3.0)
    assert results[0].error.kind is StoreErrorKind.NO_ANSWER


def test_messages_between_two_instances_keep_their_order():
    """Guards against losses that the receivers' sequence filters would cause."""
    received = []
    fleet = make_fleet(received)
    for _ in range(50):
        fleet.call_later(0.001, lambda: fleet.nodes["a"].node.ctx.send("b", "x"))
    for step in range(50):
        fleet.deliver("a", None, 0.001 + step * 1e-5)
    fleet.run_until(1.0)
    assert fleet.nodes["b"].node.dropped_messages == 0
    assert len([1 for name, _ in received if name == "b"]) > 50


class Alarm:
    """An instance that only waits for three times."""

    def __init__(self, rng):
        self.due = [rng.uniform(0.001, 0.03), rng.uniform(0.1, 0.2), 0.25]

    def start(self, now_s, wall_s):
        return []

    def step(self, event, now_s, wall_s):
        self.due = [due_s for due_s in self.due if due_s > now_s]
        return []

    def next_due_s(self):
        return self.due[0] if self.due else None


def test_no_instance_misses_its_wake_up_through_rounding():
    """Guards against an instance that stops because a wake-up came an ulp early."""
    for seed in range(1000):
        fleet = VirtualFleet(lambda name, incarnation, rng: Alarm(rng), seed)
        row = fleet.start("a")
        row.offset_s = 0.0
        fleet.run_until(0.3)
        assert len(row.node.due) == 0
