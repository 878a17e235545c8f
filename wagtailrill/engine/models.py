"""Rows of the request pipeline."""

import enum

import attrs

from ..core.orders import CallerRequest, Headers
from ..core.refusals import RefusalCode
from ..core.timer import TimerHandle
from ..declaration.models import Route, Service
from ..organisations.models import Tenant
from ..ownership.models import SlotRoute
from ..permits.models import Permit


class RequestState(enum.Enum):
    """Stage of a request."""

    LIMITING = "limiting"
    CLAIMING = "claiming"
    QUEUED = "queued"
    ACQUIRING = "acquiring"
    RUNNING = "running"
    JUDGING = "judging"  # an attempt was lost; the backend server is being probed


@attrs.define(eq=False, slots=True)
class Attempt:
    """One attempt at a request on a backend server."""

    attempt_id: int
    permit: Permit
    route: SlotRoute | None
    started_s: float
    start_id: str
    hedge: bool = False
    suspect: bool = False


@attrs.define(eq=False, slots=True)
class RequestRow:
    """A request in the pipeline."""

    req: CallerRequest
    service: Service
    route: Route
    key: bytes | None
    deadline_s: float
    expires_unix_s: float
    attempt_header: int = 0
    tenant: Tenant | None = None
    headers: Headers = ()
    state: RequestState = RequestState.LIMITING
    fingerprint: int | None = None
    suspect: bool = False
    hedged: bool = False
    claim_id: int | None = None
    target: str = ""
    # The backend server for whose permit the request waits.
    asked: str = ""
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    attempts_made: int = 0
    # A backend server may have run one of the attempts.
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    wait_reason: RefusalCode = RefusalCode.NO_BACKEND_SERVER
    deadline_timer: TimerHandle | None = None
    hedge_timer: TimerHandle | None = None

    @property
    def organisation(self) -> str:
        """Return the organisation's name, empty on routes without a tenant key."""
        return self.tenant.organisation if self.tenant else ""


@attrs.define
class PipelineCounters:
    """Counts for metrics, by name of service or refusal code."""

    requests: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: dict[str, int] = attrs.field(factory=dict)
    hedges: int = 0
    retries: int = 0


def count(table: dict[str, int], name: str) -> None:
    """Add one to a named count."""
    table[name] = table.get(name, 0) + 1


@attrs.frozen
class DrainSettings:
    """Durations of a planned stop in seconds."""

    load_balancer_lag_s: float = 5.0
    drain_s: float = 30.0
