"""Changes of members and homes that the coordinator makes by itself."""

from collections.abc import Callable

import attrs

from ..partitions.directory import Home, Member
from .grace import GraceWait
from .homes import assign, surplus, vacate
from .models import PeerRow
from .table import CellTable
from .view import CellView


@attrs.frozen
class Released:
    """A home given up by a live member in the table of a version."""

    holder: Member
    epoch: int
    version: int


class Planner:
    """Drops, adds and balances members; plans from the rows of the coordinator.

    A home goes directly to another member only if its holder has no lease any more;
    otherwise the table first says that it is vacant, and the next holder follows when
    the previous one has applied that.
    """

    def __init__(
        self, view: CellView, rows: dict[Member, PeerRow], grace: GraceWait
    ) -> None:
        self.view = view
        self.cfg = view.cfg
        self.rows = rows
        self.grace = grace
        self.taken_over_version = view.version
        self.leaving: Callable[[], bool] = lambda: False
        # A coordinator without contact to a majority may itself be the one cut off.
        self.may_drop: Callable[[], bool] = lambda: True
        self.released: dict[int, Released] = {}

    def plan(self, table: CellTable) -> CellTable | None:
        """Return the table with due changes, or None if there are none."""
        if table.resigned:
            return None
        new = self._with_members(table)
        homes = self._reassigned(table, new)
        homes = self._balanced(new, homes)
        resigned = self.view.me in table.members and self.view.me not in new.members
        new = attrs.evolve(new, homes=tuple(homes), resigned=resigned)
        return None if new == table else new

    def confirmed(self, old: CellTable, new: CellTable, version: int) -> None:
        """Note which homes live members gave up in a confirmed table."""
        members = {m.instance: m for m in new.members}
        for partition, (before, after) in enumerate(
            zip(old.homes, new.homes, strict=True)
        ):
            if after.instance:
                self.released.pop(partition, None)
            elif before.instance in members:
                holder = members[before.instance]
                self.released[partition] = Released(holder, after.epoch, version)

    def suspected(self, member: Member) -> bool:
        """Return whether a process has been silent for the suspicion timeout."""
        if member == self.view.me:
            return False
        row = self.rows.get(member)
        silent_s = self.view.ctx.now_s - (row.heard_s if row else float("-inf"))
        return silent_s > self.cfg.suspicion_timeout_s

    def _with_members(self, table: CellTable) -> CellTable:
        join = self.view.version + 1
        kept: dict[Member, int] = {}
        for member, old_join in zip(table.members, table.joins, strict=True):
            if self._lapsed_join(member) >= old_join:
                if not (self._is_leaving(member) or self.suspected(member)):
                    kept[member] = join
            elif not self._droppable(member):
                kept[member] = old_join
        names = {m.instance for m in kept}
        for member in [self.view.me, *self.rows]:
            full = len(kept) >= self.cfg.cell_size_limit
            if member.instance not in names and not full and self._joining(member):
                kept[member] = join
                names.add(member.instance)
        return attrs.evolve(table, members=tuple(kept), joins=tuple(kept.values()))

    def _lapsed_join(self, member: Member) -> int:
        if member == self.view.me:
            return self.view.lapsed_join
        row = self.rows.get(member)
        return row.lapsed_join if row else 0

    def _is_leaving(self, member: Member) -> bool:
        if member == self.view.me:
            return self.leaving()
        row = self.rows.get(member)
        return row is not None and row.leaving

    def _droppable(self, member: Member) -> bool:
        if member == self.view.me or not self.suspected(member):
            return False
        if not self.may_drop():
            return False
        now_s = self.view.ctx.now_s
        row = self.rows.get(member)
        expired = row is None or now_s >= row.granted_until_s
        return expired and self.grace.over(now_s)

    def _joining(self, member: Member) -> bool:
        if self._is_leaving(member):
            return False
        if member == self.view.me:
            return True
        return not self.suspected(member) and self.rows[member].join == 0

    def _eligible(self, table: CellTable) -> set[str]:
        return {
            member.instance
            for member, join in zip(table.members, table.joins, strict=True)
            if self._serves(member, join)
        }

    def _serves(self, member: Member, join: int) -> bool:
        if self._is_leaving(member):
            return False
        if member == self.view.me:
            return self.view.has_lease() and self.view.join == join
        row = self.rows.get(member)
        if row is None or row.join != join or self.suspected(member):
            return False
        return row.granted_until_s > self.view.ctx.now_s

    def _reassigned(self, old: CellTable, new: CellTable) -> list[Home]:
        """Return homes with those of lapsed members and settled vacancies assigned."""
        before = dict(zip(old.members, old.joins, strict=True))
        after = dict(zip(new.members, new.joins, strict=True))
        holders = {m.instance for m, j in before.items() if after.get(m) == j}
        orphans = {
            partition
            for partition, home in enumerate(old.homes)
            if (home.instance not in holders if home.instance else False)
            or (not home.instance and self._settled(partition, old))
        }
        held = {p for p in orphans if old.homes[p].instance}
        eligible = self._eligible(new)
        if not eligible:
            return vacate(old.homes, held)
        return assign(old.homes, orphans, eligible)

    def _settled(self, partition: int, table: CellTable) -> bool:
        """Return whether every earlier holder of a vacant home knows of the loss."""
        released = self.released.get(partition)
        if released is None or released.epoch != table.homes[partition].epoch:
            return all(
                self._applied(member) >= self.taken_over_version
                for member in table.members
            )
        gone = released.holder not in table.members
        return gone or self._applied(released.holder) >= released.version

    def _applied(self, member: Member) -> int:
        if member == self.view.me:
            return self.view.version
        row = self.rows.get(member)
        return row.applied if row else 0

    def _balanced(self, table: CellTable, homes: list[Home]) -> list[Home]:
        eligible = self._eligible(table)
        leaving = {m.instance for m in table.members if self._is_leaving(m)}
        moved = {p for p, home in enumerate(homes) if home.instance in leaving}
        vacant = any(not home.instance for home in homes)
        if not vacant:
            moved |= surplus(homes, eligible)
        return vacate(homes, moved) if moved else homes
