"""States of backend servers and the ejection of outliers."""

import statistics
from collections.abc import Iterable
from typing import Final

import attrs

from ..core.orders import AttemptOutcome
from .latency import Latency
from .models import BalancerSettings, OutlierSignal, OutlierState

FAILURES: Final = frozenset(
    {
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.BAD_ANSWER,
        AttemptOutcome.TIMED_OUT,
    }
)
NEXT_STATE: Final = {
    (OutlierState.HEALTHY, OutlierSignal.BAD): OutlierState.EJECTED,
    (OutlierState.EJECTED, OutlierSignal.WAIT_OVER): OutlierState.PROBATION,
    (OutlierState.PROBATION, OutlierSignal.BAD): OutlierState.EJECTED,
    (OutlierState.PROBATION, OutlierSignal.GOOD): OutlierState.HEALTHY,
}


@attrs.define(eq=False)
class ServerRow:
    """What this instance knows about one backend server."""

    name: str
    data_centre: str
    latency: Latency
    state: OutlierState = OutlierState.HEALTHY
    failures: int = 0
    good: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    returned_s: float = float("-inf")
    load: float = 0.0

    def signal(
        self, signal: OutlierSignal, now_s: float, cfg: BalancerSettings
    ) -> None:
        """Move to the next state, if the signal leads to one."""
        state = NEXT_STATE.get((self.state, signal), self.state)
        if state is self.state:
            return
        self.state, self.failures, self.good = state, 0, 0
        if state is OutlierState.EJECTED:
            self.ejections += 1
            wait_s = cfg.ejection_s * 2.0 ** (self.ejections - 1)
            self.ejected_until_s = now_s + min(wait_s, cfg.ejection_max_s)
        elif state is OutlierState.PROBATION:
            self.latency.reset()
        else:
            self.ejections = 0


def is_slow(row: ServerRow, rows: Iterable[ServerRow], cfg: BalancerSettings) -> bool:
    """Return whether a server is far slower than the median of its service."""
    if row.latency.samples < cfg.slow_samples:
        return False
    others = [
        r.latency.mean_s
        for r in rows
        if r is not row and r.latency.samples >= cfg.slow_samples
    ]
    return bool(others) and (
        row.latency.mean_s > cfg.slow_factor * statistics.median(others)
    )


def may_eject(rows: Iterable[ServerRow], cfg: BalancerSettings) -> bool:
    """Return whether one more server of a service may be out of use."""
    states = [r.state for r in rows]
    out = sum(s is not OutlierState.HEALTHY for s in states)
    return out + 1 <= cfg.ejected_share_max * len(states)
