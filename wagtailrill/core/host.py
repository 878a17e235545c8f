"""Host that steps the components of one instance."""

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
    """Dispatches events and messages to components and returns their commands.

    It has no clock: each step is given the monotonic and the Unix time in seconds.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.dropped_messages = 0
        self._events: dict[type, EventHandler] = {
            PeerReceived: lambda event: self._receive(event.envelope),
            StoreReplied: lambda event: ctx.store_replied(event.call_id, event.result),
            BackendReplied: lambda event: ctx.backend_replied(
                event.call_id, event.result
            ),
        }
        self._messages: dict[type, MessageHandler] = {}
        self._step_hooks: list[Callable[[], None]] = []
        self._sequences = SequenceFilter()

    def on_event(self, cls: type, handler: EventHandler) -> None:
        """Route events of a class to a handler."""
        self._events[cls] = handler

    def on_messages(self, classes: Iterable[type], handler: MessageHandler) -> None:
        """Route peer messages of some classes to a handler."""
        for cls in classes:
            self._messages[cls] = handler

    def before_step(self, hook: Callable[[], None]) -> None:
        """Run a hook in each step, after the clock is set and before the event."""
        self._step_hooks.append(hook)

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers; return the commands to carry out."""
        self.ctx.set_time(now_s, wall_s)
        for hook in self._step_hooks:
            hook()
        if event is not None:
            handler = self._events.get(type(event))
            if handler is not None:
                handler(event)
        self.ctx.timers.advance(self.ctx.now_s)
        return self._deliver_local(self.ctx.drain_commands())

    def next_due_s(self) -> float | None:
        """Return the time of the next timer in seconds, if there is one."""
        return self.ctx.timers.next_due_s()

    def _deliver_local(self, commands: list[Command]) -> list[Command]:
        instance = self.ctx.identity.instance
        remote: list[Command] = []
        pending = deque(commands)
        while pending:
            command = pending.popleft()
            if isinstance(command, SendPeer) and command.envelope.receiver == instance:
                self._dispatch(command.envelope)
                pending.extend(self.ctx.drain_commands())
            else:
                remote.append(command)
        return remote

    def _receive(self, envelope: Envelope) -> None:
        identity = self.ctx.identity
        for_this_process = (
            envelope.receiver == identity.instance
            and envelope.receiver_incarnation in (0, identity.incarnation)
        )
        if for_this_process and self._sequences.accept(envelope):
            self._dispatch(envelope)
        else:
            self.dropped_messages += 1

    def _dispatch(self, envelope: Envelope) -> None:
        handler = self._messages.get(type(envelope.message))
        if handler is None:
            self.dropped_messages += 1
        else:
            handler(envelope)
