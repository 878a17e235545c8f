"""Tables of the home: partitions and the backend servers in them."""

from collections.abc import Iterator

import attrs

from ..declaration.models import BackendServerEntry, Configuration, SlowStart
from ..partitions.collection import HoldingsCollection
from ..partitions.directory import Member
from .fair_order import FairOrder
from .ledger import Ledger, Reserve, Waiting
from .ramp import Ramp


@attrs.define(eq=False)
class HomeServer:
    """Accounts of one backend server."""

    name: str
    partition: int
    ramp: Ramp
    ledgers: dict[Member, Ledger] = attrs.field(factory=dict)
    reserves: list[Reserve] = attrs.field(factory=list)
    order: FairOrder = attrs.field(factory=FairOrder)
    shrinks: bool = False
    # Answers carry no uptime, so the home asks for it after every change of start.
    uptime_known: bool = False
    uptime_asked_s: float = float("-inf")

    @property
    def outstanding(self) -> int:
        """Return the permits that may be in use, reserved ones included."""
        return sum(x.outstanding for x in self.ledgers.values()) + sum(
            r.permits for r in self.reserves
        )

    @property
    def connections(self) -> int:
        """Return the connections that may be open."""
        return sum(x.connections for x in self.ledgers.values()) + sum(
            r.connections for r in self.reserves
        )

    @property
    def unsettled(self) -> int:
        """Return the requests that may be running on an unknown server start."""
        return sum(x.unsettled for x in self.ledgers.values()) + sum(
            r.unsettled for r in self.reserves
        )

    @property
    def queue_length(self) -> int:
        """Return how many requests wait in the whole cell."""
        return sum(
            max(len(x.waiting), x.report.waiting_total - len(x.unconfirmed))
            for x in self.ledgers.values()
        )

    def waiting(self) -> Iterator[tuple[Ledger, Waiting]]:
        """Return the waiting requests in fair order."""
        entries = [(x, w) for x in self.ledgers.values() for w in x.waiting.values()]
        rank = {
            organisation: place
            for place, organisation in enumerate(
                self.order.first(w.organisation for _, w in entries)
            )
        }
        entries.sort(key=lambda e: (rank[e[1].organisation], e[1].since_s))
        return iter(entries)

    def expire(self, now_s: float) -> None:
        """Drop reserves that have ended and requests past their deadline."""
        if self.reserves:
            self.reserves = [r for r in self.reserves if r.until_s > now_s]
        for ledger in self.ledgers.values():
            late = [w for w in ledger.waiting.values() if w.deadline_s <= now_s]
            for waiting in late:
                del ledger.waiting[waiting.request_id]

    def drop(self, member: Member, until_s: float) -> None:
        """Close a lost member's account and reserve what it may still use."""
        ledger = self.ledgers.pop(member, None)
        if ledger is None:
            return
        reserve = Reserve(
            until_s, ledger.outstanding, ledger.connections, ledger.unsettled
        )
        self.reserves.append(reserve)


@attrs.frozen
class Limits:
    """What the configuration allows at a backend server now."""

    capacity: int
    connections: int
    connecting: int


def limits_of(row: HomeServer, configuration: Configuration, now_s: float) -> Limits:
    """Return the limits; a server that takes no work has none."""
    entry: BackendServerEntry | None = configuration.backend_servers.get(row.name)
    if entry is None or not configuration.accepts_work(row.name):
        return Limits(0, 0, 0)
    slow_start: SlowStart = configuration.service_of[row.name].slow_start
    return Limits(
        row.ramp.capacity(entry.slots, slow_start, now_s),
        entry.connections,
        # Requests on connections whose server start is unknown may all meet a server
        # that has restarted unnoticed, so there are only as many as that one bears.
        min(entry.slots, slow_start.slots),
    )


@attrs.define(eq=False)
class HomePartition:
    """A partition that this instance arbitrates for."""

    partition: int
    epoch: int
    collection: HoldingsCollection
    asked_s: float = float("-inf")
    lending: bool = False
    hold_back_until_s: float = float("-inf")
    rows: dict[str, HomeServer] = attrs.field(factory=dict)
