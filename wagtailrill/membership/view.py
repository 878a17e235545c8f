"""What a member knows of its cell: term, coordinator, table and its own lease."""

from collections.abc import Callable

import attrs

from ..core.const import PARTITION_COUNT
from ..core.context import Context
from ..partitions.directory import Home, Member, PartitionListener
from .models import MembershipSettings
from .table import CellTable

TableListener = Callable[[CellTable, int], None]
NO_HOMES = (Home("", 0),) * PARTITION_COUNT


@attrs.define
class Listeners:
    """Receivers of table changes, in the order in which they are called."""

    tables: list[TableListener] = attrs.field(factory=list)
    partitions: list[PartitionListener] = attrs.field(factory=list)


class CellView:
    """The last applied table, the highest term and the own lease of one member.

    The lease belongs to the member's join number. When it lapses, everything held
    under that number is void until the coordinator has written a higher one.
    """

    def __init__(self, ctx: Context, cfg: MembershipSettings) -> None:
        self.ctx = ctx
        self.cfg = cfg
        self.me = Member(ctx.identity.instance, ctx.identity.incarnation)
        self.listeners = Listeners()
        self.term = 0
        self.coordinator: Member | None = None
        self.heard_s = float("-inf")
        self.store_down = False
        self.suspects: frozenset[str] = frozenset()
        self.table: CellTable | None = None
        self.version = 0
        self.lapsed_join = 0
        self.lease_end_s = float("-inf")
        self.held: dict[int, int] = {}
        self._leased = False

    @property
    def join(self) -> int:
        """Return the own join number, 0 if there is none that has not lapsed."""
        join = self.table.join_of(self.me) if self.table is not None else 0
        return join if join > self.lapsed_join else 0

    def has_lease(self) -> bool:
        """Return whether the own lease is valid now."""
        return self._leased and self.ctx.now_s < self.lease_end_s

    def extend_lease(self, until_s: float) -> None:
        """Extend the own lease to a monotonic time in seconds."""
        if self.join and until_s > self.ctx.now_s:
            self.lease_end_s = max(self.lease_end_s, until_s)
            self._leased = True

    def check_lapse(self) -> None:
        """Give up everything held if the lease has run out."""
        if self._leased and not self.has_lease():
            self.give_up_lease()

    def give_up_lease(self) -> None:
        """End the own lease: its join number never becomes valid again."""
        if self.table is not None:
            self.lapsed_join = max(self.lapsed_join, self.table.join_of(self.me))
        self.lease_end_s = float("-inf")
        self.held.clear()
        if self._leased:
            self._leased = False
            self.ctx.log("member_lease_lost", join=self.lapsed_join)
            for listener in self.listeners.partitions:
                listener.lease_lost()

    def follow(self, term: int, coordinator: Member) -> None:
        """Follow the coordinator of a term that is not lower than the known one."""
        check = self.ctx.invariants.check
        check(term >= self.term, "term_never_falls", f"{term} after {self.term}")
        same = self.coordinator in (None, coordinator) or term > self.term
        check(same, "one_coordinator_per_term", f"{term}: {coordinator}")
        if term > self.term:
            self.store_down = False
        self.term = term
        self.coordinator = coordinator

    def apply(self, table: CellTable, version: int) -> bool:
        """Apply a confirmed table unless it is old; return whether it was applied."""
        if version <= self.version:
            return False
        old, old_join = self.table, self.join
        self._check_successor(old, table)
        self.table, self.version = table, version
        self.ctx.invariants.check(
            self.join == old_join or not old_join or not self.has_lease(),
            "dropped_member_has_no_lease",
            f"version {version}",
        )
        for on_table in self.listeners.tables:
            on_table(table, version)
        self._notify_homes(table)
        self._notify_dropped(old, table)
        return True

    def _check_successor(self, old: CellTable | None, new: CellTable) -> None:
        if old is None:
            return
        check = self.ctx.invariants.check
        check(new.term >= old.term, "table_term_never_falls", f"{new.term}")
        fallen = [
            (before, after)
            for before, after in zip(old.homes, new.homes, strict=True)
            if after.epoch <= before.epoch and after != before
        ]
        check(not fallen, "home_epoch_rises", str(fallen[:1]))

    def _notify_homes(self, table: CellTable) -> None:
        mine: dict[int, int] = {}
        if self.join:
            mine = {
                partition: home.epoch
                for partition, home in enumerate(table.homes)
                if home.instance == self.me.instance
            }
        lost = [p for p, epoch in self.held.items() if mine.get(p) != epoch]
        gained = [(p, e) for p, e in mine.items() if self.held.get(p) != e]
        self.held = mine
        for listener in self.listeners.partitions:
            for partition in lost:
                listener.home_lost(partition)
            for partition, epoch in gained:
                listener.home_gained(partition, epoch)

    def _notify_dropped(self, old: CellTable | None, new: CellTable) -> None:
        if old is None:
            return
        for member, join in zip(old.members, old.joins, strict=True):
            if new.join_of(member) == join:
                continue
            for listener in self.listeners.partitions:
                listener.member_dropped(member)
