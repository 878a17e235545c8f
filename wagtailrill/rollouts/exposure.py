"""Bounds how many requests of a service go to a version under test.

The gate counts at the dispatcher of the service, the ledger adds up at the decider.
"""

import attrs

from ..core.context import Context
from ..servers.models import ServerRow
from .const import GRANT_VALID_S
from .messages import CanaryGrant, CanaryReport
from .models import Phase, RolloutRecord

# Requests by which the pace may be made up for when no server under test was free.
CREDIT_MAX = 3.0


class ExposureGate:
    """Implements `CanaryGate` for one service, by the grants of the decider.

    `total` and `exposed` count from when this process learned of the order.
    """

    def __init__(self, ctx: Context) -> None:
        self.total = 0
        self.exposed = 0
        self.servers: frozenset[str] = frozenset()
        self._ctx = ctx
        self._order_revision = 0
        self._target: str | None = None
        self._granted = 0
        self._pace = 0.0
        self._credit = 0.0
        self._valid_until_s = float("-inf")

    def follow(self, record: RolloutRecord) -> None:
        """Take over a decision about the service."""
        if record.order_revision != self._order_revision:
            self._order_revision = record.order_revision
            self.total = self.exposed = self._granted = 0
            self.servers = frozenset()
            self._valid_until_s = float("-inf")
        self._target = record.target if record.phase is Phase.CANARY else None

    def apply_grant(self, grant: CanaryGrant) -> None:
        """Apply a grant, unless it is about another order."""
        if grant.order_revision != self._order_revision:
            return
        self._granted, self._pace = grant.granted, grant.pace
        self._valid_until_s = self._ctx.now_s + GRANT_VALID_S
        self.servers = frozenset(grant.servers)

    def build_report(self, service: str) -> CanaryReport:
        """Return what this process has counted."""
        return CanaryReport(service, self._order_revision, self.total, self.exposed)

    def is_active(self) -> bool:
        """Return whether a version is under test."""
        return self._target is not None and self._ctx.now_s < self._valid_until_s

    def includes(self, row: ServerRow) -> bool:
        """Return whether a server is one of those that the test uses."""
        return self.is_under_test(row) and row.name in self.servers

    def is_under_test(self, row: ServerRow) -> bool:
        """Return whether a server's version is under test."""
        return self._target is not None and row.entry.version == self._target

    def count_request(self) -> None:
        """Count a request of the service."""
        if self._order_revision:
            self.total += 1
            self._credit = min(self._credit + self._pace, CREDIT_MAX)

    def is_offered(self) -> bool:
        """Return whether the next request should go to the version under test."""
        return self._credit >= 1.0 and self.has_room()

    def has_room(self) -> bool:
        """Return whether one more request may go to the version under test."""
        return self.is_active() and self.exposed < self._granted

    def record_placed(self) -> None:
        """Count a request that goes to the version under test."""
        self.exposed += 1
        self._credit = max(self._credit - 1.0, -CREDIT_MAX)


# Name and incarnation of an instance.
Process = tuple[str, int]


@attrs.define(eq=False)
class DispatcherCount:
    """What a dispatcher process has counted, and what it was granted."""

    total: int = 0
    exposed: int = 0
    granted: int = 0


class ExposureLedger:
    """Counts of all dispatcher processes that have reported for an order."""

    def __init__(self) -> None:
        self._counts: dict[Process, DispatcherCount] = {}

    @property
    def total(self) -> int:
        """Return the requests of the service since the order, as far as known."""
        return sum(count.total for count in self._counts.values())

    @property
    def exposed(self) -> int:
        """Return the requests at the version under test, as far as reported."""
        return sum(count.exposed for count in self._counts.values())

    def record_report(self, process: Process, report: CanaryReport) -> None:
        """Take the counts of a dispatcher process."""
        count = self._counts.setdefault(process, DispatcherCount())
        count.total = max(count.total, report.total)
        count.exposed = max(count.exposed, report.exposed)

    def grant(self, process: Process, allowed: int, ahead: int) -> int:
        """Return how many requests in all a dispatcher process may place.

        All together may place `allowed`; processes other than this one count with what
        they were granted. The grant leaves room for `ahead` requests more.
        """
        own = self._counts.get(process)
        if own is None:
            return 0  # it may have placed requests for an earlier decider
        others = sum(
            max(count.granted, count.exposed)
            for other, count in self._counts.items()
            if other != process
        )
        wanted = min(own.exposed + ahead, allowed - others)
        own.granted = max(own.granted, wanted, 0)
        return own.granted
