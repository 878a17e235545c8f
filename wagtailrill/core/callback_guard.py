"""Runs callbacks whose errors must not stop their caller.

The context has one guard, which the components of an instance share.
"""

import traceback
from collections import Counter
from collections.abc import Callable
from typing import Final

from .invariants import Invariants
from .log_events import LogName

# A callback that must take effect is run again this long after an error.
CALLBACK_RETRY_S: Final = 0.5
ERROR_TEXT_MAX_LENGTH: Final = 300
LogWriter = Callable[..., None]


class CallbackGuard:
    """Catches, logs and counts the errors of callbacks by name.

    Where violated invariants raise, as in tests, these errors are raised as well.
    """

    def __init__(self, invariants: Invariants, write_log: LogWriter) -> None:
        self.failures: Counter[str] = Counter()
        self._invariants = invariants
        self._write_log = write_log

    def run(self, name: str, callback: Callable[[], object]) -> bool:
        """Run a callback; return whether it ended without an error."""
        try:
            callback()
        except Exception as exc:
            if self._invariants.raise_errors:
                raise
            self.failures[name] += 1
            self._write_log(
                LogName.CALLBACK_FAILED,
                callback=name,
                error=f"{type(exc).__name__}: {exc}"[:ERROR_TEXT_MAX_LENGTH],
                at=_describe_origin(exc),
            )
            return False
        return True


def _describe_origin(exc: Exception) -> str:
    """Return `file:line` of the statement that raised an error."""
    frame = traceback.extract_tb(exc.__traceback__)[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
