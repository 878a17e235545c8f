"""Table of backend servers and what happens to its rows."""

from collections.abc import Callable

import attrs

from ..core.commands import CloseConnections
from ..core.context import Context
from ..core.log_events import LogName
from ..declaration.models import Configuration, Service
from .const import DOUBT_MARGIN_S, DOUBT_S, GONE_KEPT_S, LEAVING_USED_S
from .control import CheckSameProcess, ControlResult
from .models import ServerEntry, ServerRow, ServerState

TableListener = Callable[[], None]


class ServerTable:
    """Rows of the backend servers that are announced or declared, by name."""

    def __init__(self, ctx: Context) -> None:
        self.rows: dict[str, ServerRow] = {}
        self.by_service: dict[str, tuple[ServerRow, ...]] = {}
        self.closed: frozenset[str] = frozenset()
        self._ctx = ctx
        self._services: dict[str, Service] = {}
        self._gone: dict[str, tuple[float, str]] = {}
        self._listeners: list[TableListener] = []

    def add_listener(self, listener: TableListener) -> None:
        """Add a receiver of changes."""
        self._listeners.append(listener)

    def configure(self, configuration: Configuration) -> None:
        """Apply the services and the data centres that are closed."""
        self._services = configuration.services
        self.closed = configuration.closed_data_centres
        self._changed()

    def update(self, entries: dict[str, ServerEntry]) -> None:
        """Replace the rows by those of a whole list of entries."""
        changed = False
        for entry in entries.values():
            changed |= self._update_row(entry)
        for name in self.rows.keys() - entries.keys():
            self._remove(name, "no_entry")
            changed = True
        if changed:
            self._changed()

    def accepts_work(self, row: ServerRow) -> bool:
        """Return whether new requests may go to a backend server."""
        return (
            row.entry.state is ServerState.READY
            and row.entry.data_centre not in self.closed
        )

    def may_be_used(self, row: ServerRow) -> bool:
        """Return whether requests for keys that a server holds may still go to it.

        The keys of a leaving server move; when nobody can move them, as while the
        granter cannot reach the store, they are left alone soon.
        """
        return self._ctx.now_s < row.leaving_s + LEAVING_USED_S

    def address_of(self, name: str) -> str | None:
        """Return the address of a server, also for some time after it is gone.

        A server may run on after its entry has ended, and can then be asked to give
        up its keys.
        """
        row = self.rows.get(name)
        if row is not None:
            return row.entry.address
        gone_s, address = self._gone.get(name, (0.0, ""))
        return address if address and self._ctx.now_s - gone_s < GONE_KEPT_S else None

    def connections_max(self, row: ServerRow) -> int:
        """Return how many connections a server takes from all instances together."""
        service = self._services.get(row.entry.service)
        declared = service.connections_max if service else 0
        return row.entry.connections_max or declared

    def is_cold(self, row: ServerRow) -> bool:
        """Return whether a server is cold, or may be."""
        now_s = self._ctx.now_s
        doubted = row.doubted_revision is not None
        return now_s < row.cold_until_s or (
            doubted and now_s < self._doubted_until(row)
        )

    def _doubted_until(self, row: ServerRow) -> float:
        """Return when a server that started again at the doubt would be warm."""
        service = self._services.get(row.entry.service)
        cold_start = service.cold_start if service is not None else None
        duration_s = cold_start.duration_s if cold_start else DOUBT_S
        return row.doubted_s + duration_s + DOUBT_MARGIN_S

    def doubt_warmth(self, row: ServerRow, reason: str) -> None:
        """Take a server for cold until its next entry: it may have started again."""
        row.doubted_s = self._ctx.now_s
        if row.doubted_revision is None:
            row.doubted_revision = row.entry.revision
            self._ctx.log(
                LogName.SERVER_WARMTH_DOUBTED, backend_server=row.name, reason=reason
            )
            self._check_process(row, row.doubted_s)

    def _check_process(self, row: ServerRow, doubted_s: float) -> None:
        def on_checked(result: ControlResult) -> None:
            still = row.doubted_revision is not None and row.doubted_s == doubted_s
            if result.is_ok() and still:
                self._trust(row, "other_connections_stay_open")

        self._ctx.call_backend(row.name, CheckSameProcess(), on_checked)

    def answered(self, row: ServerRow, started_s: float) -> None:
        """Trust a server that has answered a request from before the doubt.

        A process that starts again loses all requests that it was running.
        """
        if row.doubted_revision is not None and started_s < row.doubted_s:
            self._trust(row, "earlier_request_answered")

    def _trust(self, row: ServerRow, reason: str) -> None:
        row.doubted_revision = None
        self._ctx.log(
            LogName.SERVER_WARMTH_TRUSTED, backend_server=row.name, reason=reason
        )

    def _update_row(self, entry: ServerEntry) -> bool:
        row = self.rows.get(entry.name)
        if row is not None and row.entry.start_id != entry.start_id:
            self._remove(entry.name, "started_again")
            row = None
        if row is None:
            row = ServerRow(entry, self._ctx.now_s)
            row.cold_until_s = self._ctx.now_s + entry.cold_left_s
            if entry.state is ServerState.LEAVING:
                row.leaving_s = self._ctx.now_s
            self.rows[entry.name] = row
            self._log(LogName.SERVER_JOINED, entry)
            return True
        if entry.revision == row.entry.revision:
            return False
        row.cold_until_s = self._ctx.now_s + entry.cold_left_s
        if row.doubted_revision is not None and entry.revision > row.doubted_revision:
            row.doubted_revision = None
        if entry.state is not ServerState.LEAVING:
            row.leaving_s = float("inf")
        elif row.entry.state is not ServerState.LEAVING:
            row.leaving_s = self._ctx.now_s
        former, row.entry = row.entry, entry
        same = attrs.evolve(former, revision=entry.revision, cold_left_s=0.0)
        if same == attrs.evolve(entry, cold_left_s=0.0):
            return False
        self._log(LogName.SERVER_CHANGED, entry)
        return True

    def _remove(self, name: str, reason: str) -> None:
        row = self.rows.pop(name)
        now_s = self._ctx.now_s
        self._gone = {n: g for n, g in self._gone.items() if now_s - g[0] < GONE_KEPT_S}
        self._gone[name] = (now_s, row.entry.address)
        self._ctx.emit(CloseConnections(name))
        self._ctx.log(
            LogName.SERVER_GONE,
            backend_server=name,
            reason=reason,
            revision=row.entry.revision,
        )

    def _changed(self) -> None:
        groups: dict[str, list[ServerRow]] = {name: [] for name in self._services}
        for row in self.rows.values():
            groups.setdefault(row.entry.service, []).append(row)
        self.by_service = {name: tuple(rows) for name, rows in groups.items()}
        for listener in self._listeners:
            listener()

    def _log(self, name: LogName, entry: ServerEntry) -> None:
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
