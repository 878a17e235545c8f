"""Groups store calls and timers of one activity, so that they can be abandoned.

Components that start over after a restore of the store use it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .context import Context
from .timer import TimerHandle

if TYPE_CHECKING:
    from ..store.models import StoreOperation, StoreResult


class CallScope:
    """Store calls and timers whose results are ignored once they are abandoned."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._number = 0

    def abandon(self) -> None:
        """Ignore the results of all calls so far, and run none of the timers."""
        self._number += 1

    def call_store(
        self, operation: "StoreOperation", on_result: "Callable[[StoreResult], None]"
    ) -> int:
        """Queue a store call; `on_result` receives its result unless abandoned.

        Return the id of the call, 0 if it fails at once.
        """
        number = self._number

        def pass_on(result: "StoreResult") -> None:
            if number == self._number:
                on_result(result)

        return self._ctx.call_store(operation, pass_on)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback after a delay in seconds."""
        number = self._number

        def call_unless_abandoned() -> None:
            if number == self._number:
                callback()

        return self._ctx.timers.call_later(delay_s, call_unless_abandoned)
