"""Election of the coordinator through the store lease."""

from collections.abc import Callable

import attrs
import xxhash

from ..partitions.directory import Member
from ..platform.models import (
    Leased,
    LeaseGrant,
    LeaseRevoke,
    Read,
    Stored,
    StoreErrorKind,
    StoreOperation,
    StoreResult,
    Watch,
    Write,
)
from .const import (
    ELECTION_RETRY_S,
    LATE_RANKS_WAIT_S,
    RANK_DELAY_S,
    RANK_DELAYS_MAX,
    WATCH_TIMEOUT_S,
    WATCHING_RANKS,
)
from .follower import Follower
from .store_calls import StoreCalls
from .store_lease import StoreLease
from .view import CellView


def rendezvous_order(cell: str, members: list[Member]) -> list[Member]:
    """Return members in the order in which they take over."""

    def weight(member: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{cell}\0{member.instance}".encode())

    return sorted(members, key=lambda m: (weight(m), m.incarnation))


@attrs.define
class Attempt:
    """Progress of one attempt to acquire the store lease."""

    start_s: float = 0.0
    lease_id: str = ""


class Election:
    """Acquires the coordinator's store lease when the coordinator is silent.

    `on_won` gets the lease; writing the new term is up to its receiver.
    """

    def __init__(
        self,
        follower: Follower,
        store: StoreCalls,
        on_won: Callable[[StoreLease], None],
    ) -> None:
        self.follower = follower
        self.view: CellView = follower.view
        self.ctx = follower.ctx
        self.store = store
        self.listed: frozenset[str] = frozenset()
        self.on_won = on_won
        self.stopped = False
        self._forced = False
        self._busy = False
        self._next_s = float("-inf")
        self._attempt = Attempt()

    def force(self) -> None:
        """Try at once, because this instance's own store lease ended."""
        self._forced = True
        self._next_s = self.ctx.now_s

    def defer(self) -> None:
        """Leave the next turn to other members."""
        self._next_s = self.ctx.now_s + ELECTION_RETRY_S

    def check(self) -> None:
        """Start an attempt if one is wanted and due."""
        if self._busy or self.ctx.now_s < self._next_s or not self._wanted():
            return
        if self.ctx.now_s < self._turn_s():
            return
        self._busy = True
        self._call(Read(self.view.cfg.coordinator_key), self._holder_read)

    def _wanted(self) -> bool:
        if self.stopped or self.follower.leaving:
            return False
        view = self.view
        silent_s = self.ctx.now_s - view.heard_s
        return (
            self._forced
            or silent_s > view.cfg.suspicion_timeout_s
            or (view.store_down and self.follower.store_reachable is True)
            or (view.table is not None and view.table.resigned)
        )

    def _turn_s(self) -> float:
        rank = self._rank()
        if self._forced or rank < WATCHING_RANKS or self.view.table is None:
            return float("-inf")
        wait_s = self.view.cfg.suspicion_timeout_s + LATE_RANKS_WAIT_S
        return self.view.heard_s + wait_s + rank * RANK_DELAY_S

    def _rank(self) -> int:
        view = self.view
        table = view.table
        members = list(table.members) if table is not None else []
        silent = {*view.suspects}
        if view.coordinator is not None:
            silent.add(view.coordinator.instance)
        alive = [m for m in members if m.instance not in silent]
        known = {m.instance for m in members}
        others = [Member(name, 0) for name in self.listed - known]
        cell = view.cfg.cell
        order = rendezvous_order(cell, alive) + rendezvous_order(cell, others)
        names = [m.instance for m in order]
        me = view.me.instance
        rank = names.index(me) if me in names else len(names)
        return min(rank, RANK_DELAYS_MAX)

    def _call(
        self, operation: StoreOperation, then: Callable[[StoreResult], None]
    ) -> None:
        extra_s = operation.timeout_s if isinstance(operation, Watch) else 0.0
        self.store.call(operation, then, extra_s)

    def _give_up(self) -> None:
        self._busy = False
        self._forced = False
        jitter_s = self.ctx.rng.uniform(0.0, RANK_DELAY_S)
        self._next_s = self.ctx.now_s + ELECTION_RETRY_S + jitter_s

    def _holder_read(self, result: StoreResult) -> None:
        if result.is_error() or not self._wanted():
            self._give_up()
            return
        assert isinstance(result.ok, Stored)
        stored = result.ok
        if stored.revision == 0:
            self._wait_for_turn()
            return
        self._greet(stored.value)
        watch = Watch(stored.key, stored.revision, WATCH_TIMEOUT_S)
        self._call(watch, self._watched)

    def _watched(self, result: StoreResult) -> None:
        gone = (
            result.is_ok() and isinstance(result.ok, Stored) and result.ok.revision == 0
        )
        if gone and self._wanted():
            self._wait_for_turn()
        else:
            self._give_up()

    def _greet(self, value: bytes) -> None:
        """Report to the holder of the store lease, in case it is not followed yet."""
        instance, incarnation, _ = value.decode().rsplit(" ", 2)
        holder = Member(instance, int(incarnation))
        if holder not in (self.view.me, self.view.coordinator):
            self.follower.reply_to(holder)

    def _wait_for_turn(self) -> None:
        delay_s = 0.0 if self._forced else self._rank() * RANK_DELAY_S
        if delay_s == 0.0:
            self._acquire()
        else:
            self.ctx.timers.call_at(self.ctx.now_s + delay_s, self._take_turn)

    def _take_turn(self) -> None:
        if not self._wanted():
            self._give_up()
            return
        self._call(Read(self.view.cfg.coordinator_key), self._turn_read)

    def _turn_read(self, result: StoreResult) -> None:
        if result.is_ok() and isinstance(result.ok, Stored):
            if result.ok.revision == 0 and self._wanted():
                self._acquire()
                return
            if result.ok.revision:
                self._greet(result.ok.value)
        self._give_up()

    def _acquire(self) -> None:
        self._attempt = Attempt(start_s=self.ctx.now_s)
        grant = LeaseGrant(self.view.cfg.coordinator_lease_s)
        self._call(grant, self._granted)

    def _granted(self, result: StoreResult) -> None:
        if result.is_error() or not self._wanted():
            self._give_up()
            return
        assert isinstance(result.ok, Leased)
        self._attempt.lease_id = result.ok.lease_id
        write = Write(
            self.view.cfg.coordinator_key, self._value(), 0, result.ok.lease_id
        )
        self._call(write, self._written)

    def _value(self) -> bytes:
        me = self.view.me
        return f"{me.instance} {me.incarnation} {self._attempt.lease_id}".encode()

    def _written(self, result: StoreResult) -> None:
        if result.is_ok():
            self._win()
        elif result.error.kind is StoreErrorKind.UNAVAILABLE:
            self._call(Read(self.view.cfg.coordinator_key), self._write_read_back)
        else:
            self._abandon()

    def _write_read_back(self, result: StoreResult) -> None:
        stored = result.ok if result.is_ok() else None
        if isinstance(stored, Stored) and stored.value == self._value():
            self._win()
        else:
            self._abandon()

    def _abandon(self) -> None:
        self._call(LeaseRevoke(self._attempt.lease_id), lambda result: None)
        self._give_up()

    def _win(self) -> None:
        attempt = self._attempt
        self._give_up()
        if self.stopped:
            self._call(LeaseRevoke(attempt.lease_id), lambda result: None)
            return
        lease = StoreLease(self.view.cfg, self.store, attempt.lease_id, attempt.start_s)
        self.on_won(lease)
