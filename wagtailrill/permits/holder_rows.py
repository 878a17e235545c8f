"""Table of the holder: what this instance holds of each backend server."""

from collections import deque

import attrs

from ..core.const import holder_duration_s
from ..core.timer import TimerHandle
from .const import GRANTED_AT_ONCE_MAX, NEVER_SEEN_AGE_S
from .fair_order import FairOrder
from .messages import PermitReport, WaitingRequest
from .models import OnPermit, Permit


@attrs.frozen
class HomeAddress:
    """Where reports for a partition go; an empty instance means nowhere."""

    instance: str
    epoch: int


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a permit here."""

    request_id: int
    organisation: str
    deadline_s: float
    on_result: OnPermit
    timer: TimerHandle | None = None


@attrs.define
class Sighting:
    """Start id of a backend server as this instance knows it."""

    start_id: str = ""
    first_s: float = 0.0
    seen_s: float = float("-inf")
    uptime_s: float = 0.0
    uptime_at_s: float = 0.0

    def replace(self, start_id: str, now_s: float) -> None:
        """Begin with another start id."""
        self.start_id, self.first_s, self.seen_s = start_id, now_s, float("-inf")
        self.uptime_s, self.uptime_at_s = 0.0, now_s

    def least_uptime_s(self, now_s: float) -> float:
        """Return a lower bound of the uptime in seconds."""
        if not self.start_id:
            return 0.0
        reported_s = self.uptime_s + holder_duration_s(now_s - self.uptime_at_s)
        return max(reported_s, holder_duration_s(now_s - self.first_s))


@attrs.define(eq=False)
class HolderRow:
    """Permits, connections and waiting requests for one backend server.

    `spare` counts open connections without a permit; each idle permit has an open
    connection of its own, and `idle` has the time at which each was last used.
    """

    backend_server: str
    partition: int
    granted: int = 0
    returned: int = 0
    connects: int = 0
    settled: int = 0
    closed: int = 0
    spare: int = 0
    restarts: int = 0
    recall: int = 0
    shrinks: bool = False
    reused: int = 0
    idle: deque[float] = attrs.field(factory=deque)
    in_use: dict[int, Permit] = attrs.field(factory=dict)
    # Permits in use whose connection closes when they end.
    closing: set[int] = attrs.field(factory=set)
    waiters: dict[int, Waiter] = attrs.field(factory=dict)
    order: FairOrder = attrs.field(factory=FairOrder)
    sighting: Sighting = attrs.field(factory=Sighting)
    number: int = 0
    confirmed_number: int = 0
    changed: bool = False
    sent_s: float = float("-inf")
    queue_length: int = 0
    queue_length_s: float = float("-inf")

    def plausible(self, granted: int, connects: int) -> bool:
        """Return whether a home can have granted these totals."""
        return max(granted - self.granted, connects - self.connects) <= (
            GRANTED_AT_ONCE_MAX
        )

    @property
    def held(self) -> int:
        """Return the permits held, in use or not."""
        return self.granted - self.returned

    @property
    def consistent(self) -> bool:
        """Return whether the totals agree with the permits themselves."""
        return self.held == len(self.idle) + len(self.in_use) and self.spare >= 0

    def may_reuse(self, reuses: int) -> bool:
        """Return whether a released permit may serve a waiter here.

        While permits are recalled, one goes back after every `reuses` that serve
        waiters here: the slot is empty while a permit travels over the home.
        """
        if not self.recall:
            self.reused = 0
            return True
        if self.shrinks or not self.waiters or self.reused >= reuses:
            self.reused = 0
            return False
        self.reused += 1
        return True

    def next_waiter(self, request_id: int = 0) -> Waiter | None:
        """Return the named waiter, or the next one in fair order."""
        named = self.waiters.get(request_id)
        if named is not None or not self.waiters:
            return named
        organisations = self.order.first(w.organisation for w in self.waiters.values())
        return next(
            w for w in self.waiters.values() if w.organisation == organisations[0]
        )

    def waiters_in_order(self, count: int) -> list[Waiter]:
        """Return up to `count` waiters, alternating between organisations."""
        queues: dict[str, deque[Waiter]] = {}
        for waiter in self.waiters.values():
            queues.setdefault(waiter.organisation, deque()).append(waiter)
        chosen: list[Waiter] = []
        while queues and len(chosen) < count:
            for organisation in self.order.first(queues):
                chosen.append(queues[organisation].popleft())
                if not queues[organisation]:
                    del queues[organisation]
        return chosen[:count]

    def return_idle(self, count: int) -> None:
        """Return up to `count` idle permits; their connections stay open."""
        for _ in range(min(count, len(self.idle))):
            self.idle.popleft()
            self.returned += 1
            self.spare += 1
            self.recall = max(0, self.recall - 1)
            self.changed = True

    def close_spare(self, count: int) -> int:
        """Count up to `count` spare connections as closed; return how many."""
        closing = min(count, self.spare)
        self.spare -= closing
        self.closed += closing
        self.changed = self.changed or closing > 0
        return closing

    def report(
        self,
        epoch: int,
        session: int,
        now_s: float,
        waiting: tuple[WaitingRequest, ...],
        wants_reply: bool,
    ) -> PermitReport:
        """Return the next report."""
        self.number += 1
        self.changed = False
        self.sent_s = now_s
        sighting = self.sighting
        return PermitReport(
            backend_server=self.backend_server,
            epoch=epoch,
            session=session,
            number=self.number,
            granted=self.granted,
            returned=self.returned,
            connects=self.connects,
            settled=self.settled,
            closed=self.closed,
            spare=self.spare,
            in_use=len(self.in_use),
            waiting_total=len(self.waiters),
            waiting=waiting,
            start_id=sighting.start_id,
            uptime_s=sighting.least_uptime_s(now_s),
            seen_age_s=min(now_s - sighting.seen_s, NEVER_SEEN_AGE_S),
            restarts=self.restarts,
            wants_reply=wants_reply,
        )
