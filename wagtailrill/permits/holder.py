"""Holder side: permits of this instance, kept while in use and shortly after."""

import itertools

from ..core.commands import CloseConnections
from ..core.context import Context
from ..declaration.models import Configuration
from ..partitions.directory import PartitionDirectory, partition_of
from ..peer.registry import Envelope
from .const import (
    QUEUE_LENGTH_VALID_S,
    REPORTED_WAITING_MAX,
    RESOURCE_KIND,
    TICK_INTERVAL_S,
    UPTIME_NEWS_S,
)
from .fair_order import weights_of
from .holder_rows import HolderRow, HomeAddress, Waiter
from .messages import (
    CollectHoldings,
    HoldingsReport,
    PermitGrant,
    PermitReport,
    WaitingRequest,
)
from .models import DeniedReason, OnPermit, Permit, PermitDenied, PermitSettings


class PermitHolder:
    """Gives held permits to requests and asks the homes for more."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: PermitSettings
    ) -> None:
        self.ctx = ctx
        self.directory = directory
        self.cfg = cfg
        self.configuration: Configuration | None = None
        self.rows: dict[str, HolderRow] = {}
        self.session = 1
        self._weights: dict[str, float] = {}
        self._homes: dict[int, HomeAddress] = {}
        self._row_of_request: dict[int, HolderRow] = {}
        self._permit_ids = itertools.count(1)
        ctx.timers.subscribe(TICK_INTERVAL_S, self._tick)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; requests for servers that take no work are denied."""
        self.configuration = configuration
        self._weights = weights_of(configuration)
        for row in self.rows.values():
            if not configuration.accepts_work(row.backend_server):
                row.return_idle(len(row.idle))
                self._deny_all(row, DeniedReason.NOT_ACCEPTING)
                self._report_if_changed(row)

    def idle(self, backend_server: str) -> int:
        """Return the permits that can be used at once."""
        row = self.rows.get(backend_server)
        if row is None or not row.idle or not self._may_use(backend_server):
            return 0
        return len(row.idle)

    def in_use(self, backend_server: str) -> int:
        """Return the permits of this instance that are in use."""
        row = self.rows.get(backend_server)
        return len(row.in_use) if row else 0

    def queue_length(self, backend_server: str) -> int:
        """Return the last known number of requests waiting at the home."""
        row = self.rows.get(backend_server)
        if row is None or self.ctx.now_s - row.queue_length_s > QUEUE_LENGTH_VALID_S:
            return 0
        return row.queue_length

    def acquire(
        self,
        backend_server: str,
        request_id: int,
        organisation: str,
        deadline_s: float,
        on_result: OnPermit,
    ) -> None:
        """Call back with a permit now or later, or with the reason why there is none.

        `deadline_s` is monotonic time.
        """
        reason = self._reason_against(backend_server)
        if reason is not None:
            on_result(PermitDenied(backend_server, request_id, reason))
            return
        row = self._row(backend_server)
        if row.idle:
            row.idle.pop()
            on_result(self._use(row, request_id, may_connect=False))
            return
        waiter = Waiter(request_id, organisation, deadline_s, on_result)
        waiter.timer = self.ctx.timers.call_at(
            deadline_s, lambda: self._deny(row, waiter, DeniedReason.DEADLINE)
        )
        row.waiters[request_id] = waiter
        self._row_of_request[request_id] = row
        row.changed = True
        if len(row.waiters) <= REPORTED_WAITING_MAX:
            self._report(row)

    def cancel(self, request_id: int) -> None:
        """Stop waiting; nothing is called back."""
        row = self._row_of_request.pop(request_id, None)
        if row is None:
            return
        waiter = row.waiters.pop(request_id)
        if waiter.timer is not None:
            waiter.timer.cancel()
        row.changed = True

    def release(
        self,
        permit: Permit,
        connection_open: bool,
        start_id: str = "",
        still_runs_s: float = 0.0,
    ) -> None:
        """Give back a permit after its request has ended.

        `start_id` is that of the answer. A request that was abandoned may go on
        running: its permit stays in use for `still_runs_s` seconds.
        """
        if still_runs_s > 0.0:
            self.ctx.timers.call_later(still_runs_s, lambda: self._end(permit, False))
            return
        self._end(permit, connection_open, start_id)

    def connection_closed(self, backend_server: str) -> None:
        """Count an idle connection as closed by the other side."""
        row = self.rows.get(backend_server)
        if row is None or not (row.spare or row.idle):
            return
        if not row.spare:
            row.return_idle(1)
        row.close_spare(1)
        self._report(row)

    def start_id_seen(
        self, backend_server: str, start_id: str, uptime_s: float
    ) -> None:
        """Take in the start id and uptime in seconds that a probe returned."""
        row = self._row(backend_server)
        now_s = self.ctx.now_s
        sighting = row.sighting
        same = start_id == sighting.start_id
        went_back = same and uptime_s < sighting.uptime_s
        news = uptime_s > sighting.least_uptime_s(now_s) + UPTIME_NEWS_S
        news = self._sight(row, start_id) or went_back or news
        if went_back:
            row.restarts += 1
            sighting.replace(start_id, now_s)
            self._drop_holdings(row)
        sighting.seen_s, sighting.uptime_at_s = now_s, now_s
        sighting.uptime_s = uptime_s
        if news:
            self._report(row)

    def lease_lost(self) -> None:
        """Void all holdings; orders in flight end by themselves and stay counted."""
        self.session += 1
        for row in self.rows.values():
            self._drop_holdings(row)
            self._deny_all(row, DeniedReason.NO_LEASE)

    def collected(self, envelope: Envelope) -> None:
        """Report all holdings in some partitions to their new home."""
        message: CollectHoldings = envelope.message
        asked = tuple(
            p for p in message.partitions if p.epoch >= self._home(p.partition).epoch
        )
        for entry in asked:
            home = HomeAddress(envelope.sender, entry.epoch)
            self._homes[entry.partition] = home
        epochs = {p.partition: p.epoch for p in asked}
        reports = tuple(
            self._next_report(row, epochs[row.partition])
            for row in self.rows.values()
            if row.partition in epochs
        )
        answer = HoldingsReport(asked, reports)
        self.ctx.send(envelope.sender, answer, envelope.incarnation)

    def granted(self, envelope: Envelope) -> None:
        """Take in the home's account: new permits, recalls and the server's start."""
        message: PermitGrant = envelope.message
        row = self._row(message.backend_server)
        home = self._home(row.partition)
        current = (message.session, message.epoch) == (self.session, home.epoch)
        if not (current and row.plausible(message.granted, message.connects)):
            return
        row.confirmed_number = max(row.confirmed_number, message.report_number)
        row.queue_length, row.queue_length_s = message.queue_length, self.ctx.now_s
        if message.start_id and message.start_id != row.sighting.start_id:
            known = row.sighting.start_id
            row.sighting.replace(message.start_id, self.ctx.now_s)
            if known:
                self._drop_holdings(row)
        self._take_grants(row, message)
        row.recall, row.shrinks = message.recall, message.shrinks
        row.return_idle(message.recall)
        self._close(row, row.close_spare(message.close))
        if message.recall or message.close or row.changed:
            self._report(row)

    def _take_grants(self, row: HolderRow, message: PermitGrant) -> None:
        connects = max(0, message.connects - row.connects)
        plain = max(0, message.granted - row.granted) - connects
        for _ in range(connects):
            row.connects += 1
            row.granted += 1
            waiter = self._next_waiter(row, message.request_id)
            if waiter is None:
                row.settled += 1
                row.closed += 1
                self._give_back(row)
            else:
                waiter.on_result(self._use(row, waiter.request_id, may_connect=True))
        for _ in range(plain):
            row.granted += 1
            if row.spare:
                row.spare -= 1
                self._hand_on(row, message.request_id)
            else:
                self._give_back(row)

    def _row(self, backend_server: str) -> HolderRow:
        row = self.rows.get(backend_server)
        if row is None:
            partition = partition_of(RESOURCE_KIND, backend_server)
            row = HolderRow(backend_server, partition)
            self.rows[backend_server] = row
        return row

    def _home(self, partition: int) -> HomeAddress:
        known = self._homes.get(partition, HomeAddress("", 0))
        home = self.directory.home_of(partition)
        if home is None or home.epoch < known.epoch:
            return known
        return HomeAddress(home.instance, home.epoch)

    def _may_use(self, backend_server: str) -> bool:
        return self._reason_against(backend_server) is None

    def _reason_against(self, backend_server: str) -> DeniedReason | None:
        if not self.directory.has_lease():
            return DeniedReason.NO_LEASE
        configuration = self.configuration
        if configuration is None or not configuration.accepts_work(backend_server):
            return DeniedReason.NOT_ACCEPTING
        return None

    def _use(self, row: HolderRow, request_id: int, may_connect: bool) -> Permit:
        permit = Permit(
            next(self._permit_ids), row.backend_server, request_id, may_connect
        )
        row.in_use[permit.permit_id] = permit
        check = self.ctx.invariants.check
        check(self.directory.has_lease(), "order_under_lease", row.backend_server)
        check(row.consistent, "order_with_permit", row.backend_server)
        return permit

    def _hand_on(self, row: HolderRow, request_id: int = 0) -> None:
        """Give a free permit with its connection to a waiter, or keep it."""
        waiter = self._next_waiter(row, request_id)
        if waiter is None:
            row.idle.append(self.ctx.now_s)
        else:
            waiter.on_result(self._use(row, waiter.request_id, may_connect=False))

    def _next_waiter(self, row: HolderRow, request_id: int) -> Waiter | None:
        waiter = row.next_waiter(request_id)
        if waiter is None or not self._may_use(row.backend_server):
            return None
        row.order.served(waiter.organisation, self._weights)
        self.cancel(waiter.request_id)
        return waiter

    def _give_back(self, row: HolderRow) -> None:
        row.returned += 1
        row.recall = max(0, row.recall - 1)
        row.changed = True

    def _end(self, permit: Permit, connection_open: bool, start_id: str = "") -> None:
        row = self.rows[permit.backend_server]
        if row.in_use.pop(permit.permit_id, None) is None:
            return
        if permit.permit_id in row.closing:
            row.closing.remove(permit.permit_id)
            connection_open = False
        reported = row.returned + row.settled
        row.settled += permit.may_connect
        known = row.sighting.start_id
        restarted = self._sight(row, start_id)
        proven = not permit.may_connect or start_id == known or not known
        if connection_open and not (proven and not restarted):
            self._close(row, 1)
            connection_open = False
        self._after_use(row, connection_open, restarted)
        if row.returned + row.settled != reported:
            self._report(row)

    def _after_use(
        self, row: HolderRow, connection_open: bool, restarted: bool
    ) -> None:
        if not connection_open:
            row.closed += 1
            self._give_back(row)
            return
        may_use = not restarted and self._may_use(row.backend_server)
        if not may_use or not row.may_reuse(self.cfg.reuses):
            row.spare += 1
            self._give_back(row)
            return
        self._hand_on(row)

    def _sight(self, row: HolderRow, start_id: str) -> bool:
        """Take in a start id; return whether it shows a restart."""
        now_s = self.ctx.now_s
        if not start_id:
            return False
        known = row.sighting.start_id
        if start_id != known:
            row.sighting.replace(start_id, now_s)
        row.sighting.seen_s = now_s
        if not known or start_id == known:
            return False
        self._drop_holdings(row)
        return True

    def _drop_holdings(self, row: HolderRow) -> None:
        """Return idle permits and close connections; those in use end later."""
        row.return_idle(len(row.idle))
        row.closing.update(row.in_use)
        if row.close_spare(row.spare) or row.in_use:
            self.ctx.emit(CloseConnections(row.backend_server))

    def _close(self, row: HolderRow, count: int) -> None:
        if count:
            self.ctx.emit(CloseConnections(row.backend_server, count))

    def _deny(self, row: HolderRow, waiter: Waiter, reason: DeniedReason) -> None:
        self.cancel(waiter.request_id)
        waiter.on_result(PermitDenied(row.backend_server, waiter.request_id, reason))

    def _deny_all(self, row: HolderRow, reason: DeniedReason) -> None:
        for waiter in list(row.waiters.values()):
            self._deny(row, waiter, reason)

    def _report_if_changed(self, row: HolderRow) -> None:
        if row.changed:
            self._report(row)

    def _next_report(
        self, row: HolderRow, epoch: int, wants_reply: bool = False
    ) -> PermitReport:
        now_s = self.ctx.now_s
        waiting = tuple(
            WaitingRequest(w.request_id, w.organisation, w.deadline_s - now_s)
            for w in row.waiters_in_order(REPORTED_WAITING_MAX)
        )
        return row.report(epoch, self.session, now_s, waiting, wants_reply)

    def _report(self, row: HolderRow, wants_reply: bool = False) -> None:
        if not self.directory.has_lease():
            return
        home = self._home(row.partition)
        if not home.instance:
            return
        report = self._next_report(row, home.epoch, wants_reply)
        self.ctx.send(home.instance, report)

    def _tick(self) -> None:
        for row in self.rows.values():
            self._return_unused(row)
            self._reconcile(row)

    def _return_unused(self, row: HolderRow) -> None:
        oldest_s = self.ctx.now_s - self.cfg.keep_s
        if not row.idle or row.idle[0] > oldest_s:
            return
        home = self._home(row.partition)
        # A lost home cannot lend what is returned, so permits stay here meanwhile.
        if not home.instance or self.directory.suspected(home.instance):
            return
        row.return_idle(sum(used_s <= oldest_s for used_s in row.idle))

    def _reconcile(self, row: HolderRow) -> None:
        age_s = self.ctx.now_s - row.sent_s
        unconfirmed = row.number > row.confirmed_number
        if row.waiters and age_s >= self.cfg.resend_s:
            self._report(row)
        elif row.changed or (unconfirmed and age_s >= self.cfg.reconcile_s):
            self._report(row, wants_reply=not row.changed)
