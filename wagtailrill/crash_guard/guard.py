"""Counts the backend servers that a request has crashed; used by the pipeline."""

from collections.abc import Callable
from typing import Any

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..peer.registry import Envelope
from ..servers.control import CheckReachable, ControlErrorKind, ControlResult
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import (
    BLOCK_DURATION_S,
    CRASH_DETECTION_WINDOW_S,
    CRASHES_MAX,
    SUSPECTS_MAX,
    TICK_INTERVAL_S,
)
from .messages import CrashCleared, CrashNotice
from .models import ConnectionLoss, Suspect


class CrashGuard:
    """Blocks requests that crash the backend servers that run them.

    Each instance counts crashes on its own and notifies all others, so that a repeat
    of the request is also blocked when it arrives at another instance.
    """

    def __init__(
        self,
        ctx: Context,
        servers: ServerTable,
        list_peers: Callable[[], tuple[str, ...]],
    ) -> None:
        self._ctx = ctx
        self._servers = servers
        self._list_peers = list_peers
        self._suspects: dict[int, Suspect] = {}
        self._losses: list[ConnectionLoss] = []
        ctx.timers.call_every(TICK_INTERVAL_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        host.register_message_handler([CrashNotice], self._handle_crash_notice)
        host.register_message_handler([CrashCleared], self._handle_crash_cleared)

    def has_suspects(self) -> bool:
        """Return whether any fingerprint is suspected."""
        return bool(self._suspects)

    def is_blocked(self, fingerprint: int) -> bool:
        """Return whether requests with this fingerprint may no longer be sent."""
        suspect = self._suspects.get(fingerprint)
        return (
            suspect is not None
            and suspect.expires_s > self._ctx.now_s
            and len(suspect.crashed_starts) >= CRASHES_MAX
        )

    def record_connection_loss(self, fingerprint: int, server: ServerRow) -> None:
        """Check whether the server that lost a request's connection has crashed."""
        loss = ConnectionLoss(
            fingerprint, server.name, server.entry.start_id, self._ctx.now_s
        )
        self._losses.append(loss)

        def on_checked(result: ControlResult) -> None:
            if result.is_error() and result.error.kind is ControlErrorKind.NOT_SENT:
                self._handle_crash(loss)

        self._ctx.call_backend(server.name, CheckReachable(), on_checked)

    def record_answer(self, fingerprint: int) -> None:
        """Clear a suspect that a backend server has answered, on all instances."""
        if self._suspects.pop(fingerprint, None) is not None:
            self._broadcast(CrashCleared(fingerprint))

    def _handle_crash(self, loss: ConnectionLoss) -> None:
        if loss not in self._losses:
            return
        self._losses.remove(loss)
        self._record_crash(loss.fingerprint, loss.backend_server, loss.start_id)
        notice = CrashNotice(loss.fingerprint, loss.backend_server, loss.start_id)
        self._broadcast(notice)

    def _record_crash(
        self, fingerprint: int, backend_server: str, start_id: str
    ) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = Suspect(0.0)
            if len(self._suspects) > SUSPECTS_MAX:
                del self._suspects[next(iter(self._suspects))]
        suspect.crashed_starts.add((backend_server, start_id))
        suspect.expires_s = self._ctx.now_s + BLOCK_DURATION_S
        self._ctx.log(
            LogName.REQUEST_CRASHED_SERVER,
            fingerprint=f"{fingerprint:016x}",
            backend_server=backend_server,
            start_id=start_id,
            crashes=len(suspect.crashed_starts),
        )

    def _broadcast(self, message: Any) -> None:
        for name in self._list_peers():
            self._ctx.send(name, message)

    def _handle_crash_notice(self, envelope: Envelope) -> None:
        notice: CrashNotice = envelope.message
        self._record_crash(notice.fingerprint, notice.backend_server, notice.start_id)

    def _handle_crash_cleared(self, envelope: Envelope) -> None:
        self._suspects.pop(envelope.message.fingerprint, None)

    def _tick(self) -> None:
        now_s = self._ctx.now_s
        for loss in list(self._losses):
            row = self._servers.rows.get(loss.backend_server)
            if row is None or row.entry.start_id != loss.start_id:
                self._handle_crash(loss)
        self._losses = [
            recent
            for recent in self._losses
            if now_s - recent.lost_s < CRASH_DETECTION_WINDOW_S
        ]
        expired = [
            key for key, suspect in self._suspects.items() if suspect.expires_s <= now_s
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
