"""Events that the I/O code passes to the decision code."""

import attrs

from ..peer.registry import Envelope
from ..servers.control import ControlResult
from ..store.models import StoreResult
from .request_models import NO_NOTICE, AttemptResult, CallerRequest, ServerNotice


@attrs.frozen
class PeerReceived:
    """An authenticated message from another instance arrived."""

    envelope: Envelope


@attrs.frozen
class StoreReplied:
    """The result of a `CallStore` command.

    `era` is that of the store's answer, 0 if there was none.
    """

    call_id: int
    result: StoreResult
    era: int = 0


@attrs.frozen
class BackendReplied:
    """The result of a `CallBackend` command, and what the server said besides."""

    call_id: int
    result: ControlResult
    notice: ServerNotice = NO_NOTICE


@attrs.frozen
class RequestArrived:
    """A caller's request arrived and was parsed."""

    request: CallerRequest


@attrs.frozen
class AttemptEnded:
    """The result of a `SendBackendRequest` command."""

    result: AttemptResult


@attrs.frozen
class CallerLeft:
    """The caller closed its connection before the answer."""

    request_id: int


@attrs.frozen
class DrainRequested:
    """A planned stop begins; the process ends within `stop_in_s` seconds."""

    stop_in_s: float


Event = (
    PeerReceived
    | StoreReplied
    | BackendReplied
    | RequestArrived
    | AttemptEnded
    | CallerLeft
    | DrainRequested
)
