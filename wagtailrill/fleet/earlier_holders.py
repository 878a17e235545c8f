"""Remembers in the store which earlier holders of a duty may still act for it.

The entry of a duty names its last holder alone. A holder that was cut off from the
store may act for some seconds after its successor has ended, too, so each successor
lists those in a second key, which is written together with the entry.

The list has no times, as no two instances share a clock. Whoever reads it counts from
when it has first seen a holder in the list, which was not before its lease had ended.
"""

import attrs

from ..core.context import Context
from ..store.models import Commit, Expected, Item, Put
from .const import FORGET_INTERVAL_S
from .duty_row import DutyRow
from .holder_liveness import HolderLiveness
from .members import Members
from .models import (
    EARLIER_HOLDERS_PREFIX,
    HolderTerm,
    format_earlier_holders,
    read_earlier_holders,
)


@attrs.frozen
class Succession:
    """The earlier holders that may still act when a duty is taken, and for how long.

    `expected`, `puts` and `removes` go into the commit that writes the duty's entry.
    """

    terms: tuple[HolderTerm, ...] = ()
    may_act_s: float = 0.0
    expected: tuple[Expected, ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()

    def list_instances(self) -> set[str]:
        """Return the names of the instances that may act."""
        return {term.instance for term in self.terms}


NO_SUCCESSION = Succession()


class EarlierHolders:
    """Plans the succession in a duty, and forgets holders that can't act any more.

    Only duties that no two instances may do at the same time have the second key.
    """

    def __init__(
        self, ctx: Context, members: Members, liveness: HolderLiveness
    ) -> None:
        self._ctx = ctx
        self._members = members
        self._liveness = liveness

    def observe(self, row: DutyRow) -> None:
        """Note which earlier holders are listed; call it after each change of keys."""
        item = self._get_item(row)
        terms = read_earlier_holders(item) if item is not None else ()
        row.earlier_terms_s = {
            term: row.earlier_terms_s.get(term, self._ctx.now_s) for term in terms
        }

    def plan(self, row: DutyRow) -> Succession:
        """Return the succession if this instance takes a duty now."""
        bounds_s = {
            term: self._liveness.compute_earlier_may_act_s(term, seen_s)
            for term, seen_s in row.earlier_terms_s.items()
        }
        if row.holder is not None:
            bounds_s[row.holder.term] = self._liveness.compute_last_may_act_s(
                row.holder.term, row.holder_seen_s
            )
        acting = tuple(term for term, bound_s in bounds_s.items() if bound_s > 0.0)
        may_act_s = max(
            self._liveness.compute_unknown_holder_s(), *bounds_s.values(), 0.0
        )
        if not row.is_exclusive:
            return Succession(acting, may_act_s)
        item = self._get_item(row)
        key = self._members.build_key(EARLIER_HOLDERS_PREFIX + row.name)
        return Succession(
            acting,
            may_act_s,
            expected=(Expected(key, item.revision if item is not None else 0),),
            puts=(Put(key, format_earlier_holders(acting)),) if acting else (),
            removes=(key,) if item is not None and not acting else (),
        )

    def forget(self, row: DutyRow) -> None:
        """Remove the list of a held duty, as nobody in it can act any more.

        The condition on the entry keeps the list of a later holder.
        """
        item = self._get_item(row)
        budget = self._ctx.store_budget
        is_due = self._ctx.now_s >= row.forgets_from_s and not budget.is_turned_away
        if item is None or not is_due:
            return
        # By then the mirror shows the effect, unless the store has not answered.
        row.forgets_from_s = self._ctx.now_s + FORGET_INTERVAL_S
        expected = (
            Expected(self._members.build_duty_key(row.name), row.fence),
            Expected(item.key, item.revision),
        )
        self._ctx.call_store(Commit(expected, removes=(item.key,)), lambda result: None)

    def _get_item(self, row: DutyRow) -> Item | None:
        if not row.is_exclusive:
            return None
        return self._members.get_item(EARLIER_HOLDERS_PREFIX + row.name)
