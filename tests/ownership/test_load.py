"""Guards load tracking: bounded memory and the right top keys."""

import random

from wagtailrill.ownership import messages
from wagtailrill.ownership.keys import key_hash, slot_of
from wagtailrill.ownership.load import KeySketch, LoadBook, LoadTracker
from wagtailrill.peer.registry import MessageRegistry


def test_sketch_finds_the_hottest_keys_in_bounded_memory():
    """Guards against a sketch that grows with the keys or loses a hot one."""
    rng = random.Random(3)
    sketch = KeySketch(690)
    for _ in range(200_000):
        hot = rng.random() < 0.5
        sketch.add(rng.randrange(230) if hot else rng.randrange(230, 10**9))
    assert len(sketch) <= 1380
    assert {h for h, _ in sketch.top(230)} == set(range(230))


def test_loads_reach_the_coordinator_and_hot_keys_leave_their_slot():
    """Guards against load that is lost on the wire or counted twice."""
    registry = MessageRegistry()
    messages.register_messages(registry)
    tracker, book = LoadTracker(), LoadBook()
    hot, cold = key_hash(b"hot"), key_hash(b"cold")
    for _ in range(1000):
        tracker.count("roll", hot)
    tracker.set_hot("roll", {hot})
    for _ in range(100):
        tracker.count("roll", hot)
        tracker.count("roll", cold)
    for instance in ("a", "b"):
        for report in tracker.reports():
            received = registry.decode(*registry.encode(report))
            book.receive(instance, received, 10.0)
    rates = book.rates("roll", 11.0)
    assert rates.slots[slot_of(hot)] == 0.0
    assert 10.5 < rates.keys[hot] / rates.slots[slot_of(cold)] < 11.5
    assert book.rates("roll", 100.0).total == 0.0


def test_report_of_wrong_size_is_dropped():
    """Guards against a malformed report that ends the coordinator."""
    book = LoadBook()
    book.receive("a", messages.LoadReport("roll", b"x", ()), 0.0)
    assert book.rates("roll", 0.0).total == 0.0
