"""Measures what a dispatcher spends on a request, by the number of servers.

A request is placed and another one ends; the ticks that fall into that time are
included. Only the decision code runs, on a virtual clock.
"""

import argparse
import random
import sys
import time
from collections import deque

from wagtailrill.core.context import Context, Identity
from wagtailrill.core.invariants import Invariants
from wagtailrill.placement.const import TICK_INTERVAL_S
from wagtailrill.placement.dispatcher import Dispatcher, DispatcherParts
from wagtailrill.placement.messages import (
    NO_KEY,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from wagtailrill.servers.models import ServerEntry
from wagtailrill.servers.table import ServerTable

SERVICE = "bench"
SLOTS = 6
KEY_POSITIONS = 65_536
DATA_CENTRES = ("north", "south", "west")
SERVER_COUNTS = (12, 30, 100, 300, 1_000, 3_000)
REQUESTS_PER_S = 1_000
# Long, so that queued requests stay queued.
TARGET_S = 400.0
LEFT_S = 600.0
MS_PER_S = 1_000.0


class BenchRun:
    """A dispatcher with servers, whose requests are placed and ended in turn."""

    def __init__(self, server_count: int, keyed: bool) -> None:
        self.running: deque[tuple[int, str]] = deque()
        self.queued_count = 0
        self._ctx = Context(Identity("i-1", 1, "north"), random.Random(1), Invariants())
        self._ctx.set_time(100.0, 1_800_000_000.0)
        self._rng = random.Random(2)
        self._keyed = keyed
        self._number = 0
        names = [f"s-{number}" for number in range(server_count)]
        servers = ServerTable(self._ctx)
        servers.update_entries({name: _make_entry(name) for name in names})
        servers.rows_by_service = {SERVICE: tuple(servers.rows.values())}
        self._dispatcher = Dispatcher(
            DispatcherParts(
                self._ctx,
                servers,
                SERVICE,
                lambda position: names[position * server_count // KEY_POSITIONS],
                lambda position: 0.0,
            )
        )

    def place(self) -> None:
        """Place or queue a request."""
        self._number += 1
        position = self._rng.randrange(KEY_POSITIONS) if self._keyed else NO_KEY
        request = PlaceRequest(
            self._number, SERVICE, position, 1, 0.0, TARGET_S, LEFT_S, (), False
        )
        self._dispatcher.place_request(request, "i-1", "north", self._take_answer)

    def end(self) -> None:
        """End the oldest running request."""
        number, server = self.running.popleft()
        end = PlaceEnd(number, SERVICE, server, "answered", 0.15, 3, 0, 1.0)
        self._dispatcher.record_end(end, "i-1")

    def tick(self) -> None:
        """Let the time of a tick pass."""
        self._ctx.set_time(self._ctx.now_s + TICK_INTERVAL_S, 1_800_000_000.0)
        self._dispatcher.tick()

    def measure_ms(self, count: int) -> float:
        """Return the mean processor time in ms for a request placed and one ended."""
        requests_per_tick = round(REQUESTS_PER_S * TICK_INTERVAL_S)
        start_s = time.process_time()
        for number in range(count):
            self.place()
            self.end()
            if number % requests_per_tick == 0:
                self.tick()
        return (time.process_time() - start_s) / count * MS_PER_S

    def _take_answer(self, answer: PlaceAnswer) -> None:
        if answer.verdict is PlaceVerdict.PLACED:
            self.running.append((answer.number, answer.backend_server))
        elif answer.verdict is PlaceVerdict.QUEUED:
            self.queued_count += 1


def _make_entry(name: str) -> ServerEntry:
    number = int(name.removeprefix("s-"))
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return ServerEntry(name, SERVICE, "127.0.0.1:9", data_centre, SLOTS, 0)


def measure(server_count: int, keyed: bool, queued: int, count: int) -> float:
    """Return the time in ms with half of the slots busy, or all and some queued."""
    run = BenchRun(server_count, keyed)
    busy_slots = server_count * SLOTS if queued else server_count * SLOTS // 2
    for _ in range(busy_slots):
        run.place()
    while run.queued_count < queued:
        run.place()
    return run.measure_ms(count)


def main() -> int:
    """Print a table with a row for each number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, nargs="+", default=SERVER_COUNTS)
    parser.add_argument("--queued", type=int, default=1_000)
    parser.add_argument("--requests", type=int, default=1_000)
    args = parser.parse_args()
    print("ms for a request placed and one ended")
    print(f"| servers | any server | {args.queued} queued | keyed | keyed, queued |")
    print("|---|---|---|---|---|")
    for server_count in args.servers:
        values = [
            measure(server_count, keyed, queued, args.requests)
            for keyed in (False, True)
            for queued in (0, args.queued)
        ]
        print(f"| {server_count} | " + " | ".join(f"{v:.3f}" for v in values) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
