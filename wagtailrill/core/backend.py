"""Interface of a backend server's control side."""

import enum
import math
from typing import Protocol

import attrs
from expression import Result


@attrs.frozen
class SlotEpoch:
    """A slot and the epoch at which it was assigned."""

    slot: int
    epoch: int


@attrs.frozen
class Grant:
    """Grants slots of a service to a backend server for a duration.

    The fence is the highest epoch of the service in the cell table that the grant was
    made from. A checking backend server refuses a grant whose fence is lower than the
    highest it has seen, and otherwise replaces all slots of the service. An empty
    `slots` with `renew_only` extends the slots of the same fence. A grant that
    has expired cannot be renewed, only granted anew. No grant lasts beyond
    `expires_unix_s`, however late it is received.
    """

    service: str
    fence: int
    slots: tuple[SlotEpoch, ...]
    duration_s: float
    renew_only: bool = False
    expires_unix_s: float = math.inf


@attrs.frozen
class Probe:
    """Ask for health, load and start id."""


BackendOperation = Grant | Probe


@attrs.frozen
class Granted:
    """The backend server accepted a grant."""

    fence: int


@attrs.frozen
class Health:
    """State that a backend server reports; `load` may lag or mislead."""

    healthy: bool
    start_id: str
    uptime_s: float
    load: float


class BackendErrorKind(enum.Enum):
    """Reason why a control call failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    FENCED = "fenced"
    UNKNOWN_GRANT = "unknown_grant"


@attrs.frozen
class BackendError:
    """Failure of a control call."""

    kind: BackendErrorKind
    fence: int = 0


BackendResult = Result[Granted | Health, BackendError]


class BackendServers(Protocol):
    """Control interface of backend servers, found by their address."""

    async def async_call(
        self, address: str, operation: BackendOperation
    ) -> BackendResult:
        """Hand over a fenced grant, or return health, load and start id."""
        ...
