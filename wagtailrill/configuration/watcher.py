"""Watch of the declaration's store key."""

from collections.abc import Callable

from expression import Result

from ..core.context import Context
from ..platform.models import Read, Stored, StoreResult, Watch
from .const import (
    FIRST_READ_MAX_S,
    FIRST_READ_S,
    WATCH_GIVE_UP_S,
    WATCH_RETRY_MAX_S,
    WATCH_RETRY_S,
    WATCH_TIMEOUT_S,
)


class StoreWatcher:
    """Keeps at most one call to the store under way and reports what is stored."""

    def __init__(
        self, ctx: Context, key: str, on_stored: Callable[[Stored], None]
    ) -> None:
        self.seen_revision = 0
        self.failures = 0
        self.confirmed = False
        self.failing = False
        self._ctx = ctx
        self._key = key
        self._on_stored = on_stored
        self._call = 0
        self._busy_until_s = 0.0
        self._due_s = 0.0
        self._retry_s = WATCH_RETRY_S
        self._read_delay_s = FIRST_READ_S
        self._read_due_s: float | None = None

    def watch(self) -> None:
        """Start a call unless one is under way or a retry is not yet due.

        A watch that finds nothing new answers late, so the first call is a read.
        """
        if self._ctx.now_s < max(self._busy_until_s, self._due_s):
            return
        if self.confirmed:
            self._start(Watch(self._key, self.seen_revision, WATCH_TIMEOUT_S))
        else:
            self._start(Read(self._key))

    def restart(self) -> None:
        """Require a read that starts now; `confirmed` says that one succeeded."""
        self.confirmed = False
        self._call += 1
        self._busy_until_s = self._due_s = 0.0

    def read_first(self) -> None:
        """Read the key now and then while nothing is known."""
        now_s = self._ctx.now_s
        if self._read_due_s is None:
            self._plan_read()
        elif now_s >= max(self._read_due_s, self._busy_until_s):
            self._plan_read()
            self._start(Read(self._key))

    def _plan_read(self) -> None:
        jitter = self._ctx.rng.uniform(1.0, 2.0)
        self._read_due_s = self._ctx.now_s + self._read_delay_s * jitter
        self._read_delay_s = min(2 * self._read_delay_s, FIRST_READ_MAX_S)

    def _start(self, operation: Watch | Read) -> None:
        self._call += 1
        call = self._call
        self._busy_until_s = self._ctx.now_s + WATCH_GIVE_UP_S
        self._ctx.call_store(operation, lambda result: self._replied(call, result))

    def _replied(self, call: int, result: StoreResult) -> None:
        if call == self._call:
            self._busy_until_s = 0.0
        match result:
            case Result(tag="ok", ok=Stored() as stored):
                self._retry_s = WATCH_RETRY_S
                self._due_s = 0.0
                # A late answer of a given-up call must not bring back an old revision.
                if call == self._call:
                    self.seen_revision = stored.revision
                    self.confirmed = True
                    self.failing = False
                self._on_stored(stored)
            case _:
                self.failures += 1
                self.failing = True
                jitter = self._ctx.rng.uniform(0.5, 1.0)
                self._due_s = self._ctx.now_s + self._retry_s * jitter
                self._retry_s = min(2 * self._retry_s, WATCH_RETRY_MAX_S)
