"""The coordinator's store lease, counted from the start of each renewal."""

from collections.abc import Callable

import attrs

from ..core.const import holder_duration_s
from ..platform.models import LeaseRenew, LeaseRevoke, StoreResult
from .const import CONTROL_TICK_S, STORE_ANSWER_TIMEOUT_S
from .models import MembershipSettings
from .store_calls import StoreCalls, unavailable


@attrs.frozen
class LeaseListener:
    """Callbacks of the store lease: `down` changed, renewed, refused."""

    changed: Callable[[], None]
    renewed: Callable[[], None]
    refused: Callable[[], None]


class StoreLease:
    """Renews a store lease; `down` says that the store does not answer."""

    def __init__(
        self, cfg: MembershipSettings, store: StoreCalls, lease_id: str, start_s: float
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.lease_id = lease_id
        self.end_s = start_s + holder_duration_s(cfg.coordinator_lease_s)
        self.down = False
        self.ended = False
        self._start_s = start_s
        self._in_flight = False

    def valid(self) -> bool:
        """Return whether the lease is valid now."""
        return not self.ended and self.store.ctx.now_s < self.end_s

    def renew_if_due(self, listener: LeaseListener) -> None:
        """Start a renewal when the last one is old enough, sooner in an outage."""
        now_s = self.store.ctx.now_s
        interval_s = STORE_ANSWER_TIMEOUT_S if self.down else self.cfg.renew_interval_s
        # Half a tick early rather than late: two failed renewals must fit in.
        due_s = self._start_s + interval_s - CONTROL_TICK_S / 2
        if self.ended or self._in_flight or now_s < due_s:
            return
        self._in_flight = True
        self._start_s = now_s
        self.store.call(
            LeaseRenew(self.lease_id),
            lambda result: self._renewed(result, now_s, listener),
        )

    def _renewed(
        self, result: StoreResult, start_s: float, listener: LeaseListener
    ) -> None:
        self._in_flight = False
        if self.ended:
            return
        was_down, self.down = self.down, unavailable(result)
        if result.is_ok():
            end_s = start_s + holder_duration_s(self.cfg.coordinator_lease_s)
            self.end_s = max(self.end_s, end_s)
        elif not self.down:
            self.ended = True
            listener.refused()
            return
        if self.down != was_down:
            listener.changed()
        elif not self.down:
            listener.renewed()

    def revoke(self) -> None:
        """Give the lease up."""
        self.ended = True
        self.store.call(LeaseRevoke(self.lease_id), lambda result: None)
