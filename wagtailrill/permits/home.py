"""Home side: lends a backend server's permits and connections to members."""

from ..core.backend import BackendResult, Health, Probe
from ..core.const import granter_duration_s
from ..core.context import Context
from ..declaration.const import DEFAULT_TIMEOUT_S
from ..declaration.models import Configuration
from ..partitions.collection import HoldingsCollection
from ..partitions.directory import Member, PartitionDirectory, partition_of
from ..peer.registry import Envelope
from .const import RESOURCE_KIND, RESTART_REPORTS_SPREAD_S, TICK_INTERVAL_S
from .fair_order import weights_of
from .home_rows import HomePartition, HomeServer, Limits, limits_of
from .ledger import Ledger, Waiting
from .messages import (
    CollectHoldings,
    HoldingsReport,
    PartitionEpoch,
    PermitGrant,
    PermitReport,
)
from .models import PermitSettings
from .ramp import Ramp


class PermitHome:
    """Arbitrates for the backend servers whose partitions have their home here."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: PermitSettings
    ) -> None:
        self.ctx = ctx
        self.directory = directory
        self.cfg = cfg
        self.configuration: Configuration | None = None
        self.partitions: dict[int, HomePartition] = {}
        self._weights: dict[str, float] = {}
        self._last_drop_s = float("-inf")
        ctx.timers.subscribe(TICK_INTERVAL_S, self._tick)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; what exceeds it is recalled."""
        self.configuration = configuration
        self._weights = weights_of(configuration)
        for row in self._rows():
            self._serve(row)

    def home_gained(self, partition: int, epoch: int) -> None:
        """Start to collect what members hold."""
        home = HomePartition(partition, epoch, HoldingsCollection(partition, epoch))
        self.partitions[partition] = home
        # One request names all partitions that a table change brings.
        self.ctx.timers.call_later(0.0, self._collect)

    def home_lost(self, partition: int) -> None:
        """Forget a partition."""
        self.partitions.pop(partition, None)

    def member_dropped(self, member: Member) -> None:
        """Reserve what a lost member held until its last orders have ended."""
        self._last_drop_s = self.ctx.now_s
        for row in self._rows():
            row.drop(member, self.ctx.now_s + self._longest_timeout_s(row.name))

    def lease_lost(self) -> None:
        """Forget every partition."""
        self.partitions.clear()

    def holdings_reported(self, envelope: Envelope) -> None:
        """Take in all that a member holds in a partition."""
        message: HoldingsReport = envelope.message
        member = Member(envelope.sender, envelope.incarnation)
        if not self._is_member(member):
            return
        for report in message.reports:
            home = self._home_of(report.backend_server)
            if home is not None and home.epoch == report.epoch:
                self._take(home, member, report)
        for entry in message.partitions:
            home = self.partitions.get(entry.partition)
            if home is not None and home.epoch == entry.epoch:
                home.collection.report(member)
                self._start_lending(home)

    def reported(self, envelope: Envelope) -> None:
        """Take in a member's state for one backend server."""
        report: PermitReport = envelope.message
        home = self._home_of(report.backend_server)
        member = Member(envelope.sender, envelope.incarnation)
        if home is None or home.epoch != report.epoch or not self._is_member(member):
            return
        row, ledger = self._take(home, member, report)
        self._serve(row)
        stale = bool(report.start_id) and report.start_id != row.ramp.start_id
        if (stale or report.wants_reply) and ledger.sent_s != self.ctx.now_s:
            self._send(row, ledger)

    def _rows(self) -> list[HomeServer]:
        return [r for home in self.partitions.values() for r in home.rows.values()]

    def _home_of(self, backend_server: str) -> HomePartition | None:
        return self.partitions.get(partition_of(RESOURCE_KIND, backend_server))

    def _is_member(self, member: Member) -> bool:
        return self.directory.is_member(member.instance, member.incarnation)

    def _longest_timeout_s(self, backend_server: str) -> float:
        configuration = self.configuration
        if configuration is None or backend_server not in configuration.service_of:
            return granter_duration_s(DEFAULT_TIMEOUT_S)
        routes = configuration.service_of[backend_server].routes
        return granter_duration_s(
            max((r.timeout_s for r in routes), default=DEFAULT_TIMEOUT_S)
        )

    def _collect(self) -> None:
        """Ask members for holdings that were not asked for a short time ago."""
        now_s = self.ctx.now_s
        missing: dict[Member, list[PartitionEpoch]] = {}
        for home in self.partitions.values():
            if home.lending or now_s - home.asked_s < self.cfg.resend_s:
                continue
            home.asked_s = now_s
            for member in home.collection.missing(self.directory):
                entry = PartitionEpoch(home.partition, home.epoch)
                missing.setdefault(member, []).append(entry)
        for member, entries in missing.items():
            message = CollectHoldings(tuple(entries))
            self.ctx.send(member.instance, message, member.incarnation)

    def _start_lending(self, home: HomePartition) -> None:
        if home.lending or not home.collection.complete(self.directory):
            return
        home.lending = True
        # A member dropped before its report may have orders running that nobody here
        # can count.
        home.hold_back_until_s = self._last_drop_s + granter_duration_s(
            self.cfg.unknown_holdings_wait_s
        )
        for row in home.rows.values():
            self._serve(row)

    def _take(
        self, home: HomePartition, member: Member, report: PermitReport
    ) -> tuple[HomeServer, Ledger]:
        now_s = self.ctx.now_s
        row = home.rows.get(report.backend_server)
        if row is None:
            row = HomeServer(report.backend_server, home.partition, Ramp(now_s))
            home.rows[row.name] = row
        ledger = row.ledgers.get(member)
        if ledger is None:
            ledger = row.ledgers[member] = Ledger.adopt(member, report)
        went_back = report.restarts > ledger.report.restarts
        ledger.update(report, now_s)
        seen_s = now_s - report.seen_age_s
        if row.ramp.sighted(report.start_id, seen_s, now_s, report.uptime_s):
            self._recall_all(row)
        elif went_back and (
            now_s - row.ramp.started_s > report.uptime_s + RESTART_REPORTS_SPREAD_S
        ):
            row.ramp.restart(now_s, report.uptime_s)
            for other in row.ledgers.values():
                other.close = other.connections
            self._recall_all(row)
        self._ask_uptime(row)
        return row, ledger

    def _ask_uptime(self, row: HomeServer) -> None:
        """Probe a server whose uptime is unknown, so that its ramp begins there.

        Without it every server ramps from its first use at this home, however long it
        has been running.
        """
        asked_s = self.ctx.now_s
        known = self.configuration is not None and (
            row.name in self.configuration.backend_servers
        )
        if not known:
            return  # a peer may name any server
        if row.uptime_known or asked_s - row.uptime_asked_s < self.cfg.reconcile_s:
            return
        row.uptime_asked_s = asked_s

        def probed(result: BackendResult) -> None:
            home = self._home_of(row.name)
            if home is None or home.rows.get(row.name) is not row:
                return
            if result.is_ok() and isinstance(result.ok, Health):
                self._take_health(row, result.ok, asked_s)

        self.ctx.call_backend(row.name, Probe(), probed)

    def _take_health(self, row: HomeServer, health: Health, asked_s: float) -> None:
        """Take in a probe; the server may have answered as early as `asked_s`.

        Health reports may lag, so one about another start than that of the last answer
        counts for nothing and the home asks again.
        """
        if row.ramp.start_id not in ("", health.start_id):
            return
        now_s = self.ctx.now_s
        row.ramp.sighted(health.start_id, asked_s, now_s, health.uptime_s)
        row.uptime_known = True
        self._serve(row)

    def _recall_all(self, row: HomeServer) -> None:
        self.ctx.log("backend_server_restarted", backend_server=row.name)
        row.shrinks = True
        row.uptime_known = False
        for ledger in row.ledgers.values():
            ledger.recall = ledger.outstanding
            self._send(row, ledger)

    def _may_lend(self, row: HomeServer) -> bool:
        home = self.partitions.get(row.partition)
        return (
            home is not None
            and home.lending
            and self.ctx.now_s >= home.hold_back_until_s
            and self.directory.is_home(row.partition)
        )

    def _serve(self, row: HomeServer) -> None:
        if self.configuration is None:
            return
        now_s = self.ctx.now_s
        row.expire(now_s)
        limits = limits_of(row, self.configuration, now_s)
        waiting = sum(len(x.waiting) for x in row.ledgers.values())
        free = limits.capacity - row.outstanding
        while waiting and free > 0 and self._may_lend(row):
            if not self._grant_next(row, limits):
                break
            waiting, free = waiting - 1, free - 1
        row.shrinks = free < 0
        self._recall(row, waiting, -free)

    def _grant_next(self, row: HomeServer, limits: Limits) -> bool:
        may_connect = row.unsettled < limits.connecting
        for ledger, waiting in row.waiting():
            plain = ledger.spare(row.ramp.start_id) > 0
            if not plain and not may_connect:
                continue
            if not plain and row.connections >= limits.connections:
                self._close_one(row)
                continue
            self._grant(row, ledger, waiting, connect=not plain)
            self._check(row, limits, connect=not plain)
            return True
        return False

    def _grant(
        self, row: HomeServer, ledger: Ledger, waiting: Waiting, connect: bool
    ) -> None:
        row.order.served(waiting.organisation, self._weights)
        ledger.grant(waiting.request_id, connect, self.ctx.now_s)
        self._send(row, ledger, waiting.request_id)

    def _check(self, row: HomeServer, limits: Limits, connect: bool) -> None:
        check = self.ctx.invariants.check
        check(row.outstanding <= limits.capacity, "permits_within_capacity", row.name)
        # A rejoined member's connections count twice while its reserve lasts, so the
        # limit is checked where connections are lent.
        check(
            not connect or row.connections <= limits.connections,
            "connections_within_limit",
            row.name,
        )

    def _close_one(self, row: HomeServer) -> None:
        if any(x.close for x in row.ledgers.values()):
            return
        ledger = max(row.ledgers.values(), key=lambda x: x.report.spare)
        if ledger.report.spare > 0:
            ledger.close = 1
            self._send(row, ledger)

    def _recall(self, row: HomeServer, waiting: int, excess: int) -> None:
        """Ask holders for `excess` permits and, when none is free, for more."""
        if excess < 0 or (excess == 0 and not waiting):
            for ledger in row.ledgers.values():
                ledger.recall = 0
            return
        for busy in (False, True):
            self._recall_from(row, excess, waiting, busy)

    def _recall_from(
        self, row: HomeServer, excess: int, waiting: int, busy: bool
    ) -> None:
        ledgers = [x for x in row.ledgers.values() if x.busy is busy and x.outstanding]
        wanted = excess + waiting - sum(x.recall for x in ledgers)
        for ledger in sorted(ledgers, key=lambda x: x.granted_s):
            others = excess + waiting - len(ledger.waiting)
            more = min(ledger.outstanding, others) - ledger.recall
            if wanted <= 0 or more <= 0:
                continue
            more = min(more, wanted)
            ledger.recall += more
            wanted -= more
            self._send(row, ledger)

    def _send(self, row: HomeServer, ledger: Ledger, request_id: int = 0) -> None:
        ledger.sent_s = self.ctx.now_s
        message = PermitGrant(
            backend_server=row.name,
            epoch=self.partitions[row.partition].epoch,
            session=ledger.report.session,
            report_number=ledger.report.number,
            granted=ledger.granted,
            connects=ledger.connects,
            request_id=request_id,
            recall=ledger.recall,
            close=ledger.close,
            queue_length=row.queue_length,
            start_id=row.ramp.start_id,
            shrinks=row.shrinks,
        )
        self.ctx.send(ledger.member.instance, message, ledger.member.incarnation)

    def _tick(self) -> None:
        self._collect()
        for home in self.partitions.values():
            self._start_lending(home)
            for row in home.rows.values():
                self._serve(row)
                for ledger in row.ledgers.values():
                    self._resend(row, ledger)

    def _resend(self, row: HomeServer, ledger: Ledger) -> None:
        open_matter = not ledger.confirmed or ledger.recall or ledger.close
        if open_matter and self.ctx.now_s - ledger.sent_s >= self.cfg.resend_s:
            self._send(row, ledger)
