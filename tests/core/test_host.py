"""Guards the host that steps components."""

import random

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.events import DrainRequested
from wagtailrill.core.host import ComponentHost
from wagtailrill.core.invariants import Invariants


def test_hooks_run_before_the_event_and_see_the_new_time():
    """Guards against an event handled before a lapsed lease is noticed."""
    ctx = Context(Identity("a", 1, "dc"), random.Random(1), Invariants())
    host = ComponentHost(ctx)
    seen = []
    host.on_event(DrainRequested, lambda event: seen.append("event"))
    host.before_step(lambda: seen.append(ctx.now_s))
    host.step(DrainRequested(1.0), 5.0, 0.0)
    assert seen == [5.0, "event"]
