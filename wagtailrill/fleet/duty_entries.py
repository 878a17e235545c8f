"""Reads and writes the entries in the store that name the holders of duties.

Used by `Duties`.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..store.budget import is_unanswered
from ..store.models import Commit, Committed, Expected, Put, StoreResult
from ..store.revision import get_era
from .duty_row import DutyRow
from .earlier_holders import NO_SUCCESSION, Succession
from .members import Members
from .models import DUTIES_PREFIX, DutyHolder


class DutyEntries:
    """Writes an entry under the condition that nobody else has written it."""

    def __init__(self, ctx: Context, members: Members) -> None:
        self._ctx = ctx
        self._members = members

    def get_revision(self, row: DutyRow) -> int | None:
        """Return the newest known revision of an entry, None until it has been read."""
        era = self._ctx.store_era.current
        if get_era(self._members.mirror.revision) < era:
            return None
        item = self._members.get_item(DUTIES_PREFIX + row.name)
        stored = item.revision if item is not None else 0
        known = row.holder.fence if row.holder is not None else 0
        return stored if get_era(known) < era else max(stored, known)

    def write(
        self,
        row: DutyRow,
        holder: DutyHolder,
        revision: int | None,
        on_written: Callable[[int], None],
        succession: Succession = NO_SUCCESSION,
    ) -> None:
        """Write the entry of a duty if its revision is the given one.

        The list of earlier holders is written with it. `on_written` receives the new
        revision. A commit without an answer may have taken effect; the mirror then
        shows the entry, and the next attempt confirms it.
        """
        if revision is None or self._ctx.now_s < row.next_write_s:
            return
        era = self._ctx.store_era.current
        key = self._members.build_duty_key(row.name)
        value = attrs.evolve(holder, era=era).to_bytes()
        row.commit_pending = True

        def on_result(result: StoreResult) -> None:
            row.commit_pending = False
            if is_unanswered(result):
                delay_s = self._ctx.store_budget.draw_delay_s()
                row.next_write_s = self._ctx.now_s + delay_s
            committed = result.ok if result.is_ok() else None
            # An entry that a restore has overtaken names an earlier era.
            if isinstance(committed, Committed) and get_era(committed.revision) == era:
                on_written(committed.revision)

        commit = Commit(
            (Expected(key, revision), *succession.expected),
            (Put(key, value), *succession.puts),
            succession.removes,
        )
        self._ctx.call_store(commit, on_result)
