"""Learns from answers which backend servers leave, and which want no requests now.

The request attempts and the answers to control calls report to it; the server table
keeps what it learns.
"""

from collections.abc import Callable
from typing import Final

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..core.request_models import ServerNotice
from ..peer.registry import Envelope
from .messages import ServerLeaving
from .models import ServerProcess, ServerRow, ServerState
from .table import ServerTable

FIRST_HAND: Final = "answer"
# A server without room says nearly the same in its answers to all waiting requests.
PAUSE_LOGGED_MIN_S: Final = 0.1


@attrs.frozen
class NoticeParts:
    """Dependencies of `ServerNotices`.

    `list_receivers` returns the instances that read the list of servers and that choose
    servers for a service; from them the others learn that a server leaves.
    """

    ctx: Context
    servers: ServerTable
    list_receivers: Callable[[str], frozenset[str]]


class ServerNotices:
    """Passes notices of backend servers on to the server table.

    A leaving server is told to other instances, as it leaves for all of them. A pause
    is what the server asks of this instance alone. `on_leaving_learned` is called with
    each process of which this instance learns that it leaves.
    """

    def __init__(self, parts: NoticeParts) -> None:
        self.on_leaving_learned: Callable[[ServerProcess], None] = lambda process: None
        self._parts = parts
        self._ctx = parts.ctx
        parts.ctx.on_call_notice = self._on_call_notice

    def attach(self, host: ComponentHost) -> None:
        """Register the handler of messages."""
        host.register_message_handler([ServerLeaving], self._on_leaving)

    def record_notice(self, row: ServerRow, notice: ServerNotice) -> None:
        """Record what a server process has said in an answer."""
        if notice.is_leaving:
            self._record_leaving(row)
        if notice.pause_s:
            self._record_pause(row, notice.pause_s)

    def learn_leaving(self, process: ServerProcess, instance: str) -> None:
        """Record that a process leaves, as another instance has told."""
        self._mark_leaving(process, instance)

    def _on_call_notice(self, name: str, sent_s: float, notice: ServerNotice) -> None:
        row = self._parts.servers.rows.get(name)
        # A process that became known after the call was made did not answer it.
        if row is not None and row.joined_s <= sent_s:
            self.record_notice(row, notice)

    def _record_leaving(self, row: ServerRow) -> None:
        entry, entry_says_so = row.entry, row.entry.state is ServerState.LEAVING
        if not self._mark_leaving(entry.process, FIRST_HAND) or entry_says_so:
            return
        message = ServerLeaving(entry.name, entry.start_id)
        for instance in self._parts.list_receivers(entry.service):
            if instance != self._ctx.identity.instance:
                self._ctx.send(instance, message)

    def _on_leaving(self, envelope: Envelope) -> None:
        message: ServerLeaving = envelope.message
        process = ServerProcess(message.backend_server, message.start_id)
        self.learn_leaving(process, envelope.sender)

    def _mark_leaving(self, process: ServerProcess, learned_from: str) -> bool:
        """Mark a process as leaving; return whether this instance did not know it."""
        if not self._parts.servers.mark_leaving(process):
            return False
        self.on_leaving_learned(process)
        self._ctx.log(
            LogName.SERVER_SAYS_LEAVING,
            backend_server=process.name,
            start_id=process.start_id,
            learned_from=learned_from,
        )
        return True

    def _record_pause(self, row: ServerRow, pause_s: float) -> None:
        now_s = self._ctx.now_s
        process = row.entry.process
        memory = self._parts.servers.notice_memory
        known_until_s = max(now_s, memory.get_paused_until_s(process))
        self._parts.servers.mark_paused(process, now_s + pause_s)
        if now_s + pause_s - known_until_s >= PAUSE_LOGGED_MIN_S:
            self._ctx.log(
                LogName.SERVER_PAUSED,
                backend_server=process.name,
                start_id=process.start_id,
                pause_s=round(pause_s, 3),
                learned_from=FIRST_HAND,
            )
