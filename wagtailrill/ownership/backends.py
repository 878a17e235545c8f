"""Grants to backend servers and detection of their loss, at each member."""

import math
from collections.abc import Callable

import attrs

from ..core.backend import (
    BackendError,
    BackendErrorKind,
    BackendOperation,
    BackendResult,
    Grant,
    Granted,
    Health,
    Probe,
    SlotEpoch,
)
from ..core.context import Context
from ..declaration.models import Configuration
from . import const
from .keys import rendezvous_rank
from .messages import BackendDoubt, BackendStatus
from .models import MembershipView
from .view import TableView


@attrs.define
class BackendRow:
    """What this member knows about a backend server of a keyed service."""

    name: str
    service: str
    checks_grants: bool
    failures: int = 0
    lost: bool = False
    announcements: int = 0
    announce_due_s: float = -math.inf
    lost_until_s: float = -math.inf
    last_lost_s: float = -math.inf
    call: int = 0
    call_started_s: float = -math.inf
    next_due_s: float = -math.inf
    granted: tuple[int, tuple[SlotEpoch, ...]] | None = None
    start_id: str = ""
    last_grant_s: float = -math.inf


class BackendWatcher:
    """Renews grants and probes the backend servers for which it has the duty.

    Every member computes the duty by rendezvous hashing over the members that it does
    not suspect; two members with the same duty do no harm, because the fence orders
    their grants.
    """

    def __init__(self, ctx: Context, membership: MembershipView) -> None:
        self._ctx = ctx
        self._membership = membership
        self._view = TableView()
        self._rows: dict[str, BackendRow] = {}
        self._calls = 0
        self._ranked: dict[str, list[str]] = {}
        self._ranked_members: object = None
        self._outcomes: dict[BackendErrorKind, Callable[[BackendRow], None]] = {
            BackendErrorKind.UNREACHABLE: self._failed,
            BackendErrorKind.TIMEOUT: self._failed,
            BackendErrorKind.FENCED: self._fenced,
            BackendErrorKind.UNKNOWN_GRANT: self._unknown_grant,
        }

    def configure(self, configuration: Configuration) -> None:
        """Watch the backend servers of the keyed services."""
        rows: dict[str, BackendRow] = {}
        for service in configuration.services.values():
            if not service.keyed:
                continue
            for entry in service.backend_servers:
                fresh = BackendRow(entry.name, service.name, service.checks_grants)
                row = self._rows.get(entry.name, fresh)
                row.service, row.checks_grants = service.name, service.checks_grants
                rows[entry.name] = row
        self._rows = rows

    def apply(self, view: TableView) -> None:
        """Grant by a new table from now on."""
        self._view = view
        for row in self._rows.values():
            if row.granted != self._desired(row):
                row.next_due_s = self._ctx.now_s
        self.tick()

    def tick(self) -> None:
        """Make the calls that are due."""
        if not self._membership.has_lease():
            self._release_all()
            return
        for row in self._rows.values():
            if not self.has_duty(row.name):
                self._release(row)
                continue
            self._expire_call(row)
            if row.lost and self._ctx.now_s >= row.announce_due_s:
                self._announce(row)
            if not row.call and self._ctx.now_s >= row.next_due_s:
                self._call(row)

    def has_duty(self, backend_server: str) -> bool:
        """Return whether this member grants to and probes a backend server."""
        return self._duty_holder(backend_server) == self._ctx.identity.instance

    def is_lost(self, backend_server: str) -> bool:
        """Return whether a backend server is announced as lost."""
        row = self._rows.get(backend_server)
        return row is not None and self._ctx.now_s < row.lost_until_s

    def reachable_for_s(self, backend_server: str) -> float:
        """Return for how long a backend server has not been announced as lost."""
        row = self._rows.get(backend_server)
        return self._ctx.now_s - row.last_lost_s if row else 0.0

    def report_unreachable(self, backend_server: str) -> None:
        """Probe a backend server at once, or have it probed."""
        row = self._rows.get(backend_server)
        if row is None:
            return
        if self.has_duty(backend_server):
            row.next_due_s = min(row.next_due_s, self._ctx.now_s)
            self.tick()
            return
        holder = self._duty_holder(backend_server)
        if holder:
            self._ctx.send(holder, BackendDoubt(backend_server))

    def status_received(self, status: BackendStatus) -> None:
        """Take over an announcement of another member."""
        row = self._rows.get(status.backend_server)
        if row is not None:
            self._set_status(row, status.reachable)

    def grant_ages_s(self) -> dict[str, float]:
        """Return how long ago grants were sent, for those that may be in force."""
        now_s = self._ctx.now_s
        return {
            row.name: now_s - row.last_grant_s
            for row in self._rows.values()
            if now_s - row.last_grant_s < 2.0 * const.GRANT_S
        }

    def revoke(self, backend_server: str, on_fence: Callable[[int], None]) -> None:
        """Send the full grant of the current table and report the confirmed fence."""
        row = self._rows.get(backend_server)
        if row is None:
            return
        grant = self._grant(row, full=True)
        if grant is None:
            return

        def done(result: BackendResult) -> None:
            if result.is_ok() and isinstance(result.ok, Granted):
                on_fence(result.ok.fence)

        self._ctx.call_backend(backend_server, grant, done)

    def _duty_holder(self, backend_server: str) -> str:
        members = self._membership.members()
        if members != self._ranked_members:
            self._ranked_members, self._ranked = members, {}
        ranked = self._ranked.get(backend_server)
        if ranked is None:
            ranked = sorted(
                (m.instance for m in members),
                key=lambda name: rendezvous_rank(backend_server, name),
                reverse=True,
            )
            self._ranked[backend_server] = ranked
        own = self._ctx.identity.instance
        suspected = self._membership.suspected
        return next((n for n in ranked if n == own or not suspected(n)), "")

    def _release(self, row: BackendRow) -> None:
        row.failures, row.lost, row.granted, row.call = 0, False, None, 0
        row.next_due_s = -math.inf

    def _release_all(self) -> None:
        for row in self._rows.values():
            self._release(row)

    def _desired(self, row: BackendRow) -> tuple[int, tuple[SlotEpoch, ...]]:
        service = self._view.services.get(row.service)
        if service is None:
            return 0, ()
        return service.fence, service.granted_to(row.name)

    def _grant(self, row: BackendRow, full: bool) -> Grant | None:
        """Return the grant to send now; it ends with this member's lease at the latest.

        The absolute expiry keeps a backend server that was frozen from taking a grant
        that waited in its connection.
        """
        remaining_s = self._membership.lease_remaining_s()
        duration_s = min(const.GRANT_S, remaining_s)
        if not self._membership.has_lease() or duration_s < const.LEASE_MARGIN_S:
            return None
        fence, slots = self._desired(row)
        if fence == 0:
            return None
        row.last_grant_s = self._ctx.now_s
        return Grant(
            service=row.service,
            fence=fence,
            slots=slots if full else (),
            duration_s=duration_s,
            renew_only=not full,
            expires_unix_s=self._ctx.wall_s + duration_s,
        )

    def _operation(
        self, row: BackendRow, desired: tuple[int, tuple[SlotEpoch, ...]]
    ) -> BackendOperation:
        # A grant sent to a lost server would only lengthen the wait for its expiry.
        if not row.checks_grants or row.failures or self.is_lost(row.name):
            return Probe()
        return self._grant(row, full=row.granted != desired) or Probe()

    def _call(self, row: BackendRow) -> None:
        desired = self._desired(row)
        operation = self._operation(row, desired)
        self._calls += 1
        call = self._calls
        row.call, row.call_started_s = call, self._ctx.now_s
        interval_s = const.RENEW_INTERVAL_S
        is_grant = isinstance(operation, Grant)
        if isinstance(operation, Grant):
            # Near the end of a lease grants are short.
            interval_s = min(interval_s, operation.duration_s / 2.0)
        row.next_due_s = self._ctx.now_s + interval_s

        def done(result: BackendResult) -> None:
            if row.call == call:
                row.call = 0
                self._replied(row, result, desired if is_grant else None)

        self._ctx.call_backend(row.name, operation, done)

    def _replied(
        self,
        row: BackendRow,
        result: BackendResult,
        desired: tuple[int, tuple[SlotEpoch, ...]] | None,
    ) -> None:
        if result.is_error():
            error: BackendError = result.error
            self._outcomes[error.kind](row)
            return
        reply = result.ok
        if isinstance(reply, Health) and reply.start_id != row.start_id:
            row.start_id, row.granted = reply.start_id, None
        if desired is not None:
            row.granted = desired
        self._reached(row)

    def _reached(self, row: BackendRow) -> None:
        after_failure = row.failures > 0
        row.failures = 0
        if row.lost:
            row.lost = False
            self._broadcast(row, reachable=True)
        if after_failure or row.granted not in (None, self._desired(row)):
            row.next_due_s = self._ctx.now_s

    def _fenced(self, row: BackendRow) -> None:
        # Another member granted by a newer table, which is on its way to this one.
        row.granted = None
        self._reached(row)
        row.next_due_s = self._ctx.now_s + const.TICK_S

    def _unknown_grant(self, row: BackendRow) -> None:
        row.granted = None
        self._reached(row)
        row.next_due_s = self._ctx.now_s

    def _failed(self, row: BackendRow) -> None:
        row.failures += 1
        row.granted = None
        row.next_due_s = row.call_started_s + const.PROBE_TIMEOUT_S
        if row.failures >= const.PROBE_FAILURES and not row.lost:
            row.lost, row.announcements = True, 0
            self._announce(row)

    def _expire_call(self, row: BackendRow) -> None:
        if row.call and self._ctx.now_s >= row.call_started_s + const.PROBE_TIMEOUT_S:
            row.call = 0
            self._failed(row)

    def _announce(self, row: BackendRow) -> None:
        row.announcements += 1
        first = row.announcements <= const.LOST_FIRST_ANNOUNCEMENTS
        interval_s = (
            const.LOST_FIRST_ANNOUNCE_INTERVAL_S
            if first
            else const.LOST_ANNOUNCE_INTERVAL_S
        )
        row.announce_due_s = self._ctx.now_s + interval_s
        self._broadcast(row, reachable=False)

    def _broadcast(self, row: BackendRow, reachable: bool) -> None:
        self._set_status(row, reachable)
        own = self._ctx.identity.instance
        for member in self._membership.members():
            if member.instance != own:
                self._ctx.send(member.instance, BackendStatus(row.name, reachable))

    def _set_status(self, row: BackendRow, reachable: bool) -> None:
        if reachable:
            row.lost_until_s = -math.inf
            return
        row.lost_until_s = self._ctx.now_s + const.LOST_HOLD_S
        row.last_lost_s = self._ctx.now_s
