"""Choice of a backend server by what one instance has seen itself."""

from ..core.context import Context
from ..core.orders import AttemptResult
from .load import LoadTable
from .models import ServerRow
from .table import ServerTable
from .warmth import ColdAllowances


class ServerChoice:
    """Chooses among the servers that take work, without asking anybody.

    It also keeps to this instance's part of what a cold server bears.
    """

    def __init__(self, ctx: Context, table: ServerTable, cold: ColdAllowances) -> None:
        self._ctx = ctx
        self._table = table
        self._cold = cold
        self._loads: dict[str, LoadTable] = {}

    def choose(self, service: str, exclude: frozenset[str]) -> ServerRow | None:
        """Return the server that would answer first, or None if none takes work."""
        rows = [
            row
            for row in self._table.by_service.get(service, ())
            if self._table.accepts_work(row)
            and row.name not in exclude
            and self._cold.may_send(row)
        ]
        loads = self._table_of(service)
        now_s = self._ctx.now_s
        reachable = [row for row in rows if not loads.of(row).suspect(now_s)]
        return min(reachable or rows, key=self._expected_s, default=None)

    def known(self, backend_server: str) -> ServerRow | None:
        """Return the row of a named server, None while it may not get a request."""
        row = self._table.rows.get(backend_server)
        if row is None or not self._table.may_be_used(row):
            return None
        if not self._cold.may_send(row):
            return None
        return row

    def sent(self, row: ServerRow) -> None:
        """Count a request that is sent to a server."""
        self._table_of(row.entry.service).of(row).assigned += 1
        self._cold.sent(row)

    def ended(self, row: ServerRow, result: AttemptResult) -> None:
        """Take in the end of an attempt."""
        loads = self._table_of(row.entry.service)
        load = loads.of(row)
        load.assigned = max(0, load.assigned - 1)
        loads.ended(load, result.outcome, result.latency_s, result.load)

    def _expected_s(self, row: ServerRow) -> float:
        loads = self._table_of(row.entry.service)
        load = loads.of(row)
        crowding = max(1.0, (load.present() + 1.0) / load.slots)
        time_s = loads.cost_s(load, self._ctx.identity.data_centre) * crowding
        # Servers that look alike are used in turns.
        return time_s * (1.0 + 0.02 * self._ctx.rng.random())

    def _table_of(self, service: str) -> LoadTable:
        loads = self._loads.get(service)
        if loads is None:
            loads = self._loads[service] = LoadTable(self._ctx)
        return loads
