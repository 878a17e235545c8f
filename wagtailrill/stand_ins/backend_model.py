"""Decisions of the backend server stand-in: slots, grants, cold start, faults."""

import enum
import random

import attrs
from expression import Error, Ok

from ..core.backend import (
    BackendError,
    BackendErrorKind,
    BackendResult,
    Grant,
    Granted,
    Health,
)


class NotRun(enum.StrEnum):
    """Reason why a backend server did not run an order."""

    SHED = "shed"
    FENCED = "fenced"
    EXPIRED = "expired"


@attrs.frozen
class BackendModelSettings:
    """Behaviour of a backend server; times in seconds.

    A cold server bears one order more every `warm_step_s` and collapses, which is
    counted, above that. Its load report lags by `load_lag_s`.
    """

    name: str
    slots: int = 6
    checks_grants: bool = False
    warm_step_s: float = 2.0
    load_lag_s: float = 2.0
    service_time_s: float = 0.005
    service_time_sigma: float = 0.5
    shed_queue: int = 2


@attrs.define
class BackendModel:
    """State of a backend server; the caller supplies the time in seconds."""

    cfg: BackendModelSettings
    rng: random.Random
    started_s: float = 0.0
    starts: int = 1
    running: int = 0
    ran: int = 0
    overloads: int = 0
    slowdown: float = 1.0
    fence: int = 0
    epochs: dict[int, int] = attrs.field(factory=dict)
    grant_expires_s: float = -1.0
    _load_history: list[tuple[float, int]] = attrs.field(factory=list)

    @property
    def start_id(self) -> str:
        """Return the identifier of this process start."""
        return f"{self.cfg.name}-{self.starts}"

    def restart(self, now_s: float) -> None:
        """Start cold again with no grants and nothing running."""
        self.starts += 1
        self.started_s = now_s
        self.running = 0
        self.fence = 0
        self.epochs.clear()
        self.grant_expires_s = -1.0

    def bearable(self, now_s: float) -> int:
        """Return how many orders the server can run at once now."""
        warm = 1 + int((now_s - self.started_s) / self.cfg.warm_step_s)
        return min(self.cfg.slots, warm)

    def grant(self, grant: Grant, now_s: float, wall_s: float) -> BackendResult:
        """Accept a grant unless a higher fence was seen."""
        if grant.fence < self.fence:
            return Error(BackendError(BackendErrorKind.FENCED, self.fence))
        if grant.renew_only:
            if grant.fence != self.fence or now_s >= self.grant_expires_s:
                return Error(BackendError(BackendErrorKind.UNKNOWN_GRANT, self.fence))
        else:
            self.epochs = {s.slot: s.epoch for s in grant.slots}
        self.fence = grant.fence
        left_s = min(grant.duration_s, grant.expires_unix_s - wall_s)
        self.grant_expires_s = now_s + left_s
        return Ok(Granted(grant.fence))

    def admit(
        self,
        slot: int | None,
        epoch: int | None,
        expires_unix_s: float,
        now_s: float,
        wall_s: float,
    ) -> NotRun | None:
        """Start an order, or return why it is not run."""
        if wall_s > expires_unix_s:
            return NotRun.EXPIRED
        if self.cfg.checks_grants and slot is not None:
            current = now_s < self.grant_expires_s and self.epochs.get(slot) == epoch
            if not current:
                return NotRun.FENCED
        if self.running >= self.cfg.slots + self.cfg.shed_queue:
            return NotRun.SHED
        self.running += 1
        if self.running > self.bearable(now_s):
            self.overloads += 1
        self._load_history.append((now_s, self.running))
        return None

    def finish(self, now_s: float) -> None:
        """End an order."""
        self.running = max(self.running - 1, 0)
        self.ran += 1
        self._load_history.append((now_s, self.running))

    def service_time_s(self) -> float:
        """Return how long the next order takes."""
        cfg = self.cfg
        factor = self.rng.lognormvariate(0.0, cfg.service_time_sigma)
        return cfg.service_time_s * factor * self.slowdown

    def health(self, now_s: float) -> Health:
        """Return the state as it was `load_lag_s` ago."""
        seen_s = now_s - self.cfg.load_lag_s
        load = 0
        while len(self._load_history) > 1 and self._load_history[1][0] <= seen_s:
            self._load_history.pop(0)
        if self._load_history and self._load_history[0][0] <= seen_s:
            load = self._load_history[0][1]
        return Health(
            healthy=True,
            start_id=self.start_id,
            uptime_s=now_s - self.started_s,
            load=load / self.cfg.slots,
        )
