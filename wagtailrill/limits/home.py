"""Home side: lends an organisation's rate and burst to the members."""

import attrs

from ..core.context import Context
from ..partitions.collection import HoldingsCollection
from ..partitions.directory import Member, PartitionDirectory, partition_of
from ..peer.registry import Envelope
from .const import COLLECT_INTERVAL_S
from .ledger import Ledger
from .lending import Lending
from .messages import CollectHoldings, HolderReport, HomeAccount, HomeGrant
from .models import Limit, LimitSettings
from .policy import default_share


@attrs.define(eq=False)
class HomePartition:
    """State of a partition under one epoch; lends only once it is open."""

    partition: int
    epoch: int
    collection: HoldingsCollection
    open: bool = False
    sessions: dict[Member, int] = attrs.field(factory=dict)
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)


class Home:
    """Ledgers of the partitions for which this instance is the home."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: LimitSettings
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._cfg = cfg
        self._version = 0
        self._limits: dict[str, Limit] = {}
        self._names: dict[int, list[str]] = {}
        self._partitions: dict[int, HomePartition] = {}
        self._lending = Lending(ctx, cfg, self._send_accounts)
        ctx.timers.subscribe(COLLECT_INTERVAL_S, self._collect_missing)

    def configure(self, version: int, limits: dict[str, Limit]) -> None:
        """Scale all ledgers to the limits of a configuration."""
        self._version = version
        self._limits = limits
        self._names = {}
        for name in limits:
            self._names.setdefault(partition_of("organisation", name), []).append(name)
        for state in self._partitions.values():
            for name, ledger in state.ledgers.items():
                limit = limits.get(name, Limit(version=version))
                ledger.configure(limit, self._ctx.now_s)
            if state.open:
                self._add_ledgers(state, send=True)

    def home_gained(self, partition: int, epoch: int) -> None:
        """Ask every member what it holds."""
        collection = HoldingsCollection(partition, epoch)
        state = HomePartition(partition, epoch, collection)
        self._partitions[partition] = state
        for member in self._directory.members():
            self._collect(state, member)

    def home_lost(self, partition: int) -> None:
        """Forget a partition; what is lent stays with its holders."""
        self._partitions.pop(partition, None)

    def lease_lost(self) -> None:
        """Forget all partitions."""
        self._partitions.clear()

    def member_dropped(self, member: Member) -> None:
        """Take back what a lost member held."""
        for state in self._partitions.values():
            self._forget(state, member)
            self._open_if_complete(state)

    def receive_report(self, envelope: Envelope) -> None:
        """Update the accounts of a holder and answer it."""
        report: HolderReport = envelope.message
        state = self._partitions.get(report.partition)
        member = Member(envelope.sender, envelope.incarnation)
        if state is None or not self._may_lend(state.partition, member):
            return
        if report.epoch < state.epoch:
            self._collect(state, member)
        if report.epoch != state.epoch or not self._admit(state, member, report):
            return
        accounts = tuple(
            self._lending.handle(
                self._ledger(state, account.organisation),
                member,
                account,
                report.version,
            )
            for account in report.accounts
        )
        if not report.complete:
            self._send(state, member, accounts)
        elif state.open:
            self._send_all(state, member, accounts)

    def _may_lend(self, partition: int, member: Member) -> bool:
        return self._directory.is_home(partition) and self._directory.is_member(
            member.instance, member.incarnation
        )

    def _admit(
        self, state: HomePartition, member: Member, report: HolderReport
    ) -> bool:
        """Return whether the report belongs to the holder's current session."""
        known = state.sessions.get(member, 0)
        if report.session <= known:
            return report.session == known
        if not report.complete:
            self._collect(state, member)
            return False
        # The holder says itself that its earlier holdings are void.
        self._forget(state, member)
        state.sessions[member] = report.session
        for account in report.accounts:
            ledger = self._ledger(state, account.organisation)
            ledger.admit(member, account, self._ctx.now_s)
        state.collection.report(member)
        if state.open:
            for name in self._names.get(state.partition, ()):
                self._preplace(state, member, name)
        else:
            self._open_if_complete(state)
        return True

    def _ledger(self, state: HomePartition, name: str) -> Ledger:
        ledger = state.ledgers.get(name)
        if ledger is None:
            limit = self._limits.get(name, Limit(version=self._version))
            ledger = Ledger(name, state.partition, self._ctx.invariants, limit)
            state.ledgers[name] = ledger
            if state.open:
                ledger.start(self._ctx.now_s)
        return ledger

    def _forget(self, state: HomePartition, member: Member) -> None:
        if state.sessions.pop(member, None) is None:
            return
        for ledger in state.ledgers.values():
            ledger.drop(member, self._ctx.now_s)

    def _open_if_complete(self, state: HomePartition) -> None:
        if state.open or not state.collection.complete(self._directory):
            return
        state.open = True
        for ledger in state.ledgers.values():
            ledger.start(self._ctx.now_s)
        self._add_ledgers(state)
        # A holder repeats its report until this answer has arrived.
        for member in state.sessions:
            self._send_all(state, member)

    def _add_ledgers(self, state: HomePartition, send: bool = False) -> None:
        names = [
            name
            for name in self._names.get(state.partition, ())
            if name not in state.ledgers or not state.ledgers[name].preplaced
        ]
        for name in names:
            ledger = self._ledger(state, name)
            ledger.preplaced = True
            for member in state.sessions:
                if self._preplace(state, member, name) and send:
                    account = self._lending.account(ledger, member)
                    self._send(state, member, (account,))

    def _preplace(self, state: HomePartition, member: Member, name: str) -> bool:
        ledger = self._ledger(state, name)
        share = default_share(ledger.limit, self._cfg)
        return share.burst > 0 and self._lending.raise_to(ledger, member, share)

    def _send_all(
        self,
        state: HomePartition,
        member: Member,
        answers: tuple[HomeAccount, ...] = (),
    ) -> None:
        answered = {account.organisation for account in answers}
        others = tuple(
            self._lending.account(ledger, member)
            for name, ledger in state.ledgers.items()
            if member in ledger.entries and name not in answered
        )
        self._send(state, member, answers + others)

    def _send_accounts(
        self, ledger: Ledger, member: Member, accounts: tuple[HomeAccount, ...]
    ) -> None:
        state = self._partitions.get(ledger.partition)
        # The ledger of an earlier epoch must not be sent under the present one.
        if state is None or state.ledgers.get(ledger.organisation) is not ledger:
            return
        if member in state.sessions:
            self._send(state, member, accounts)

    def _send(
        self, state: HomePartition, member: Member, accounts: tuple[HomeAccount, ...]
    ) -> None:
        grant = HomeGrant(
            partition=state.partition,
            epoch=state.epoch,
            session=state.sessions[member],
            version=self._version,
            accounts=accounts,
        )
        self._ctx.send(member.instance, grant, incarnation=member.incarnation)

    def _collect(self, state: HomePartition, member: Member) -> None:
        message = CollectHoldings(state.partition, state.epoch)
        self._ctx.send(member.instance, message, incarnation=member.incarnation)

    def _collect_missing(self) -> None:
        for state in self._partitions.values():
            if not state.open:
                self._open_if_complete(state)
            if not state.open:
                for member in state.collection.missing(self._directory):
                    self._collect(state, member)
