"""Holder side: admits requests by the local shares and keeps in touch with homes."""

import math

import attrs

from ..core.const import PARTITION_COUNT
from ..core.context import Context
from ..partitions.directory import PartitionDirectory, partition_of
from ..peer.registry import Envelope
from .const import (
    ASK_BACKOFF_MAX_S,
    ASK_BACKOFF_MIN_S,
    ASK_TIMEOUT_S,
    KEEP_AHEAD_S,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    WAITERS_MAX,
)
from .messages import (
    CollectHoldings,
    HolderAccount,
    HolderReport,
    HomeAccount,
    HomeGrant,
)
from .models import Limit, LimitSettings, OnResult, TakeResult, Units
from .policy import default_share, demand_changed, spare_share
from .share import Share, Waiter

ADMITTED = TakeResult(True)
# Timers run this much late so that a due token is whole in spite of rounding.
_ROUNDING_S = 1e-6


@attrs.define(eq=False)
class HomeLink:
    """What this holder knows of a partition's home.

    Grants of another epoch are refused: the present home has been told, or will
    be, what this holder held without them.
    """

    epoch: int = 0
    instance: str = ""
    introduced: bool = False
    shares: dict[str, Share] = attrs.field(factory=dict)


class Holder:
    """Shares of this instance; `session` rises when all holdings become void."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: LimitSettings
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._cfg = cfg
        self._version = 0
        self._session = 1
        self._limits: dict[str, Limit] = {}
        self._shares: dict[str, Share] = {}
        self._links = [HomeLink() for _ in range(PARTITION_COUNT)]
        self._active: dict[str, Share] = {}
        ctx.timers.subscribe(cfg.tick_interval_s, self._tick)

    def configure(self, version: int, limits: dict[str, Limit]) -> None:
        """Scale all shares to the limits of a configuration."""
        self._version = version
        self._limits = limits
        for name, share in self._shares.items():
            share.limit = limits.get(name, Limit(version=version))
            share.resize(self._ctx.now_s)

    def take(self, organisation: str, on_result: OnResult) -> None:
        """Admit a request with a local token, or ask for one."""
        now_s = self._ctx.now_s
        if organisation not in self._limits or not self._directory.has_lease():
            on_result(TakeResult(False, RETRY_AFTER_MIN_S))
            return
        share = self._shares.get(organisation) or self._add_share(organisation)
        share.demand.record(now_s)
        share.last_take_s = now_s
        self._active[organisation] = share
        if not share.waiters and share.bucket.take(now_s):
            on_result(ADMITTED)
            return
        self._wait_or_refuse(share, on_result)

    def lease_lost(self) -> None:
        """Drop all holdings; the homes learn of it from the higher session."""
        self._session += 1
        for link in self._links:
            link.introduced = False
        for share in self._shares.values():
            share.clear(self._ctx.now_s)
            self._refuse_from(share, 0)

    def receive_collect(self, envelope: Envelope) -> None:
        """Report all holdings of a partition to its new home."""
        message: CollectHoldings = envelope.message
        if message.partition >= PARTITION_COUNT:
            return
        link = self._refreshed_link(message.partition)
        if message.epoch < link.epoch or not self._directory.has_lease():
            return
        self._adopt(link, envelope.sender, message.epoch)
        self._introduce(message.partition, link)

    def receive_grant(self, envelope: Envelope) -> None:
        """Take over what the home has granted and return what it asks back."""
        grant: HomeGrant = envelope.message
        if grant.partition >= PARTITION_COUNT:
            return
        # The table may name a later home whose collection did not wait for this
        # member, because it was dropped and has joined again since.
        link = self._refreshed_link(grant.partition)
        if (grant.epoch, grant.session) != (link.epoch, self._session):
            return
        if not self._directory.has_lease():
            return
        link.introduced = True
        returned: list[HolderAccount] = []
        for account in grant.accounts:
            share = self._shares.get(account.organisation)
            share = share or self._add_share(account.organisation)
            if self._accept(share, account, grant.version):
                returned.append(share.account(self._demand_per_s(share)))
                self._active[share.organisation] = share
        if returned:
            self._report(grant.partition, link, tuple(returned))

    def _add_share(self, name: str) -> Share:
        limit = self._limits.get(name, Limit(version=self._version))
        partition = partition_of("organisation", name)
        share = Share(name, partition, limit)
        share.bucket.updated_s = self._ctx.now_s
        self._shares[name] = share
        self._links[partition].shares[name] = share
        return share

    def _accept(self, share: Share, account: HomeAccount, version: int) -> bool:
        """Apply the home's account; return whether something was given back."""
        now_s = self._ctx.now_s
        received = share.accept(account, version, now_s)
        share.acknowledged = max(share.acknowledged, account.acknowledged)
        if received > 0:
            share.backoff_s = 0.0
        if account.answered or account.denied:
            share.asked_until_s = -math.inf
        self._serve(share)
        if account.denied and share.waiters:
            self._back_off(share)
        if share.waiters and self._may_ask(share):
            self._ask(share)
        self._schedule(share)
        return self._give_back(share, account)

    def _give_back(self, share: Share, account: HomeAccount) -> bool:
        if not account.recalled:
            keep = Units(account.keep_rate, account.keep_burst)
            return share.give_back(keep, None, self._ctx.now_s)
        if share.waiters and share.bucket.delay_s(1) < self._cfg.wait_max_s:
            return False
        demand_per_s = share.demand.per_s(self._ctx.now_s)
        floor = default_share(share.limit, self._cfg)
        keep = spare_share(share.limit, demand_per_s, floor)
        keep_level = demand_per_s * KEEP_AHEAD_S
        return share.give_back(keep, keep_level, self._ctx.now_s)

    def _wait_or_refuse(self, share: Share, on_result: OnResult) -> None:
        now_s = self._ctx.now_s
        may_ask = self._may_ask(share)
        delay_s = share.bucket.delay_s(len(share.waiters) + 1)
        waits = (
            may_ask or now_s < share.asked_until_s or delay_s <= self._cfg.wait_max_s
        )
        if not waits or len(share.waiters) >= WAITERS_MAX:
            on_result(self._refusal(delay_s))
            return
        share.waiters.append(Waiter(now_s + self._cfg.wait_max_s, on_result))
        if may_ask:
            self._ask(share)
        if may_ask or len(share.waiters) == 1:
            self._schedule(share)

    def _refusal(self, delay_s: float) -> TakeResult:
        retry_after_s = min(max(delay_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return TakeResult(False, retry_after_s)

    def _may_ask(self, share: Share) -> bool:
        now_s = self._ctx.now_s
        return now_s >= share.ask_after_s and now_s >= share.asked_until_s

    def _ask(self, share: Share) -> None:
        now_s = self._ctx.now_s
        share.asked_until_s = now_s + ASK_TIMEOUT_S
        link = self._refreshed_link(share.partition)
        if not link.introduced:
            self._introduce(share.partition, link)
            return
        share.give_back_unused_loan(now_s)
        account = share.account(self._demand_per_s(share))
        self._report(share.partition, link, (account,))

    def _back_off(self, share: Share) -> None:
        doubled_s = max(ASK_BACKOFF_MIN_S, 2.0 * share.backoff_s)
        share.backoff_s = min(ASK_BACKOFF_MAX_S, doubled_s)
        share.ask_after_s = self._ctx.now_s + share.backoff_s
        waiting = len(share.waiters)
        while waiting:
            due_s = self._ctx.now_s + share.bucket.delay_s(waiting)
            if due_s <= share.waiters[waiting - 1].deadline_s:
                break
            waiting -= 1
        self._refuse_from(share, waiting)

    def _refuse_from(self, share: Share, first: int) -> None:
        refused = [share.waiters.pop() for _ in range(len(share.waiters) - first)]
        for waiter in reversed(refused):
            waiter.on_result(self._refusal(share.bucket.delay_s(1)))

    def _serve(self, share: Share) -> None:
        while share.waiters and share.bucket.take(self._ctx.now_s):
            share.waiters.popleft().on_result(ADMITTED)

    def _schedule(self, share: Share) -> None:
        if share.timer is not None:
            share.timer.cancel()
            share.timer = None
        if not share.waiters:
            return
        now_s = self._ctx.now_s
        due_s = min(
            share.waiters[0].deadline_s, now_s + share.bucket.delay_s(1) + _ROUNDING_S
        )
        if share.asked_until_s > now_s:
            due_s = min(due_s, share.asked_until_s)
        share.timer = self._ctx.timers.call_at(due_s, lambda: self._wake(share))

    def _wake(self, share: Share) -> None:
        now_s = self._ctx.now_s
        if not self._directory.has_lease():
            self._refuse_from(share, 0)
        self._serve(share)
        while share.waiters and share.waiters[0].deadline_s <= now_s:
            waiter = share.waiters.popleft()
            waiter.on_result(self._refusal(share.bucket.delay_s(1)))
        if share.waiters and self._may_ask(share):
            self._ask(share)
        self._schedule(share)

    def _refreshed_link(self, partition: int) -> HomeLink:
        link = self._links[partition]
        home = self._directory.home_of(partition)
        if home is not None:
            self._adopt(link, home.instance, home.epoch)
        return link

    def _adopt(self, link: HomeLink, instance: str, epoch: int) -> None:
        if epoch <= link.epoch:
            return
        link.epoch, link.instance, link.introduced = epoch, instance, False
        for share in link.shares.values():
            share.rebase()

    def _introduce(self, partition: int, link: HomeLink) -> None:
        accounts = tuple(
            share.account(self._demand_per_s(share))
            for share in link.shares.values()
            if share.granted_rate or share.granted_burst or share.waiters
        )
        self._report(partition, link, accounts, complete=True)

    def _report(
        self,
        partition: int,
        link: HomeLink,
        accounts: tuple[HolderAccount, ...],
        complete: bool = False,
    ) -> None:
        if not link.epoch:
            return
        report = HolderReport(
            partition=partition,
            epoch=link.epoch,
            session=self._session,
            version=self._version,
            complete=complete,
            accounts=accounts,
        )
        self._ctx.send(link.instance, report)

    def _tick(self) -> None:
        if not self._directory.has_lease():
            return
        for partition in range(PARTITION_COUNT):
            link = self._refreshed_link(partition)
            if not link.introduced:
                self._introduce(partition, link)
        due: dict[int, list[HolderAccount]] = {}
        for share in self._due_shares():
            account = share.account(self._demand_per_s(share))
            due.setdefault(share.partition, []).append(account)
        for partition, accounts in due.items():
            self._report(partition, self._links[partition], tuple(accounts))

    def _due_shares(self) -> list[Share]:
        """Return the active shares to report now, at most a fixed number."""
        due: list[Share] = []
        for name, share in tuple(self._active.items()):
            if len(due) >= self._cfg.reported_accounts_max:
                break
            # Moves to the end, so that the next tick goes on with the others.
            del self._active[name]
            idle = self._is_idle(share)
            if idle:
                keep = default_share(share.limit, self._cfg)
                share.give_back(keep, None, self._ctx.now_s)
            if self._needs_report(share):
                due.append(share)
            elif idle:
                continue
            self._active[name] = share
        return due

    def _is_idle(self, share: Share) -> bool:
        idle_s = self._ctx.now_s - share.last_take_s
        return idle_s >= self._cfg.idle_after_s

    def _demand_per_s(self, share: Share) -> float:
        idle = self._is_idle(share)
        return 0.0 if idle else share.demand.per_s(self._ctx.now_s)

    def _needs_report(self, share: Share) -> bool:
        demand_per_s = self._demand_per_s(share)
        return (
            share.unreported
            or share.acknowledged != share.number
            or demand_changed(share.reported_per_s, demand_per_s)
            or (demand_per_s == 0.0 and share.reported_per_s > 0.0)
        )
