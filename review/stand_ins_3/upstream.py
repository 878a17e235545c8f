"""Stand-in of an upstream, after the page on the protocol."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http import Answer, Request, Server
from .store import MS_PER_S, Store, parse_time_s

KEYS = 65_536
HEARTBEAT_S = 0.87
QUEUE_MAX = 24


@dataclass
class Grant:
    """Keys that an upstream holds."""

    first: int
    last: int
    fence: int
    until_s: float


@dataclass
class Journal:
    """What upstreams and callers have seen, with seconds since the start."""

    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():8.3f} {text}")


class Upstream:
    """One upstream: a process with an id, which may start again under it.

    The path of a request names its work as `/work-MS` at the end.
    """

    def __init__(
        self, store: Store, journal: Journal, name: str, service: str, address: str
    ) -> None:
        self.name, self.service, self.address = name, service, address
        self.sharded = False
        self.slots = 6
        # How long work takes on its machine, in per cent of the usual.
        self.slowness_percent = 100
        self.zone = "zone-a"
        self.state = "ready"
        # For how long the process is cold after its start.
        self.warmup_s = 0.0
        self.clock_ahead_s = 0.0
        # Makes the body of an answer from the id of its request.
        self.make_body: Callable[[str], bytes] = lambda rid: f"for {rid}".encode()
        self.ends_answers_with_connection = False
        self.ran: list[tuple[float, str, int]] = []
        self.grants: list[Grant] = []
        # Given a control call, for how many seconds it is left undone, 0 for none.
        self.choose_delay_s: Callable[[], float] = lambda: 0.0
        self.takes: list[tuple[float, int, int, int]] = []
        self.on_begin: Callable[[Upstream, Request, int], None] = _ignore
        self._fences: list[tuple[int, int, int]] = []
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._running: dict[int, int] = {}
        self._next_run = 0
        self._waiting = 0
        self._free = asyncio.Condition()
        self._store, self._journal = store, journal
        self._server: Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._born_ms = self._seq = 0
        self._started_s = 0.0

    @property
    def is_up(self) -> bool:
        """Return whether a process runs."""
        return self._server is not None

    # Life

    async def start(self) -> None:
        """Start a process: it holds and knows nothing of before."""
        now_s = time.time() + self.clock_ahead_s
        self._born_ms, self._seq = int(now_s * MS_PER_S), 0
        self._started_s = time.monotonic()
        self.grants, self._fences, self._running = [], [], {}
        self.state = "ready"
        self._server = Server(self._handle)
        host, _, port = self.address.rpartition(":")
        await self._server.start(host, int(port))
        self._beat = asyncio.create_task(self._write_entries())
        self._journal.note(f"{self.name} starts, born {self._born_ms}")

    async def crash(self) -> None:
        """End the process without a word; its entry stays until it expires."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            await self._server.stop()
        self._server = None
        self._running = {}
        self._journal.note(f"{self.name} crashes")

    def drain(self) -> None:
        """Report that the upstream is leaving; it goes on serving."""
        self.state = "draining"
        self.write_entry()
        self._journal.note(f"{self.name} reports draining, confirmed by the store")

    async def leave(self) -> None:
        """End after draining, and remove the entry."""
        await self.crash()
        self._store.remove(f"servers/{self.name}")

    async def _write_entries(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry once."""
        self._seq += 1
        cold_left_s = max(0.0, self._started_s + self.warmup_s - time.monotonic())
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": f"{cold_left_s * MS_PER_S:.0f}ms",
            "seq": self._seq,
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.name}", json.dumps(entry).encode())

    # Requests

    async def _handle(self, request: Request) -> Answer | None:
        if request.path in ("/grant", "/release"):
            late_s = self.choose_delay_s()
            if late_s:
                return await self._carry_out_late(request, late_s)
        if request.path == "/grant":
            return self._take_grant(json.loads(request.body))
        if request.path == "/release":
            return await self._release(json.loads(request.body))
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            return Answer(status, b"", {"instance-id": self.name, **self._load()})
        return await self._run(request)

    async def _carry_out_late(self, request: Request, late_s: float) -> None:
        """Leave an order unanswered, and carry it out later in the same process."""
        arrived_s, server = time.monotonic(), self._server

        async def carry_out() -> None:
            await asyncio.sleep(late_s)
            if server is not self._server:
                return
            fields = json.loads(request.body)
            if request.path == "/grant":
                self._take_grant(fields, arrived_s)
            else:
                await self._release(fields)

        task = asyncio.create_task(carry_out())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        await asyncio.sleep(60)

    def _load(self) -> dict[str, str]:
        counts = (len(self._running), self._waiting, self.slots, self.slowness_percent)
        return {"upstream-load": ",".join(map(str, counts))}

    async def _run(self, request: Request) -> Answer | None:
        headers = request.headers
        echo = {"request-id": headers.get("request-id", "")}
        target = headers.get("target-instance", self.name)
        key = int(headers["shard-key"]) if self.sharded else -1
        if target != self.name or (self.sharded and self.find_grant(key) is None):
            return Answer(421, b"", {"not-executed": "other", **echo, **self._load()})
        if self._waiting >= QUEUE_MAX:
            return Answer(503, b"", {"not-executed": "full", **echo, **self._load()})
        server = self._server
        self._waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: len(self._running) < self.slots)
        finally:
            self._waiting -= 1
        self._next_run += 1
        run = self._next_run
        self._running[run] = key
        self.ran.append((self._journal.now_s(), echo["request-id"], key))
        self.on_begin(self, request, key)
        self._journal.note(f"{self.name} runs {echo['request-id']}")
        work_ms = int(request.path.rstrip("/").rpartition("-")[2])
        try:
            await asyncio.sleep(work_ms / MS_PER_S * self.slowness_percent / 100)
        finally:
            self._running.pop(run, None)
            async with self._free:
                self._free.notify_all()
        if server is not self._server:
            return None
        body = self.make_body(echo["request-id"])
        signed = {"upstream-signature": f"{len(body):x}.{run}", **echo, **self._load()}
        has_no_length = self.ends_answers_with_connection
        return Answer(200, body, signed, ends_with_connection=has_no_length)

    # Keys

    def find_grant(self, key: int) -> Grant | None:
        """Return the grant in force for a key."""
        now_s = time.monotonic()
        for grant in self.grants:
            if grant.first <= key <= grant.last and now_s < grant.until_s:
                return grant
        return None

    def _highest_fence(self, first: int, last: int) -> int:
        seen = [f for a, b, f in self._fences if a <= last and first <= b]
        return max(seen, default=0)

    def _take_grant(
        self, fields: dict[str, Any], arrived_s: float | None = None
    ) -> Answer:
        """Take keys; their time counts from the arrival of the call."""
        first, last, fence = fields["from"], fields["target"], fields["fence"]
        if self._highest_fence(first, last) > fence:
            return Answer(409, b"", self._load())
        self._fences.append((first, last, fence))
        self._cut_grants(first, last)
        if arrived_s is None:
            arrived_s = time.monotonic()
        until_s = arrived_s + parse_time_s(fields["hold_time"])
        self.takes.append((self._journal.now_s(), first, last, fence))
        self.grants.append(Grant(first, last, fence, until_s))
        return Answer(200, b"{}", self._load())

    async def _release(self, fields: dict[str, Any]) -> Answer:
        first, last, fence = fields["from"], fields["target"], fields["fence"]
        self._fences.append((first, last, fence))
        self._cut_grants(first, last)
        while any(first <= key <= last for key in self._running.values()):
            await asyncio.sleep(0.005)
        return Answer(200, b"{}", {"handover": f"{self.name}{fence}", **self._load()})

    def _cut_grants(self, first: int, last: int) -> None:
        """Take a range out of the grants, of which the rest stays."""
        kept = []
        for grant in self.grants:
            if grant.last < first or grant.first > last:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(Grant(grant.first, first - 1, grant.fence, grant.until_s))
            if grant.last > last:
                kept.append(Grant(last + 1, grant.last, grant.fence, grant.until_s))
        self.grants = kept


def _ignore(upstream: Upstream, request: Request, key: int) -> None:
    return


async def cancel(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task and wait for its end."""
    if task is not None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
