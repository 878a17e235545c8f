"""Rows of requests and their attempts."""

import enum

import attrs

from ..core.orders import AttemptOutcome, CallerRequest, Headers
from ..core.refusals import RefusalCode
from ..core.timer import TimerHandle
from ..declaration.models import Route, Service
from ..organisations.models import Tenant
from ..placement.models import ServerAssignment


class RequestState(enum.Enum):
    """Stage of a request."""

    LIMITING = "limiting"  # waits for a token of its organisation
    CLAIMING = "claiming"  # waits until its idempotency key is claimed
    PLACING = "placing"  # waits for the choice of a backend server
    WAITING = "waiting"  # its key is moving
    RUNNING = "running"


@attrs.define(eq=False, slots=True)
class Attempt:
    """One attempt at a request on a backend server."""

    attempt_id: int
    placed: ServerAssignment
    started_s: float
    hedge: bool = False
    outcome: AttemptOutcome | None = None
    latency_s: float = 0.0


@attrs.define(eq=False, slots=True)
class RequestRow:
    """A request that has no answer yet.

    `runs` counts the attempts that a backend server may have run.
    """

    req: CallerRequest
    service: Service
    route: Route
    arrived_s: float
    deadline_s: float
    tenant: Tenant | None = None
    headers: Headers = ()
    priority: int = 0
    key_position: int | None = None
    state: RequestState = RequestState.LIMITING
    # Idempotency key of a request that is claimed before it is sent.
    claim_key: str | None = None
    claim_id: int = 0
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    has_waited: bool = False
    # All attempts, with those that have ended.
    past: list[Attempt] = attrs.field(factory=list)
    runs: int = 0
    tried: frozenset[str] = frozenset()
    # Who found no room or no token: an instance, or a part of this one.
    decided_by: str = ""
    wait_reason: RefusalCode = RefusalCode.NO_BACKEND_SERVER
    fingerprint: int | None = None
    deadline_timer: TimerHandle | None = None
    hedge_timer: TimerHandle | None = None
    # Questions to placement that have no answer yet, 0 for none.
    question: int = 0
    hedge_question: int = 0

    @property
    def organisation(self) -> str:
        """Return the organisation's name, empty on routes without a tenant key."""
        return self.tenant.organisation if self.tenant else ""

    @property
    def attempts_made(self) -> int:
        """Return the number of attempts so far."""
        return len(self.past)

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self.runs > 0 or bool(self.attempts)


@attrs.define
class RequestCounters:
    """Counts for metrics, by name of service or refusal code."""

    requests: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: dict[str, int] = attrs.field(factory=dict)
    hedges: int = 0
    retries: int = 0


def count(table: dict[str, int], name: str) -> None:
    """Add one to a named count."""
    table[name] = table.get(name, 0) + 1
