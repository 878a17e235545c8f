"""Contract of `PlatformStore`, for the in-memory model and the HTTP client."""

import anyio
import pytest

from wagtailrill.platform.http_store import HttpStore
from wagtailrill.platform.memory import StoreModel
from wagtailrill.platform.models import (
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Read,
    Revoked,
    Stored,
    StoreErrorKind,
    Watch,
    Write,
    Written,
)
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.store import StoreStandIn

Advance = float  # a step that lets time pass, in seconds
LEASE = "lease-1"
CONTRACT = {
    "an absent key has revision 0": [(Read("a/b"), Stored("a/b", b"", 0))],
    "a write is read back": [
        (Write("a/b c%2F?é", b"\x00\xff", 0), Written(1)),
        (Read("a/b c%2F?é"), Stored("a/b c%2F?é", b"\x00\xff", 1)),
    ],
    "revisions rise over all keys": [
        (Write("a", b"1", 0), Written(1)),
        (Write("b", b"1", 0), Written(2)),
        (Write("a", b"2", 1), Written(3)),
    ],
    "a stale writer is refused": [
        (Write("a", b"1", 0), Written(1)),
        (Write("a", b"2", 0), StoreErrorKind.CONFLICT),
        (Write("a", b"2", 9), StoreErrorKind.CONFLICT),
        (Read("a"), Stored("a", b"1", 1)),
    ],
    "an absent key cannot be replaced": [
        (Write("a", b"1", 5), StoreErrorKind.CONFLICT)
    ],
    "a value beyond 1 MB is refused": [
        (Write("a", b"x" * 1_000_000, 0), Written(1)),
        (Write("a", b"x" * 1_000_001, 1), StoreErrorKind.TOO_LARGE),
        (Write("b", b"x" * 3_000_000, 0), StoreErrorKind.TOO_LARGE),
    ],
    "a lease deletes its keys when it lapses": [
        (LeaseGrant(2.0), Leased(LEASE, 2.0)),
        (Write("a", b"1", 0, LEASE), Written(1)),
        (Advance(1.9), None),
        (LeaseRenew(LEASE), Leased(LEASE, 2.0)),
        (Advance(1.9), None),
        (Read("a"), Stored("a", b"1", 1)),
        (Advance(0.1), None),
        (Read("a"), Stored("a", b"", 0)),
        (LeaseRenew(LEASE), StoreErrorKind.LEASE_LAPSED),
        (Write("a", b"1", 0, LEASE), StoreErrorKind.LEASE_LAPSED),
    ],
    "a revoked lease deletes its keys": [
        (LeaseGrant(2.0), Leased(LEASE, 2.0)),
        (Write("a", b"1", 0, LEASE), Written(1)),
        (LeaseRevoke(LEASE), Revoked()),
        (Read("a"), Stored("a", b"", 0)),
        (LeaseRevoke(LEASE), Revoked()),
    ],
    "a watch of an older revision returns at once": [
        (Write("a", b"1", 0), Written(1)),
        (Watch("a", 0, 30.0), Stored("a", b"1", 1)),
    ],
}


class Clock:
    """A clock that moves only when told."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class MemoryStore:
    """`PlatformStore` over the in-memory model."""

    def __init__(self, clock):
        self.model = StoreModel()
        self.clock = clock

    async def async_call(self, operation):
        return self.model.apply(operation, self.clock())


async def async_run(store, clock, steps):
    for operation, expected in steps:
        if isinstance(operation, float):
            clock.now_s += operation
            continue
        result = await store.async_call(operation)
        found = result.ok if result.is_ok() else result.error.kind
        assert found == expected, operation


async def async_run_over_http(clock, steps):
    async with (
        async_serve(StoreStandIn(clock=clock)) as address,
        HttpStore((address,), timeout_s=5.0) as store,
    ):
        await async_run(store, clock, steps)


@pytest.mark.parametrize("rule", CONTRACT)
def test_memory_store_keeps_the_contract(rule):
    """Guards against a model that differs from the store that instances meet."""
    clock = Clock()
    anyio.run(async_run, MemoryStore(clock), clock, CONTRACT[rule])


@pytest.mark.parametrize("rule", CONTRACT)
def test_http_store_keeps_the_contract(rule):
    """Guards against a client or stand-in that differs from the model."""
    anyio.run(async_run_over_http, Clock(), CONTRACT[rule])
