"""Keeps the table of backend servers and tells which of them may get requests.

Server choice, placement, key ownership and the crash guard use it.
"""

from collections.abc import Callable

import attrs

from ..core.commands import CloseConnections
from ..core.context import Context
from ..core.log_events import LogName
from ..declaration.models import Configuration, Service
from .const import (
    CLOSING_GRACE_S,
    COLD_DURATION_DEFAULT_S,
    COLD_DURATION_MARGIN_S,
    GONE_ADDRESS_RETENTION_S,
    LEAVING_GRACE_S,
)
from .control import CheckSameProcess, ControlResult
from .models import ServerEntry, ServerProcess, ServerRow, ServerState
from .notice_memory import NoticeMemory
from .versions import AnyVersion, VersionPolicy

TableListener = Callable[[], None]


class ServerTable:
    """Rows of the announced or declared backend servers, by name and by service.

    No server wants a pause after `last_pause_end_s`, a monotonic time. `closed_since_s`
    tells for each closed data centre when this instance learned that it closes, `-inf`
    if it was closed before the first configuration. `versions` tells which versions of
    the servers may get requests.
    """

    def __init__(self, ctx: Context) -> None:
        self.rows: dict[str, ServerRow] = {}
        self.rows_by_service: dict[str, tuple[ServerRow, ...]] = {}
        self.closed_since_s: dict[str, float] = {}
        self.last_pause_end_s = float("-inf")
        self.versions: VersionPolicy = AnyVersion()
        self._ctx = ctx
        self._services: dict[str, Service] = {}
        self._configured_s: float | None = None
        self._gone_addresses: dict[str, tuple[float, str]] = {}
        self.notice_memory = NoticeMemory(ctx, self._is_present)
        self._listeners: list[TableListener] = []

    def add_listener(self, listener: TableListener) -> None:
        """Add a callback that is called after each change of the rows."""
        self._listeners.append(listener)

    def configure(self, configuration: Configuration) -> None:
        """Apply the services and the closed data centres."""
        learned_s = float("-inf")
        if self._configured_s is None:
            self._configured_s = self._ctx.now_s
        else:
            learned_s = self._ctx.now_s
        self._services = configuration.services
        self.closed_since_s = {
            name: self.closed_since_s.get(name, learned_s)
            for name in configuration.closed_data_centres
        }
        self._publish_rows()

    def update_entries(self, entries: dict[str, ServerEntry]) -> None:
        """Update the rows to match a complete list of entries by name."""
        changed = False
        for entry in entries.values():
            changed |= self._update_row(self.correct_entry(entry))
        for name in self.rows.keys() - entries.keys():
            self._remove_row(name, "no_entry")
            changed = True
        if changed:
            self._publish_rows()

    def accepts_work(self, row: ServerRow) -> bool:
        """Return whether new requests may go to a backend server."""
        return self.is_open(row) and self.versions.is_settled(row.entry)

    def is_open(self, row: ServerRow) -> bool:
        """Return whether a server takes new work, whatever its version."""
        return not row.is_leaving and row.entry.data_centre not in self.closed_since_s

    def may_hold_keys(self, row: ServerRow) -> bool:
        """Return whether a server may be given keys."""
        return self.is_open(row) and self.versions.may_hold_keys(row.entry)

    def apply_versions(self) -> None:
        """Publish the rows again, since other versions may get requests now."""
        self._publish_rows()

    def mark_leaving(self, process: ServerProcess) -> bool:
        """Take a server process as leaving for good.

        Return whether it is not known here to have said so.
        """
        is_news = self.notice_memory.record_leaving(process)
        row = self._find_row(process)
        if row is not None and not row.is_leaving:
            row.leaving_since_s = self._ctx.now_s
            self._publish_rows()
        return is_news

    def mark_paused(self, process: ServerProcess, until_s: float) -> None:
        """Send nothing to a server process until `until_s`, a monotonic time."""
        self.last_pause_end_s = max(self.last_pause_end_s, until_s)
        paused_until_s = self.notice_memory.record_pause(process, until_s)
        row = self._find_row(process)
        if row is not None:
            row.paused_until_s = paused_until_s

    def correct_entry(self, entry: ServerEntry) -> ServerEntry:
        """Return an entry as leaving if its process has said so itself.

        Its entry in the store may say so later, or have been written before.
        """
        if not self.notice_memory.is_leaving(entry.process):
            return entry
        return attrs.evolve(entry, state=ServerState.LEAVING, says_leaving=True)

    def _find_row(self, process: ServerProcess) -> ServerRow | None:
        row = self.rows.get(process.name)
        return row if row is not None and row.entry.process == process else None

    def _is_present(self, process: ServerProcess) -> bool:
        return self._find_row(process) is not None

    def accepts_keyed_requests(self, row: ServerRow) -> bool:
        """Return whether requests for keys that a server holds may still go to it.

        The keys of a server that leaves or whose data centre is closed move to others.
        If they cannot, as no other server is left or the granter cannot reach the
        store, requests to it stop after a grace period.
        """
        is_permitted = self.versions.is_permitted(row.entry)
        return is_permitted and self._ctx.now_s < self._get_refusing_since_s(row)

    def get_refused_for_s(self, name: str) -> float:
        """Return for how many seconds a server has got no requests for its keys.

        It is 0 if it gets them, or if it is unknown.
        """
        row = self.rows.get(name)
        if row is None or self._configured_s is None:
            return 0.0
        since_s = max(self._get_refusing_since_s(row), self._configured_s)
        return max(0.0, self._ctx.now_s - since_s)

    def _get_refusing_since_s(self, row: ServerRow) -> float:
        """Return when requests for the keys of a server end, infinite if they do not.

        That is a monotonic time.
        """
        closed_since_s = self.closed_since_s.get(row.entry.data_centre, float("inf"))
        return min(
            row.leaving_since_s + LEAVING_GRACE_S, closed_since_s + CLOSING_GRACE_S
        )

    def is_out_of_service(self, service: str, keyed: bool) -> bool:
        """Return whether a service has servers, but none that may get a request.

        All of them leave or are in closed data centres, which nobody can wait for.
        """
        accepts = self.accepts_keyed_requests if keyed else self.accepts_work
        rows = self.rows_by_service.get(service, ())
        return bool(rows) and not any(accepts(row) for row in rows)

    def find_address(self, name: str) -> str | None:
        """Return the address of a server, also for some time after its removal.

        A server may keep running after its entry was removed, and can then be asked to
        release its keys.
        """
        row = self.rows.get(name)
        if row is not None:
            return row.entry.address
        gone_s, address = self._gone_addresses.get(name, (0.0, ""))
        return (
            address
            if address and self._ctx.now_s - gone_s < GONE_ADDRESS_RETENTION_S
            else None
        )

    def get_connections_max(self, row: ServerRow) -> int:
        """Return the fleet's limit on connections to a server, 0 for no limit."""
        service = self._services.get(row.entry.service)
        declared = service.connections_max if service else 0
        return row.entry.connections_max or declared

    def is_cold(self, row: ServerRow) -> bool:
        """Return whether a server is cold, or may be."""
        now_s = self._ctx.now_s
        doubted = row.doubted_revision is not None
        return now_s < row.cold_until_s or (
            doubted and now_s < self._compute_warm_s(row)
        )

    def _compute_warm_s(self, row: ServerRow) -> float:
        """Return when a server that restarted at `doubted_s` would be warm."""
        service = self._services.get(row.entry.service)
        cold_start = service.cold_start if service is not None else None
        duration_s = cold_start.duration_s if cold_start else COLD_DURATION_DEFAULT_S
        return row.doubted_s + duration_s + COLD_DURATION_MARGIN_S

    def doubt_warmth(self, row: ServerRow, reason: str) -> None:
        """Treat a server as cold, since it may have restarted.

        It counts as cold until its next entry, until its process proves to be the same,
        or until a process that restarted now would be warm. `reason` is the outcome
        that raised the doubt, for the log.
        """
        row.doubted_s = self._ctx.now_s
        if row.doubted_revision is None:
            row.doubted_revision = row.entry.revision
            self._ctx.log(
                LogName.SERVER_WARMTH_DOUBTED, backend_server=row.name, reason=reason
            )
            self._check_same_process(row, row.doubted_s)

    def _check_same_process(self, row: ServerRow, doubted_s: float) -> None:
        def on_check_result(result: ControlResult) -> None:
            still_doubted = (
                row.doubted_revision is not None and row.doubted_s == doubted_s
            )
            if result.is_ok() and still_doubted:
                self._trust_warmth(row, "other_connections_stay_open")

        self._ctx.call_backend(row.name, CheckSameProcess(), on_check_result)

    def confirm_warmth(self, row: ServerRow, started_s: float) -> None:
        """End the doubt if a request that was started before it has been answered.

        A restarted process loses all requests that it was running.
        """
        if row.doubted_revision is not None and started_s < row.doubted_s:
            self._trust_warmth(row, "earlier_request_answered")

    def _trust_warmth(self, row: ServerRow, reason: str) -> None:
        row.doubted_revision = None
        self._ctx.log(
            LogName.SERVER_WARMTH_TRUSTED, backend_server=row.name, reason=reason
        )

    def _update_row(self, entry: ServerEntry) -> bool:
        row = self.rows.get(entry.name)
        if row is not None and row.entry.start_id != entry.start_id:
            self._remove_row(entry.name, "started_again")
            row = None
        if row is None:
            row = ServerRow(entry, self._ctx.now_s)
            row.cold_until_s = self._ctx.now_s + entry.cold_left_s
            row.paused_until_s = self.notice_memory.get_paused_until_s(entry.process)
            row.leaving_since_s = self.notice_memory.get_leaving_since_s(entry.process)
            if entry.state is ServerState.LEAVING and not row.is_leaving:
                row.leaving_since_s = self._ctx.now_s
            self.rows[entry.name] = row
            self._log_entry(LogName.SERVER_JOINED, entry)
            return True
        if entry.revision == row.entry.revision:
            return False
        row.cold_until_s = self._ctx.now_s + entry.cold_left_s
        if row.doubted_revision is not None and entry.revision > row.doubted_revision:
            row.doubted_revision = None
        if entry.state is not ServerState.LEAVING:
            row.leaving_since_s = float("inf")
        elif not row.is_leaving:
            row.leaving_since_s = self._ctx.now_s
        former_entry, row.entry = row.entry, entry
        comparable = attrs.evolve(former_entry, cold_left_s=entry.cold_left_s)
        if entry.has_same_content(comparable):
            return False
        self._log_entry(LogName.SERVER_CHANGED, entry)
        return True

    def _remove_row(self, name: str, reason: str) -> None:
        row = self.rows.pop(name)
        now_s = self._ctx.now_s
        self._gone_addresses = {
            n: g
            for n, g in self._gone_addresses.items()
            if now_s - g[0] < GONE_ADDRESS_RETENTION_S
        }
        self._gone_addresses[name] = (now_s, row.entry.address)
        self._ctx.emit_command(CloseConnections(name))
        self._ctx.log(
            LogName.SERVER_GONE,
            backend_server=name,
            reason=reason,
            revision=row.entry.revision,
        )

    def _publish_rows(self) -> None:
        rows_by_service: dict[str, list[ServerRow]] = {
            name: [] for name in self._services
        }
        for row in self.rows.values():
            rows_by_service.setdefault(row.entry.service, []).append(row)
        self.rows_by_service = {
            name: tuple(rows) for name, rows in rows_by_service.items()
        }
        for listener in self._listeners:
            listener()

    def _log_entry(self, name: LogName, entry: ServerEntry) -> None:
        self._ctx.log(
            name,
            backend_server=entry.name,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            state=entry.state.value,
            start_id=entry.start_id,
            cold_left_s=round(entry.cold_left_s, 3),
            revision=entry.revision,
        )
