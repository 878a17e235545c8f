"""Tells the owner of a mirror which keys have changed, again if it has failed.

Used by `PrefixMirror`.
"""

from collections.abc import Callable

from ..core.callback_guard import CALLBACK_RETRY_S
from ..core.context import Context
from ..core.timer import TimerHandle

ChangeCallback = Callable[[frozenset[str]], None]


class ChangeNotifier:
    """Calls `on_change` with the changed keys; an error doesn't reach the caller.

    The keys of a call that failed are passed on with the next change, at the latest
    after `CALLBACK_RETRY_S`.
    """

    def __init__(self, ctx: Context, name: str, on_change: ChangeCallback) -> None:
        self._ctx = ctx
        self._name = name
        self._on_change = on_change
        self._pending: frozenset[str] = frozenset()
        self._retry: TimerHandle | None = None

    def notify(self, keys: frozenset[str]) -> None:
        """Pass on changed keys, and those of failed calls."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._pending |= keys
        pending = self._pending
        if self._ctx.guard.run(self._name, lambda: self._on_change(pending)):
            self._pending = frozenset()
        else:
            self._retry = self._ctx.timers.call_later(
                CALLBACK_RETRY_S, lambda: self.notify(frozenset())
            )
