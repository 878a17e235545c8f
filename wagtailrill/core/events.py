"""Events that the I/O code hands to the decision code."""

import attrs

from ..peer.registry import Envelope
from ..servers.control import ControlResult
from ..store.models import StoreResult
from .orders import AttemptResult, CallerRequest


@attrs.frozen
class PeerReceived:
    """An authenticated message from another instance."""

    envelope: Envelope


@attrs.frozen
class StoreReplied:
    """Result of a `CallStore` command."""

    call_id: int
    result: StoreResult


@attrs.frozen
class BackendReplied:
    """Result of a `CallBackend` command."""

    call_id: int
    result: ControlResult


@attrs.frozen
class RequestArrived:
    """A caller's request."""

    request: CallerRequest


@attrs.frozen
class AttemptEnded:
    """Result of a `SendOrder` command."""

    result: AttemptResult


@attrs.frozen
class CallerLeft:
    """The caller closed its connection before the answer."""

    request_id: int


@attrs.frozen
class DrainRequested:
    """Start a planned stop, which ends after `stop_in_s` seconds at the latest."""

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
