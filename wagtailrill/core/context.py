"""State and services that all components of one instance share."""

import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from expression import Error

from ..peer.registry import Envelope
from ..store.budget import StoreBudget
from ..store.era import (
    StoreCall,
    StoreEra,
    find_outdated_condition,
    order_result,
    strip_era,
)
from .callback_guard import CallbackGuard
from .commands import (
    CallBackend,
    CallStore,
    CancelStoreCall,
    Command,
    LogEvent,
    SendPeer,
)
from .invariants import Invariants
from .log_events import LogName
from .request_models import NO_NOTICE, ServerNotice
from .timer import TimerService

if TYPE_CHECKING:
    from ..peer.registry import PeerMessage
    from ..servers.control import ControlOperation, ControlResult
    from ..store.models import StoreOperation, StoreResult


CallNoticeListener = Callable[[str, float, ServerNotice], None]


@attrs.frozen
class Identity:
    """Name, process incarnation and data centre of an instance."""

    instance: str
    incarnation: int
    data_centre: str


@attrs.frozen
class BackendCall:
    """A control call that waits for its result; `sent_s` is monotonic time."""

    backend_server: str
    sent_s: float
    on_result: "Callable[[ControlResult], None]"


class Context:
    """Time, randomness, timers and outgoing commands of one instance.

    `now_s` is the monotonic and `wall_s` the Unix time in seconds, both as of the
    current step. Components read no clock of their own. `store_era` tells of restores
    of the store from an older copy; `store_budget` bounds repeated calls of the store;
    `guard` runs callbacks whose errors must not stop the rest.
    """

    def __init__(
        self, identity: Identity, rng: random.Random, invariants: Invariants
    ) -> None:
        self.identity = identity
        self.rng = rng
        self.invariants = invariants
        self.now_s = 0.0
        self.wall_s = 0.0
        self.timers = TimerService()
        self.guard = CallbackGuard(invariants, self.log)
        self.store_era = StoreEra()
        self.store_budget = StoreBudget(self.timers, rng, lambda: self.now_s)
        self.commands: list[Command] = []
        self._last_sequences: dict[str, int] = {}
        self._call_ids = itertools.count(1)
        self._store_calls: dict[int, StoreCall] = {}
        self._backend_calls: dict[int, BackendCall] = {}
        self.on_call_notice: CallNoticeListener = lambda name, sent_s, notice: None

    def set_time(self, now_s: float, wall_s: float) -> None:
        """Set both times; the monotonic one never decreases."""
        self.now_s = max(self.now_s, now_s)
        self.wall_s = wall_s
        self.timers.set_time(self.now_s)

    def emit_command(self, command: Command) -> None:
        """Queue a command for the I/O code to execute."""
        self.commands.append(command)

    def send(self, instance: str, message: "PeerMessage", incarnation: int = 0) -> None:
        """Queue a message to an instance.

        Only the process with `incarnation` accepts it, or any process if that is 0.
        Messages to this instance itself are handled before the step ends.
        """
        sequence = self._last_sequences.get(instance, 0) + 1
        self._last_sequences[instance] = sequence
        envelope = Envelope(
            sender=self.identity.instance,
            incarnation=self.identity.incarnation,
            receiver=instance,
            receiver_incarnation=incarnation,
            sequence=sequence,
            message=message,
        )
        self.commands.append(SendPeer(envelope))

    def log(self, event: str, **fields: str | int | float) -> None:
        """Queue a structured log line."""
        self.commands.append(LogEvent(event, tuple(fields.items())))

    def call_store(
        self, operation: "StoreOperation", on_result: "Callable[[StoreResult], None]"
    ) -> int:
        """Queue a store call; `on_result` receives its result in a later step.

        Return the id of the call, 0 if it fails at once.
        """
        era = self.store_era.current
        error = find_outdated_condition(operation, era)
        if error is not None:
            failed = Error(error)
            self.timers.call_later(0.0, lambda: on_result(failed))
            return 0
        call_id = next(self._call_ids)
        self._store_calls[call_id] = StoreCall(operation, era, on_result, self.now_s)
        self.commands.append(CallStore(call_id, strip_era(operation)))
        return call_id

    def cancel_store_call(self, call_id: int) -> None:
        """Cancel a store call whose result is of no more use, if it is in progress."""
        if self._store_calls.pop(call_id, None) is not None:
            self.commands.append(CancelStoreCall(call_id))

    def call_backend(
        self,
        backend_server: str,
        operation: "ControlOperation",
        on_result: "Callable[[ControlResult], None]",
    ) -> None:
        """Queue a control call; `on_result` receives its result in a later step."""
        call_id = next(self._call_ids)
        self._backend_calls[call_id] = BackendCall(
            backend_server, self.now_s, on_result
        )
        self.commands.append(CallBackend(call_id, backend_server, operation))

    def handle_store_reply(
        self, call_id: int, result: "StoreResult", era: int = 0
    ) -> None:
        """Pass a result to the callback of its store call; ignore unknown ids.

        `era` is that of the store's answer, 0 if there was none. Listeners hear of a
        restore before the result is passed on.
        """
        self._observe_store_era(era)
        call = self._store_calls.pop(call_id, None)
        took_s = call.compute_duration_s(self.now_s) if call is not None else None
        self.store_budget.record(result, took_s)
        if call is not None:
            call.on_result(order_result(call, result, era, self.store_era.current))

    def _observe_store_era(self, era: int) -> None:
        former_era = self.store_era.current
        if self.store_era.observe(era, self.now_s):
            self.log(LogName.STORE_RESTORED, era=era, former_era=former_era)
            self.store_era.notify_listeners(self.guard)

    def handle_backend_reply(
        self, call_id: int, result: "ControlResult", notice: ServerNotice = NO_NOTICE
    ) -> None:
        """Pass a result to the callback of its control call; ignore unknown ids.

        `on_call_notice` hears first what the server said besides, with the server's
        name and the time at which the call was made.
        """
        call = self._backend_calls.pop(call_id, None)
        if call is None:
            return
        if notice is not NO_NOTICE:
            self.on_call_notice(call.backend_server, call.sent_s, notice)
        call.on_result(result)

    def drain_commands(self) -> list[Command]:
        """Return the queued commands and empty the queue."""
        commands, self.commands = self.commands, []
        return commands
