"""Knows what has been decided about the versions of each service.

Every instance has one table; the server table asks it which versions may be used.
"""

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..servers.models import ServerEntry
from ..servers.table import ServerTable
from .exposure import ExposureGate
from .models import Phase, RolloutRecord

Versions = frozenset[str]


@attrs.define(eq=False)
class VersionRow:
    """The versions of one service.

    `first_versions` were present when this process first knew servers of the service;
    they count while there is no record. Any instance may choose servers of `settled`
    versions, those of `permitted` ones run what was placed at them. `key_versions` may
    hold keys, as may the servers under test.
    """

    service: str
    gate: ExposureGate
    record: RolloutRecord | None = None
    first_versions: Versions = frozenset()
    settled: Versions = frozenset()
    permitted: Versions = frozenset()
    key_versions: Versions = frozenset()

    def update(self, is_absence_known: bool) -> bool:
        """Derive the sets of versions; return whether they have changed.

        With `is_absence_known` a missing record means that there is none.
        """
        former = self.settled, self.permitted, self.key_versions
        record = self.record
        if record is None:
            # The one version that is present cannot be one that awaits an order.
            is_certain = is_absence_known or len(self.first_versions) == 1
            allowed = self.first_versions if is_certain else frozenset()
            self.settled = self.permitted = self.key_versions = allowed
        else:
            allowed, target = frozenset(record.allowed), frozenset({record.target})
            sets_by_phase = {
                Phase.CANARY: (allowed, allowed | target, allowed),
                Phase.PROMOTING: (target, allowed | target, target),
            }
            self.settled, self.permitted, self.key_versions = sets_by_phase.get(
                record.phase, (allowed, allowed, allowed)
            )
        return former != (self.settled, self.permitted, self.key_versions)


class VersionTable:
    """Implements `VersionPolicy` by the records of all services.

    Records are ordered by their serial: a copy from which the store was restored does
    not bring an earlier one back. A server whose version is unknown is allowed, as an
    instance of an earlier release relays entries without it.
    """

    def __init__(self, ctx: Context, servers: ServerTable) -> None:
        self._ctx = ctx
        self._servers = servers
        self._rows: dict[str, VersionRow] = {}
        self._is_absence_known = False
        servers.add_listener(self._on_servers_changed)

    def get_row(self, service: str) -> VersionRow:
        """Return the row of a service."""
        row = self._rows.get(service)
        if row is None:
            row = self._rows[service] = VersionRow(service, ExposureGate(self._ctx))
        return row

    def is_settled(self, entry: ServerEntry) -> bool:
        """Return whether any instance may choose the server for a request."""
        row = self.get_row(entry.service)
        return not entry.version or entry.version in row.settled

    def is_permitted(self, entry: ServerEntry) -> bool:
        """Return whether the server may run requests that were placed at it."""
        row = self.get_row(entry.service)
        return not entry.version or entry.version in row.permitted

    def is_bounded(self, entry: ServerEntry) -> bool:
        """Return whether only the dispatcher may place requests at the server."""
        record = self.get_row(entry.service).record
        is_testing = record is not None and record.phase is Phase.CANARY
        return is_testing and self.is_permitted(entry) and not self.is_settled(entry)

    def may_hold_keys(self, entry: ServerEntry) -> bool:
        """Return whether the server may be given keys."""
        row = self.get_row(entry.service)
        if not entry.version or entry.version in row.key_versions:
            return True
        return entry.version in row.permitted and entry.name in row.gate.servers

    def take_record(
        self, service: str, record: RolloutRecord, is_stored: bool = False
    ) -> None:
        """Take a record over, unless it is older than the known one.

        A stored record replaces one with the same serial that never got stored.
        """
        row = self.get_row(service)
        known = row.record
        if known is not None and (
            record.serial < known.serial
            or (record.serial == known.serial and not is_stored)
            or record == known
        ):
            return
        row.record = record
        row.gate.follow(record)
        self._ctx.log(
            LogName.ROLLOUT_RECORDED,
            service=service,
            phase=record.phase.value,
            target=record.target,
            allowed=",".join(record.allowed),
            serial=record.serial,
            stored=is_stored,
        )
        self._update(row)

    def note_absence_known(self) -> None:
        """Note that the store has been read, so that missing records do not exist."""
        if not self._is_absence_known:
            self._is_absence_known = True
            for row in list(self._rows.values()):
                self._update(row)

    def _update(self, row: VersionRow) -> None:
        if row.update(self._is_absence_known):
            self._servers.apply_versions()

    def _on_servers_changed(self) -> None:
        for service, servers in self._servers.rows_by_service.items():
            row = self.get_row(service)
            if row.record is None and not row.first_versions:
                versions = frozenset(server.entry.version for server in servers)
                row.first_versions = versions - {""}
                self._update(row)
