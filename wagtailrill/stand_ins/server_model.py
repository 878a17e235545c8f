"""Model of a backend server: slots, key grants, cold start and faults.

The HTTP stand-in and the servers on the virtual clock decide with it.
"""

import enum
import itertools
import random
from collections import Counter

import attrs

KEY_POSITIONS = 65_536
COLD_WINDOW_S = 1.0


class NotRunReason(enum.StrEnum):
    """Reason why a backend server did not run a request."""

    SHED = "shed"
    FENCED = "fenced"  # the server does not hold the key
    OTHER = "other"  # the request expects another server or process start
    EXPIRED = "expired"


@attrs.frozen
class ServerModelSettings:
    """Behaviour of a backend server; times in seconds.

    `slots` requests run at once and `queue_max` more wait. Service times are lognormal
    with the median `service_time_s`. For `cold_s` after its start the server is cold:
    requests above `cold_per_s` in any second are counted as overloads. With `keeps_id`
    all starts have the same ID. `version` is that of the server's program.
    """

    name: str
    service: str = ""
    slots: int = 6
    queue_max: int = 24
    keyed: bool = False
    service_time_s: float = 0.02
    service_time_sigma: float = 0.4
    cold_s: float = 0.0
    cold_per_s: float = 10.0
    keeps_id: bool = False
    version: str = "v1"


@attrs.define
class HeldKeys:
    """Range of key positions, ends included, held under a fencing token."""

    first: int
    last: int
    fence: int
    until_s: float


@attrs.define
class ServerModel:
    """State of a backend server; callers pass in the time in seconds.

    `seen_fences` holds ranges of positions as (first, last, fencing token). While
    `asked_pause_s` is not 0, the server turns all requests away and asks for a pause of
    so long.
    """

    cfg: ServerModelSettings
    rng: random.Random
    started_s: float = 0.0
    start_count: int = 1
    running_by_position: Counter[int] = attrs.field(factory=Counter)
    waiting_requests: int = 0
    requests_run: int = 0
    cold_overloads: int = 0
    slowness: float = 1.0
    leaving: bool = False
    asked_pause_s: float = 0.0
    held_keys: list[HeldKeys] = attrs.field(factory=list)
    seen_fences: list[tuple[int, int, int]] = attrs.field(factory=list)
    _recent_starts_s: list[float] = attrs.field(factory=list)
    _handover_numbers: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )

    @property
    def server_id(self) -> str:
        """Name of this process start: the server's name and the number of the start."""
        if self.cfg.keeps_id:
            return self.cfg.name
        return f"{self.cfg.name}-{self.start_count}"

    def restart(self, now_s: float) -> None:
        """Restart the process, without grants and without requests."""
        self.start_count += 1
        self.started_s = now_s
        self.running_by_position.clear()
        self.waiting_requests = 0
        self.leaving, self.asked_pause_s = False, 0.0
        self.held_keys.clear()
        self.seen_fences.clear()
        self._recent_starts_s.clear()

    def get_cold_left_s(self, now_s: float) -> float:
        """Return how much longer the server is cold, in seconds."""
        return max(0.0, self.started_s + self.cfg.cold_s - now_s)

    def find_refusal_reason(
        self, position: int | None, expected_server: str, now_s: float
    ) -> NotRunReason | None:
        """Return why a request cannot run, or None if it can.

        An empty `expected_server` accepts any server.
        """
        if expected_server and expected_server != self.server_id:
            return NotRunReason.OTHER
        if self.cfg.keyed and not self.holds_key(position, now_s):
            return NotRunReason.FENCED
        if (
            self.asked_pause_s
            or self.running_by_position.total() + self.waiting_requests
            >= self.cfg.slots + self.cfg.queue_max
        ):
            return NotRunReason.SHED
        return None

    def holds_key(self, position: int | None, now_s: float) -> bool:
        """Return whether the server holds the key at a position now."""
        return position is not None and any(
            keys.first <= position <= keys.last and now_s < keys.until_s
            for keys in self.held_keys
        )

    def begin_request(self, position: int | None, now_s: float) -> None:
        """Count a request as running; `position` is None for requests without a key."""
        self.running_by_position[-1 if position is None else position] += 1
        self.requests_run += 1
        self._recent_starts_s = [
            t for t in self._recent_starts_s if t > now_s - COLD_WINDOW_S
        ]
        self._recent_starts_s.append(now_s)
        if (
            self.get_cold_left_s(now_s)
            and len(self._recent_starts_s) > self.cfg.cold_per_s
        ):
            self.cold_overloads += 1

    def end_request(self, position: int | None) -> None:
        """Count a request as no longer running."""
        key = -1 if position is None else position
        self.running_by_position[key] -= 1
        if self.running_by_position[key] <= 0:
            del self.running_by_position[key]

    def has_free_slot(self) -> bool:
        """Return whether a request can run without waiting."""
        return self.running_by_position.total() < self.cfg.slots

    def draw_service_time_s(self) -> float:
        """Draw the service time of the next request, in seconds."""
        variation = self.rng.lognormvariate(0.0, self.cfg.service_time_sigma)
        return self.cfg.service_time_s * self.slowness * variation

    def format_load(self) -> str:
        """Return the load header: running, waiting, slots, slowness in percent."""
        running = self.running_by_position.total()
        return (
            f"{running},{self.waiting_requests},"
            f"{self.cfg.slots},{round(self.slowness * 100)}"
        )

    def grant_keys(
        self, first: int, last: int, fence: int, duration_s: float, now_s: float
    ) -> bool:
        """Hold a range of keys for `duration_s` seconds.

        Return False, and change nothing, if a higher fencing token has been seen on
        any of the keys.
        """
        if self._has_seen_higher_fence(first, last, fence):
            return False
        self._record_fence(first, last, fence)
        self._drop_range(first, last, now_s)
        self.held_keys.append(HeldKeys(first, last, fence, now_s + duration_s))
        return True

    def release_keys(self, first: int, last: int, fence: int, now_s: float) -> None:
        """Stop holding a range of keys; requests already running on them continue."""
        self._record_fence(first, last, fence)
        self._drop_range(first, last, now_s)

    def has_requests_on(self, first: int, last: int) -> bool:
        """Return whether a request is running on a key of the range."""
        return any(first <= position <= last for position in self.running_by_position)

    def make_handover_token(self) -> str:
        """Return a new handover token."""
        return f"{self.server_id}-{next(self._handover_numbers)}"

    def _has_seen_higher_fence(self, first: int, last: int, fence: int) -> bool:
        return any(
            seen_fence > fence and seen_first <= last and first <= seen_last
            for seen_first, seen_last, seen_fence in self.seen_fences
        )

    def _record_fence(self, first: int, last: int, fence: int) -> None:
        self.seen_fences = [
            entry
            for entry in self.seen_fences
            if not (first <= entry[0] and entry[1] <= last and entry[2] <= fence)
        ]
        self.seen_fences.append((first, last, fence))

    def _drop_range(self, first: int, last: int, now_s: float) -> None:
        remaining: list[HeldKeys] = []
        for keys in self.held_keys:
            if keys.until_s <= now_s:
                continue
            if keys.last < first or keys.first > last:
                remaining.append(keys)
                continue
            if keys.first < first:
                remaining.append(attrs.evolve(keys, last=first - 1))
            if keys.last > last:
                remaining.append(attrs.evolve(keys, first=last + 1))
        self.held_keys = remaining
