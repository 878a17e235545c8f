"""Planned stop of an instance."""

import enum

import attrs

from ..core.context import Context
from ..idempotency.claims import Idempotency
from ..membership.membership import Membership
from ..ownership.component import Ownership
from .const import DRAIN_CHECK_INTERVAL_S, LEAVE_TIMEOUT_S
from .models import DrainSettings
from .pipeline import Pipeline


class DrainState(enum.StrEnum):
    """Stage of a planned stop."""

    SERVING = "serving"
    NOT_READY = "not_ready"  # still serves what the load balancer sends
    FINISHING = "finishing"  # refuses new requests, finishes open ones
    LEAVING = "leaving"  # hands over its homes
    STOPPED = "stopped"


@attrs.frozen
class DrainParts:
    """The components that take part in a planned stop."""

    ctx: Context
    membership: Membership
    ownership: Ownership
    claims: Idempotency
    pipeline: Pipeline


class Drain:
    """Stops an instance without cutting a request.

    Each state has a system that runs on a tick and moves to the next state.
    """

    def __init__(self, parts: DrainParts, cfg: DrainSettings) -> None:
        self.state = DrainState.SERVING
        self._ctx = parts.ctx
        self._parts = parts
        self._cfg = cfg
        self._since_s = 0.0
        self._left = False
        self._systems = {
            DrainState.NOT_READY: self._run_not_ready,
            DrainState.FINISHING: self._run_finishing,
            DrainState.LEAVING: self._run_leaving,
        }

    def start(self) -> None:
        """Start the planned stop; a second call changes nothing."""
        if self.state is DrainState.SERVING:
            self._enter(DrainState.NOT_READY)
            self._ctx.timers.subscribe(DRAIN_CHECK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        system = self._systems.get(self.state)
        if system is not None:
            system()

    def _enter(self, state: DrainState) -> None:
        self.state = state
        self._since_s = self._ctx.now_s
        self._ctx.log("drain_state", state=state.value)

    def _elapsed_s(self) -> float:
        return self._ctx.now_s - self._since_s

    def _run_not_ready(self) -> None:
        if self._elapsed_s() >= self._cfg.load_balancer_lag_s:
            self._parts.pipeline.refuses_new = True
            self._enter(DrainState.FINISHING)

    def _run_finishing(self) -> None:
        finished = (
            self._parts.pipeline.open_requests() == 0
            and self._parts.ownership.orders_in_flight() == 0
        )
        if finished or self._elapsed_s() >= self._cfg.drain_s:
            self._enter(DrainState.LEAVING)
            self._parts.membership.leave(self._mark_left)

    def _mark_left(self) -> None:
        self._left = True

    def _run_leaving(self) -> None:
        done = self._left and not self._parts.claims.handing_over()
        if done or self._elapsed_s() >= LEAVE_TIMEOUT_S:
            self._enter(DrainState.STOPPED)
