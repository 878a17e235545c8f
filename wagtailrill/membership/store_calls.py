"""Store calls with a bound on the time to wait for an answer."""

from collections.abc import Callable

from expression import Error

from ..core.context import Context
from ..platform.models import StoreError, StoreErrorKind, StoreOperation, StoreResult
from .const import STORE_ANSWER_TIMEOUT_S

_NO_ANSWER = StoreError(StoreErrorKind.UNAVAILABLE, "no answer in time")


class StoreCalls:
    """Calls the store and counts the calls by operation.

    A call without an answer in time fails as unavailable; a later answer is dropped.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.counts: dict[str, int] = {}

    def call(
        self,
        operation: StoreOperation,
        on_result: Callable[[StoreResult], None],
        extra_s: float = 0.0,
    ) -> None:
        """Call the store; `extra_s` is the time that the store itself may wait."""
        kind = type(operation).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        pending = [on_result]

        def finish(result: StoreResult) -> None:
            timer.cancel()
            if pending:
                pending.pop()(result)

        timer = self.ctx.timers.call_at(
            self.ctx.now_s + STORE_ANSWER_TIMEOUT_S + extra_s,
            lambda: finish(Error(_NO_ANSWER)),
        )
        self.ctx.call_store(operation, finish)


def unavailable(result: StoreResult) -> bool:
    """Return whether the store did not answer, so that the effect is unknown."""
    return result.is_error() and result.error.kind is StoreErrorKind.UNAVAILABLE
