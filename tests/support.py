"""Helpers that the tests of several folders share."""

import random

from wagtailrill.core.commands import CallStore, LogEvent, SendPeer
from wagtailrill.core.context import Context, Identity
from wagtailrill.core.invariants import Invariants
from wagtailrill.servers.models import ServerEntry
from wagtailrill.servers.table import ServerTable


def make_context(instance: str = "i-1", now_s: float = 100.0) -> Context:
    """Return the context of an instance in data centre `north`."""
    ctx = Context(Identity(instance, 1, "north"), random.Random(instance), Invariants())
    ctx.set_time(now_s, 1_800_000_000.0)
    ctx.timers.advance(now_s)
    return ctx


def advance_time(ctx: Context, seconds: float) -> None:
    """Advance the clocks of a context and run the timers that are due."""
    ctx.set_time(ctx.now_s + seconds, ctx.wall_s + seconds)
    ctx.timers.advance(ctx.now_s)


def list_logged_events(ctx: Context) -> list[str]:
    """Return the events of the queued log lines."""
    return [c.event for c in ctx.commands if isinstance(c, LogEvent)]


def list_sent_messages(ctx: Context, cls: type) -> list[object]:
    """Return the queued peer messages of a class."""
    return [
        c.envelope.message
        for c in ctx.commands
        if isinstance(c, SendPeer) and isinstance(c.envelope.message, cls)
    ]


def list_store_calls(ctx: Context, cls: type) -> list[CallStore]:
    """Return the queued store calls with an operation of a class."""
    return [
        c
        for c in ctx.commands
        if isinstance(c, CallStore) and isinstance(c.operation, cls)
    ]


def make_server_entry(name: str, service: str = "box", **fields: object) -> ServerEntry:
    """Return the entry of a backend server in data centre `north`."""
    values: dict[str, object] = {
        "name": name,
        "service": service,
        "address": "127.0.0.1:9",
        "data_centre": "north",
        "slots": 2,
        "connections_max": 0,
        "start_id": name + "/1",
        "revision": 1,
    }
    return ServerEntry(**(values | fields))  # type: ignore[arg-type]


def make_table(ctx: Context, *entries: ServerEntry) -> ServerTable:
    """Return a server table with some entries."""
    table = ServerTable(ctx)
    table.update_entries({e.name: e for e in entries})
    return table
