"""Tracks whether other instances tell reliably what the store has confirmed to them.

Mirrors of store keys use it.
"""

from collections.abc import Callable

from ..core.context import Context
from ..core.timer import TimerHandle
from .const import CONFIRMATIONS_TRUSTED_AFTER_S


class Confirmations:
    """A series of confirmations, which ends with a gap of `gap_max_s` seconds.

    `on_ended` is called then, with whether the series was relied on.
    """

    def __init__(
        self, ctx: Context, gap_max_s: float, on_ended: Callable[[bool], None]
    ) -> None:
        self._ctx = ctx
        self._gap_max_s = gap_max_s
        self._on_ended = on_ended
        self._began_s: float | None = None
        self._end: TimerHandle | None = None
        self._end_s = float("-inf")

    @property
    def are_trusted(self) -> bool:
        """Return whether the series has lasted long enough to rely on it."""
        if self._began_s is None:
            return False
        return self._ctx.now_s - self._began_s >= CONFIRMATIONS_TRUSTED_AFTER_S

    @property
    def is_active(self) -> bool:
        """Return whether the store's state was confirmed a short while ago."""
        return self._began_s is not None

    def expect(self, within_s: float) -> None:
        """Count on a first confirmation within some seconds."""
        if self._began_s is None:
            self._begin(self._ctx.now_s + within_s)

    def record(self, age_s: float) -> None:
        """Record what the store has confirmed `age_s` seconds ago."""
        end_s = self._ctx.now_s + self._gap_max_s - age_s
        self._begin(max(self._end_s, end_s))

    def _begin(self, end_s: float) -> None:
        if self._began_s is None:
            self._began_s = self._ctx.now_s
        if self._end is not None:
            self._end.cancel()
        self._end_s = end_s
        self._end = self._ctx.timers.call_at(end_s, self._end_series)

    def _end_series(self) -> None:
        were_trusted = self.are_trusted
        self._began_s = self._end = None
        self._on_ended(were_trusted)
