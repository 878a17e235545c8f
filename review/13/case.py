"""A write of the key table is carried out late, after one that the store turned away.

Exits with 1 if two upstreams held the same keys for over half a second.
"""

import asyncio
import os
import sys
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_3.fleet import (  # noqa: E402
    HOST,
    Fleet,
    build_configuration,
    find_free_ports,
)
from stand_ins_3.http import Answer, send_request  # noqa: E402
from stand_ins_3.store import Call  # noqa: E402
from stand_ins_3.upstream import Journal, Upstream, cancel  # noqa: E402
from stand_ins_3.watch import HoldWatch  # noqa: E402

TABLE_PREFIX = "wagtailrill/keys/"
LATE_S = 2.0
TURNED_AWAY_S = 1.0
HOLD_MAX_S = 0.5
# As for night-summary in the site file: the longest work; and its time budget.
LONG_WORK_MS = 2_200
DEADLINE_MS = 3_000
# Two of them are replaced, a share of 0.4.
UPSTREAMS = 5
SLOTS = 6
# As the configuration says; one that starts during traffic is cold so long.
WARMUP_S = 4.0
LOSING_S = 4.5
# Upstreams differ in speed; the fastest gets the keys of one that leaves.
FAST_PERCENT = 60
RUN_MAX_S = 100.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class Trouble:
    """Loses one answer of the store, and then turns that machine away for a while."""

    def __init__(self, fleet: Fleet, journal: Journal) -> None:
        self.is_armed = False
        self.done_writes = 0
        self._fleet, self._journal = fleet, journal
        self._machine = ""
        self._turned_away_until_s = -1.0
        self._has_read = False
        self._late: asyncio.Task[None] | None = None

    async def intercept(self, call: Call) -> Answer | bool | None:
        """Deal with a call, or let it pass."""
        now_s = self._journal.now_s()
        is_turned_away = (
            call.machine == self._machine and now_s < self._turned_away_until_s
        )
        self.done_writes += (
            self.is_armed and call.name == "kv-txn" and not is_turned_away
        )
        if self.is_armed and not self._machine and call.writes(TABLE_PREFIX):
            self._machine = call.machine
            self._journal.note(f"store: write of {call.machine} gets no answer")
            self._late = asyncio.create_task(self._execute_late(call))
            await asyncio.sleep(60)
            return None
        if call.machine != self._machine:
            return False
        if is_turned_away:
            return Answer(429, b"{}", {"content-type": "application/json"})
        if call.name == "kv-key" and not self._has_read:
            self._has_read = True
            self._turned_away_until_s = now_s + TURNED_AWAY_S
            self._journal.note(f"store: turns {call.machine} away after this read")
        return False

    async def _execute_late(self, call: Call) -> None:
        await asyncio.sleep(LATE_S)
        answer = await self._fleet.store.execute(call)
        self._journal.note(f"store: the late write is done, {answer.status}")


class Case:
    """The deployment and its callers."""

    def __init__(self) -> None:
        self.journal = Journal()
        self.fleet = Fleet(3)
        self.upstreams: list[Upstream] = []
        self.statuses: dict[int, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def add_upstream(self, name: str, warmup_s: float = 0.0) -> Upstream:
        """Start an upstream of the sharded service."""
        (port,) = find_free_ports(1)
        address = f"{HOST}:{port}"
        up = Upstream(self.fleet.store, self.journal, name, "ledger", address)
        up.sharded, up.slots, up.warmup_s = True, SLOTS, warmup_s
        self.upstreams.append(up)
        await up.start()
        return up

    def send(self, key: int, work_ms: int) -> None:
        """Send a request for a key to the next machine."""
        self._number += 1
        task = asyncio.create_task(self._send(self._number, key, work_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, number: int, key: int, work_ms: int) -> None:
        machine = self.fleet.machines[number % len(self.fleet.machines)]
        headers = {
            "host": "ledger.example",
            "request-id": f"r{number}",
            "deadline-ms": str(DEADLINE_MS),
            "shard-key": str(key),
        }
        path = f"/ledger/work-{work_ms}"
        result = await send_request(machine.front, "GET", path, headers)
        self.statuses[result.status] = self.statuses.get(result.status, 0) + 1
        self.journal.note(f"request r{number} for key {key}: {result.status}")

    async def send_some(self) -> None:
        """Send short requests for keys all over, until cancelled."""
        key = 0
        while True:
            key = (key + 7_919) % 65_536
            self.send(key, 20)
            await asyncio.sleep(0.05)

    async def run(self, with_trouble: bool) -> int:
        """Play the case and return the exit status."""
        first = await self.add_upstream("i-first")
        second = await self.add_upstream("i-second")
        second.slowness_percent = FAST_PERCENT
        for number in range(3, UPSTREAMS + 1):
            await self.add_upstream(f"i-{number}")
        services = [
            {
                "name": "ledger",
                "sharded": True,
                "kind": "safe",
                "timeout": f"{DEADLINE_MS}ms",
            }
        ]
        self.fleet.store.put("op/config", build_configuration(3, services))
        await self.fleet.start()
        watch = HoldWatch(self.upstreams, self.journal)
        watching = asyncio.create_task(watch.run())
        sending = asyncio.create_task(self.send_some())
        trouble = Trouble(self.fleet, self.journal)
        self.fleet.store.intercept = trouble.intercept
        try:
            await asyncio.sleep(8)
            await self.add_upstream("i-new-1", WARMUP_S)
            await asyncio.sleep(1.0)
            ranges = [grant for grant in first.grants if grant.until_s]
            step = max(1, len(ranges) // SLOTS)
            for grant in ranges[::step][:SLOTS]:
                self.send((grant.first + grant.last) // 2, LONG_WORK_MS)
            await asyncio.sleep(0.2)
            first.drain()
            await asyncio.sleep(0.3)
            await self.add_upstream("i-new-2", WARMUP_S)
            await asyncio.sleep(0.8)
            trouble.is_armed = with_trouble
            second.drain()
            await asyncio.sleep(LOSING_S)
            trouble.is_armed = False
            if with_trouble:
                self.journal.note(
                    f"store: {trouble.done_writes} writes done in {LOSING_S} s, "
                    "at most one of them without an answer"
                )
            await asyncio.sleep(7.5)
        finally:
            await cancel(sending)
            await cancel(watching)
        longest_s = watch.find_longest_s()
        self.journal.note(f"answers by status: {self.statuses}")
        self.journal.note(f"two upstreams held the same keys for {longest_s:.2f} s")
        if self.statuses.get(200, 0) < 100:
            return COULD_NOT_RUN
        return BROKEN if longest_s > HOLD_MAX_S else HELD


async def main() -> int:
    """Run the case, and end all that it has started."""
    case = Case()
    try:
        async with asyncio.timeout(RUN_MAX_S):
            return await case.run(os.environ.get("TROUBLE") != "0")
    finally:
        await case.fleet.stop()
        for up in case.upstreams:
            await up.crash()
        (HERE / "record.txt").write_text("\n".join(case.journal.lines) + "\n")


if __name__ == "__main__":
    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)
