"""Events that the I/O code hands to the decision code."""

from typing import Any

import attrs

from ..peer.registry import Envelope
from ..platform.models import InstanceEntry
from .orders import AttemptResult, CallerRequest


@attrs.frozen
class PeerReceived:
    """An authenticated message from another instance."""

    envelope: Envelope


@attrs.frozen
class StoreReplied:
    """Result of a `CallStore` command."""

    call_id: int
    result: Any


@attrs.frozen
class BackendReplied:
    """Result of a `CallBackend` command."""

    call_id: int
    result: Any


@attrs.frozen
class InstancesListed:
    """Contents of the platform's instance list, which lags."""

    entries: tuple[InstanceEntry, ...]


@attrs.frozen
class RequestArrived:
    """A caller's request."""

    request: CallerRequest


@attrs.frozen
class AttemptEnded:
    """Result of a `SendOrder` command."""

    result: AttemptResult


@attrs.frozen
class ConnectionClosed:
    """A connection to a backend server closed while idle."""

    backend_server: str


@attrs.frozen
class CallerLeft:
    """The caller closed its connection before the answer."""

    request_id: int


@attrs.frozen
class DrainRequested:
    """Start a planned stop."""


Event = (
    PeerReceived
    | StoreReplied
    | BackendReplied
    | InstancesListed
    | RequestArrived
    | AttemptEnded
    | ConnectionClosed
    | CallerLeft
    | DrainRequested
)
