"""Groups store calls and timers of one activity, so that they can be abandoned.

Components that start over after a restore of the store use it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..store.const import RETRY_WAIT_MAX_S
from .context import Context
from .timer import TimerHandle

if TYPE_CHECKING:
    from ..store.models import StoreOperation, StoreResult


class CallScope:
    """Store calls and timers whose results are ignored once they are abandoned.

    Results of store calls are also ignored while `accepts_results` returns False.
    """

    def __init__(
        self, ctx: Context, accepts_results: Callable[[], bool] = lambda: True
    ) -> None:
        self._ctx = ctx
        self._accepts_results = accepts_results
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
            if number == self._number and self._accepts_results():
                on_result(result)

        return self._ctx.call_store(operation, pass_on)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback after a delay in seconds."""
        return self._ctx.timers.call_later(delay_s, self._bind(callback))

    def retry(
        self,
        callback: Callable[[], None],
        resume_after_s: float = 0.0,
        delay_max_s: float = RETRY_WAIT_MAX_S,
    ) -> None:
        """Schedule a callback that repeats a store call, within the shared budget.

        It runs `resume_after_s` after the store answers this instance again, or before.
        Unless the store is failing, it runs after `delay_max_s` at the latest, whatever
        is left of the budget.
        """
        self._ctx.store_budget.retry(
            self._bind(callback),
            resume_after_s=resume_after_s,
            delay_max_s=delay_max_s,
        )

    def _bind(self, callback: Callable[[], None]) -> Callable[[], None]:
        number = self._number

        def call_unless_abandoned() -> None:
            if number == self._number:
                callback()

        return call_unless_abandoned
