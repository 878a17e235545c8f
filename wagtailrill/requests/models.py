"""State of open requests and their attempts, and the request counters."""

import enum

import attrs

from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import AttemptOutcome, CallerRequest, Headers
from ..core.timer import TimerHandle
from ..declaration.models import Route, Service
from ..organisations.models import Tenant
from ..placement.models import ServerAssignment


class RequestState(enum.Enum):
    """Stage of a request."""

    LIMITING = "limiting"  # waits for a token of its organisation
    CLAIMING = "claiming"  # waits until its idempotency key is claimed
    PLACING = "placing"  # waits for the choice of a backend server
    WAITING = "waiting"  # waits to be placed again, as its key is moving
    RUNNING = "running"


@attrs.define(eq=False, slots=True)
class Attempt:
    """One attempt at a request on a backend server.

    `started_s` is monotonic time; `outcome` is None while the attempt runs.
    """

    attempt_id: int
    assignment: ServerAssignment
    started_s: float
    is_hedge: bool = False
    outcome: AttemptOutcome | None = None
    latency_s: float = 0.0


@attrs.define(eq=False, slots=True)
class RequestRow:
    """A request that has no answer yet.

    `arrived_s`, `deadline_s` and `latest_send_s`, after which it is not sent for the
    first time, are monotonic times. `possible_runs` counts the ended
    attempts that a backend server may have run.
    """

    req: CallerRequest
    service: Service
    route: Route
    arrived_s: float
    deadline_s: float
    latest_send_s: float = float("inf")
    tenant: Tenant | None = None
    headers: Headers = ()
    priority: int = 0
    key_position: int | None = None
    state: RequestState = RequestState.LIMITING
    # Set if the request must be claimed before it is sent.
    idempotency_key: str | None = None
    claim_id: int = 0
    # Attempts that have not ended, by attempt ID.
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    wait_logged: bool = False
    # All attempts, running and ended.
    attempt_history: list[Attempt] = attrs.field(factory=list)
    possible_runs: int = 0
    tried_servers: frozenset[str] = frozenset()
    # Instance that found no server, or what had no token, see `RateLimitResult`.
    decided_by: str = ""
    wait_reason: RefusalCode = RefusalCode.NO_BACKEND_SERVER
    fingerprint: int | None = None
    # Refusal that waits for the ends of the attempts, and the limit on this wait.
    pending_refusal: Refusal | None = None
    refusal_timer: TimerHandle | None = None
    deadline_timer: TimerHandle | None = None
    hedge_timer: TimerHandle | None = None
    # IDs of placement queries that have no answer yet, 0 for none.
    placement_id: int = 0
    hedge_placement_id: int = 0

    @property
    def organisation(self) -> str:
        """Return the organisation's name, empty on routes without a tenant key."""
        return self.tenant.organisation if self.tenant else ""

    @property
    def attempts_made(self) -> int:
        """Return the number of attempts so far."""
        return len(self.attempt_history)

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self.possible_runs > 0 or bool(self.attempts)


@attrs.define
class RequestCounters:
    """Counters for metrics: requests by service, refusals by code, attempts by outcome.

    The other counters are totals.
    """

    requests: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: dict[str, int] = attrs.field(factory=dict)
    hedges: int = 0
    retries: int = 0


def increment_counter(counters: dict[str, int], name: str) -> None:
    """Add one to the counter of a name."""
    counters[name] = counters.get(name, 0) + 1
