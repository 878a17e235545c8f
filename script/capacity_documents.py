"""Sizes of documents and memory of decision code, over what they grow with."""

import gc
import random
import secrets
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import attrs

from wagtailrill.configuration.models import Document
from wagtailrill.configuration.patch import make_push
from wagtailrill.declaration.parse import parse
from wagtailrill.declaration.text import to_json
from wagtailrill.engine.registry import make_registry
from wagtailrill.idempotency.models import ClaimKey, Outcome, StoredAnswer
from wagtailrill.idempotency.records import PartitionRecords
from wagtailrill.membership.table import (
    CellTable,
    HotKey,
    ServiceSlots,
    SlotOwner,
)
from wagtailrill.ownership.messages import KeyLoad, LoadReport
from wagtailrill.partitions.directory import Home, Member
from wagtailrill.peer.const import FRAME_LENGTH_BYTES
from wagtailrill.peer.frame import FrameCodec
from wagtailrill.peer.registry import Envelope, PeerMessage
from wagtailrill.stand_ins.capacity_cell import CapacityFleet, CellSize
from wagtailrill.stand_ins.capacity_fit import Point, Series, TargetSize

KEY_SLOTS: Final = 1024
PARTITIONS: Final = 64
SERVERS: Final = 13
MEMBERS: Final = 24
SERVICES: Final = 3
ORGANISATIONS: Final = (8, 100, 1000)
BACKEND_SERVERS: Final = (13, 50, 200)
HOT_KEYS: Final = (0, 50, 230)
RECORDS: Final = (1_000, 5_000, 20_000)
ANSWER_BYTES: Final = 200
REPEATS: Final = 5
TARGET: Final = TargetSize()


def _table(services: int, hot_keys: int) -> CellTable:
    rng = random.Random(1)
    members = tuple(Member(f"instance-{n:02}", 2**40 + n) for n in range(MEMBERS))

    def owner() -> SlotOwner:
        return SlotOwner(f"server-{rng.randrange(SERVERS):02}", rng.randrange(10_000))

    return CellTable(
        term=12,
        coordinator=members[0],
        write_id="0123456789abcdef",
        members=members,
        homes=tuple(
            Home(members[n % MEMBERS].instance, 10 + n) for n in range(PARTITIONS)
        ),
        key_slots=tuple(
            ServiceSlots(f"service-{n}", tuple(owner() for _ in range(KEY_SLOTS)))
            for n in range(services)
        ),
        hot_keys=tuple(
            HotKey("service-0", rng.getrandbits(64), owner()) for _ in range(hot_keys)
        ),
        joins=tuple(range(1, MEMBERS + 1)),
    )


def _frame_bytes(message: PeerMessage) -> int:
    codec = FrameCodec(make_registry(), (b"measurement",))
    envelope = Envelope("instance-01", 2**40, "instance-02", 2**40, 1000, message)
    return len(codec.encode(envelope)) + FRAME_LENGTH_BYTES


def _report_bytes(hot_keys: int) -> int:
    rng = random.Random(1)
    loads = tuple(
        KeyLoad(rng.getrandbits(64), rng.uniform(1, 50)) for _ in range(hot_keys)
    )
    rates = b"".join(rng.randbytes(2) for _ in range(KEY_SLOTS))
    return _frame_bytes(LoadReport("service-0", rates, loads))


def _configuration(size: CellSize) -> tuple[CapacityFleet, bytes]:
    capacity = CapacityFleet(1, size)
    return capacity, to_json(capacity.declaration).encode()


def _push_bytes(organisations: int) -> int:
    capacity, old = _configuration(CellSize(1, organisations=organisations))
    capacity.change_rates()
    new = to_json(capacity.declaration).encode()
    push = make_push(Document.of(2, new), Document.of(1, old), True)
    return _frame_bytes(push)


def _best_ms(function: Callable[[], object]) -> float:
    times_s = []
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - start_s)
    return 1e3 * min(times_s)


def _table_ms(services: int) -> float:
    table = _table(services, TARGET.hot_keys)
    return _best_ms(lambda: CellTable.from_bytes(table.to_bytes()))


def _parse_ms(organisations: int) -> float:
    text = _configuration(CellSize(1, organisations=organisations))[1]
    return _best_ms(lambda: parse(text))


def _series(
    name: str,
    unit: str,
    size_name: str,
    sizes: tuple[int, ...],
    value: Callable[[int], float],
) -> Series:
    points = tuple(Point(size, value(size)) for size in sizes)
    return Series(name, unit, size_name, points, sizes[-1])


def document_series() -> list[Series]:
    """Measure the documents in the store and the messages that carry them."""

    def text_bytes(size: CellSize) -> int:
        return len(_configuration(size)[1])

    return [
        _series(
            "cell table",
            "B",
            "services",
            (1, 2, 4, 8),
            lambda n: len(_table(n, 0).to_bytes()),
        ),
        _series(
            "cell table, 3 services",
            "B",
            "hot_keys",
            HOT_KEYS,
            lambda n: len(_table(SERVICES, n).to_bytes()),
        ),
        _series(
            "cell table with 230 hot keys, written and read",
            "ms",
            "services",
            (1, 2, 4, 8),
            _table_ms,
        ),
        _series("load report", "B", "hot_keys", HOT_KEYS, _report_bytes),
        _series(
            "configuration text",
            "B",
            "organisations",
            ORGANISATIONS,
            lambda n: text_bytes(CellSize(1, organisations=n)),
        ),
        _series(
            "configuration text",
            "B",
            "backend_servers",
            BACKEND_SERVERS,
            lambda n: text_bytes(CellSize(1, backend_servers=n)),
        ),
        _series("push of one change", "B", "organisations", ORGANISATIONS, _push_bytes),
        _series(
            "configuration parsed", "ms", "organisations", ORGANISATIONS, _parse_ms
        ),
    ]


def _traced_bytes(make: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _engine_bytes(size: CellSize) -> float:
    def make() -> CapacityFleet:
        capacity = CapacityFleet(1, size)
        capacity.settle()
        return capacity

    return _traced_bytes(make) / size.members


def _records_bytes(count: int) -> int:
    def make() -> PartitionRecords:
        records = PartitionRecords(0, 1, 0)
        claimant = Member("instance-01", 1)
        for n in range(count):
            key = ClaimKey("organisation", "service", secrets.token_hex(18))
            records.claim(key, n, n, claimant, n)
            answer = StoredAnswer(200, (), bytes(ANSWER_BYTES))
            records.complete(key, claimant, n, Outcome.ANSWERED, answer, True)
        return records

    return _traced_bytes(make)


def memory_series() -> list[Series]:
    """Measure the memory of engines and of claim records."""
    base = CellSize(3)
    return [
        _series(
            "engine memory",
            "B",
            "members",
            (3, 6, 12, 24),
            lambda n: _engine_bytes(attrs.evolve(base, members=n)),
        ),
        _series(
            "engine memory",
            "B",
            "organisations",
            ORGANISATIONS,
            lambda n: _engine_bytes(attrs.evolve(base, organisations=n)),
        ),
        _series(
            "engine memory",
            "B",
            "backend_servers",
            BACKEND_SERVERS,
            lambda n: _engine_bytes(attrs.evolve(base, backend_servers=n)),
        ),
        _series("claim records", "B", "records", RECORDS, _records_bytes),
    ]
