"""Dispatches events, peer messages and timers to the components of one instance."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from ..peer.link import SequenceFilter
from ..peer.registry import Envelope
from .commands import Command, SendPeer
from .context import Context
from .events import BackendReplied, Event, PeerReceived, StoreReplied

EventHandler = Callable[[Any], None]
MessageHandler = Callable[[Envelope], None]


class ComponentHost:
    """Passes events and peer messages to components and returns their commands.

    It reads no clock: each step is given the monotonic and the Unix time in seconds.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.dropped_messages = 0
        self._event_handlers: dict[type, EventHandler] = {
            PeerReceived: lambda event: self._receive_message(event.envelope),
            StoreReplied: lambda event: ctx.handle_store_reply(
                event.call_id, event.result, event.era
            ),
            BackendReplied: lambda event: ctx.handle_backend_reply(
                event.call_id, event.result, event.notice
            ),
        }
        self._message_handlers: dict[type, MessageHandler] = {}
        self._step_hooks: list[Callable[[], None]] = []
        self._sequence_filter = SequenceFilter()

    def register_event_handler(self, cls: type, handler: EventHandler) -> None:
        """Register the handler of an event class, replacing an earlier one."""
        self._event_handlers[cls] = handler

    def register_message_handler(
        self, classes: Iterable[type], handler: MessageHandler
    ) -> None:
        """Register the handler of peer messages of some classes."""
        for cls in classes:
            self._message_handlers[cls] = handler

    def register_step_hook(self, hook: Callable[[], None]) -> None:
        """Register a hook that runs in each step before the event, at its time."""
        self._step_hooks.append(hook)

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event, then due timers; return the commands to execute."""
        self.ctx.set_time(now_s, wall_s)
        for hook in self._step_hooks:
            hook()
        if event is not None:
            handler = self._event_handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.ctx.timers.advance(self.ctx.now_s)
        return self._deliver_local_messages(self.ctx.drain_commands())

    def get_next_due_s(self) -> float | None:
        """Return the monotonic time of the next timer in seconds, if there is one."""
        return self.ctx.timers.get_next_due_s()

    def _deliver_local_messages(self, commands: list[Command]) -> list[Command]:
        instance = self.ctx.identity.instance
        remote: list[Command] = []
        pending = deque(commands)
        while pending:
            command = pending.popleft()
            if isinstance(command, SendPeer) and command.envelope.receiver == instance:
                self._dispatch_message(command.envelope)
                pending.extend(self.ctx.drain_commands())
            else:
                remote.append(command)
        return remote

    def _receive_message(self, envelope: Envelope) -> None:
        identity = self.ctx.identity
        for_this_process = (
            envelope.receiver == identity.instance
            and envelope.receiver_incarnation in (0, identity.incarnation)
        )
        if for_this_process and self._sequence_filter.accept(envelope):
            self._dispatch_message(envelope)
        else:
            self.dropped_messages += 1

    def _dispatch_message(self, envelope: Envelope) -> None:
        handler = self._message_handlers.get(type(envelope.message))
        if handler is None:
            self.dropped_messages += 1
        else:
            handler(envelope)
