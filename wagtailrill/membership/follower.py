"""Member side: replies to the coordinator, own lease, probes of the store."""

import itertools
from collections.abc import Callable

from ..core.const import holder_duration_s
from ..partitions.directory import Member
from ..peer.registry import Envelope
from ..platform.models import Read, StoreResult
from .const import GATE_POLL_S, HEARTBEATS_REMEMBERED, OUTAGE_PROBE_INTERVAL_S
from .messages import (
    CoordinatorHint,
    Heartbeat,
    HeartbeatReply,
    Payload,
    TableDocument,
    TableRequest,
)
from .store_calls import StoreCalls, unavailable
from .table import CellTable
from .view import CellView

Gate = Callable[[int], bool]


class Follower:
    """Follows the coordinator of the highest known term."""

    def __init__(self, view: CellView, store: StoreCalls) -> None:
        self.view = view
        self.ctx = view.ctx
        self.store = store
        self.gate: Gate = lambda version: True
        self.reports: dict[str, Callable[[], bytes]] = {}
        self.notices: dict[str, Callable[[bytes], None]] = {}
        self.leaving = False
        self.acknowledged = 0
        # A process may stand in for a predecessor that confirmed until it ended.
        self.outage_confirmed_s = float("-inf")
        self.store_reachable: bool | None = None
        self._numbers = itertools.count(1)
        self._sent: dict[int, tuple[float, int]] = {}
        self._heartbeat = 0
        self._probing = False
        self._probed_s = float("-inf")
        self._gate_polled = False

    def start(self) -> None:
        """Note the time of the process start."""
        self.outage_confirmed_s = self.ctx.now_s

    def reset_coordinator(self) -> None:
        """Forget what was exchanged with the previous coordinator."""
        self._sent.clear()
        self._heartbeat = 0
        self.store_reachable = None

    def handle_heartbeat(self, envelope: Envelope) -> None:
        """Take a lease and the version from a heartbeat of the followed term."""
        beat: Heartbeat = envelope.message
        view = self.view
        view.heard_s = self.ctx.now_s
        view.store_down = beat.store_down
        view.suspects = frozenset(beat.suspected)
        self._heartbeat = beat.number
        sent = self._sent.get(beat.answers)
        if sent is not None and view.join and beat.join == sent[1] == view.join:
            view.extend_lease(sent[0] + holder_duration_s(beat.lease_s))
        if beat.version > view.version:
            self.ctx.send(envelope.sender, TableRequest(view.version))
        for notice in beat.notices:
            handler = self.notices.get(notice.name)
            if handler is not None:
                handler(notice.data)
        self._probe_store()
        if beat.answers == 0:
            self.reply()

    def handle_table(self, document: TableDocument) -> None:
        """Apply a table that the coordinator distributes."""
        if document.term < self.view.term:
            return
        try:
            table = CellTable.from_bytes(document.document)
        except ValueError:
            self.ctx.log("cell_table_malformed", version=document.version)
            return
        if self.view.apply(table, document.version):
            self.reply()

    def reply(self) -> None:
        """Report to the coordinator that is followed."""
        coordinator = self.view.coordinator
        if coordinator is not None and coordinator != self.view.me:
            self.reply_to(coordinator)

    def reply_to(self, receiver: Member) -> None:
        """Send a reply, which asks for a lease, or to join without join number."""
        view = self.view
        number = next(self._numbers)
        self._sent[number] = (self.ctx.now_s, view.join)
        if len(self._sent) > HEARTBEATS_REMEMBERED:
            del self._sent[next(iter(self._sent))]
        confirms = view.store_down and self.store_reachable is False
        if confirms:
            self.outage_confirmed_s = self.ctx.now_s
        message = HeartbeatReply(
            term=view.term,
            number=number,
            heartbeat=self._heartbeat,
            join=view.join,
            lapsed_join=view.lapsed_join,
            applied=view.version,
            acknowledged=self.acknowledge(),
            store_down=confirms,
            outage_age_s=self.ctx.now_s - self.outage_confirmed_s,
            leaving=self.leaving,
            reports=tuple(Payload(name, get()) for name, get in self.reports.items()),
        )
        self.ctx.send(receiver.instance, message, receiver.incarnation)

    def acknowledge(self) -> int:
        """Return the version that this member acknowledges."""
        if self.acknowledged < self.view.version:
            if self.gate(self.view.version):
                self.acknowledged = self.view.version
            elif not self._gate_polled:
                self._gate_polled = True
                due_s = self.ctx.now_s + GATE_POLL_S
                self.ctx.timers.call_at(due_s, self._poll_gate)
        return self.acknowledged

    def _poll_gate(self) -> None:
        self._gate_polled = False
        if self.acknowledge() == self.view.version:
            self.reply()

    def _probe_store(self) -> None:
        if not self.view.store_down:
            self.store_reachable = None
            return
        recent = self.ctx.now_s - self._probed_s < OUTAGE_PROBE_INTERVAL_S
        if self._probing or (recent and self.store_reachable is not None):
            return
        self._probing = True
        self._probed_s = self.ctx.now_s
        self.store.call(Read(self.view.cfg.coordinator_key), self._probed)

    def _probed(self, result: StoreResult) -> None:
        self._probing = False
        before, self.store_reachable = self.store_reachable, not unavailable(result)
        if self.view.store_down and self.store_reachable != before:
            self.reply()


def hint_of(view: CellView) -> CoordinatorHint | None:
    """Return a hint to the followed coordinator, if there is one."""
    if view.coordinator is None:
        return None
    coordinator = view.coordinator
    return CoordinatorHint(view.term, coordinator.instance, coordinator.incarnation)
