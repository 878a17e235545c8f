"""The home's account of one holder."""

import attrs

from ..partitions.directory import Member
from .messages import PermitReport


@attrs.define(eq=False)
class Waiting:
    """A request that waits for a permit, as last reported by its holder."""

    request_id: int
    organisation: str
    deadline_s: float
    since_s: float


@attrs.define(eq=False)
class Ledger:
    """Totals granted to one member and the totals that it has reported."""

    member: Member
    granted: int
    connects: int
    report: PermitReport
    waiting: dict[int, Waiting] = attrs.field(factory=dict)
    # Requests granted but not yet known to be so by the holder, by grant total.
    unconfirmed: dict[int, int] = attrs.field(factory=dict)
    recall: int = 0
    close: int = 0
    granted_s: float = 0.0
    sent_s: float = 0.0

    @classmethod
    def adopt(cls, member: Member, report: PermitReport) -> "Ledger":
        """Open an account with what a member says that it holds."""
        return cls(member, report.granted, report.connects, report)

    @property
    def outstanding(self) -> int:
        """Return the permits that the member may still use."""
        return self.granted - self.report.returned

    @property
    def unsettled(self) -> int:
        """Return the connects whose server start is not known yet."""
        return self.connects - self.report.settled

    @property
    def connections(self) -> int:
        """Return the connections that the member may have open."""
        return self.connects - self.report.closed

    @property
    def confirmed(self) -> bool:
        """Return whether the holder knows all grants."""
        return self.granted == self.report.granted

    @property
    def busy(self) -> bool:
        """Return whether every permit was in use at the last report."""
        return self.report.in_use >= self.outstanding

    def spare(self, start_id: str) -> int:
        """Return the open connections on which a permit may be granted."""
        if self.close or self.report.start_id != start_id:
            return 0
        plain = (self.granted - self.report.granted) - (
            self.connects - self.report.connects
        )
        return self.report.spare - plain

    def update(self, report: PermitReport, now_s: float) -> None:
        """Take in a report; its list of waiting requests replaces the former one."""
        self.recall = max(0, self.recall - (report.returned - self.report.returned))
        self.close = max(0, self.close - (report.closed - self.report.closed))
        self.report = report
        self.unconfirmed = {
            r: total for r, total in self.unconfirmed.items() if total > report.granted
        }
        former, self.waiting = self.waiting, {}
        for request in report.waiting:
            if request.request_id in self.unconfirmed:
                continue
            known = former.get(request.request_id)
            self.waiting[request.request_id] = Waiting(
                request.request_id,
                request.organisation,
                now_s + request.remaining_s,
                known.since_s if known else now_s,
            )

    def grant(self, request_id: int, connect: bool, now_s: float) -> None:
        """Add a permit for a request, with a new connection if asked."""
        self.granted += 1
        self.connects += connect
        self.granted_s = now_s
        self.unconfirmed[request_id] = self.granted
        del self.waiting[request_id]


@attrs.frozen
class Reserve:
    """What a dropped member may still use until its last orders end."""

    until_s: float
    permits: int
    connections: int
    unsettled: int
