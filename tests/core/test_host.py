"""Tests the component host."""

import random

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.events import DrainRequested
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants


def test_step_hooks_run_before_the_event_and_see_the_new_time():
    """Guards against an event that is handled before the end of a lease is noticed."""
    ctx = Context(Identity("a", 1, "dc"), random.Random(1), Invariants())
    host = ComponentHost(ctx)
    calls = []
    host.register_event_handler(DrainRequested, lambda event: calls.append("event"))
    host.register_step_hook(lambda: calls.append(ctx.now_s))
    host.step(DrainRequested(1.0), 5.0, 0.0)
    assert calls == [5.0, "event"]
