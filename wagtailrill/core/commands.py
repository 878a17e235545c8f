"""Commands that the decision code returns and the I/O code executes."""

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..peer.registry import Envelope
    from ..servers.control import ControlOperation
    from ..store.models import StoreOperation
    from .refusals import Refusal
    from .request_models import BackendRequest


@attrs.frozen
class SendPeer:
    """Send a message to another instance; delivery is not guaranteed."""

    envelope: "Envelope"


@attrs.frozen
class CallStore:
    """Call the platform store; `StoreReplied` returns the result."""

    call_id: int
    operation: "StoreOperation"


@attrs.frozen
class CancelStoreCall:
    """Abandon a call to the store, whose result is of no more use."""

    call_id: int


@attrs.frozen
class CallBackend:
    """Make a control call to a backend server; `BackendReplied` returns its result."""

    call_id: int
    backend_server: str
    operation: "ControlOperation"


@attrs.frozen
class SendBackendRequest:
    """Send a request to a backend server; `AttemptEnded` returns the result."""

    request: "BackendRequest"


@attrs.frozen
class CancelAttempt:
    """Abandon an attempt and close its connection."""

    attempt_id: int


@attrs.frozen
class CloseConnections:
    """Close the connections to a backend server: idle ones now, busy ones after use."""

    backend_server: str


@attrs.frozen
class RefuseRequest:
    """Answer a caller with an error."""

    request_id: int
    refusal: "Refusal"


@attrs.frozen
class AnswerRequest:
    """Answer a caller with the backend server's answer to an attempt."""

    request_id: int
    attempt_id: int


@attrs.frozen
class ReplayAnswer:
    """Answer a caller with the stored answer to an earlier delivery of its request."""

    request_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class RecordConfigurationDelay:
    """Observe how long a configuration can have been stored before it was in force."""

    delay_max_s: float


@attrs.frozen
class LogEvent:
    """Write a structured log line."""

    event: str
    fields: tuple[tuple[str, str | float], ...] = ()


Command = (
    SendPeer
    | CallStore
    | CancelStoreCall
    | CallBackend
    | SendBackendRequest
    | CancelAttempt
    | CloseConnections
    | RefuseRequest
    | AnswerRequest
    | ReplayAnswer
    | RecordConfigurationDelay
    | LogEvent
)
