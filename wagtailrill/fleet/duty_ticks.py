"""Decides how often the duties are looked at; `Duties` uses it."""

from collections.abc import Callable, Iterable

from ..core.context import Context
from ..core.timer import PeriodicTimer
from .const import DUTY_TICK_S, SETTLED_DUTY_TICK_S
from .duty_row import DutyRow
from .members import Members


class DutyTicks:
    """Calls `tick` often while there may be work for a duty, and rarely otherwise.

    A duty is settled while another live instance holds it: nothing is to be done
    until the members change.
    """

    def __init__(
        self, ctx: Context, members: Members, tick: Callable[[], None]
    ) -> None:
        self._members = members
        self._ticks = PeriodicTimer(ctx.timers, DUTY_TICK_S, tick)
        self._ticks.start_now()
        ctx.timers.call_every(SETTLED_DUTY_TICK_S, tick)

    def resume(self) -> None:
        """Call `tick` often from now on, as the members or a duty have changed."""
        self._ticks.start()

    def update(self, rows: Iterable[DutyRow]) -> None:
        """Go on as often as the present state of the duties needs."""
        if all(map(self._is_settled, rows)):
            self._ticks.stop()
        else:
            self._ticks.start()

    def _is_settled(self, row: DutyRow) -> bool:
        if row.is_held or row.commit_pending or row.holder is None:
            return False
        member = self._members.get_other_members().get(row.holder.instance)
        return member is not None and member.incarnation == row.holder.incarnation
