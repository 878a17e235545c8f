"""Grants and releases of keys at backend servers."""

import json
from typing import Any

from expression import Error, Ok

from ..core.orders import AttemptOutcome, AttemptResult
from ..gateway.dialects import ControlCall
from ..servers.control import (
    ControlError,
    ControlErrorKind,
    ControlOperation,
    ControlResult,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from . import wire
from .units import milliseconds

GRANT_TIMEOUT_S = 0.5
# A release is answered when the work that runs on the keys has ended.
RELEASE_TIMEOUT_S = 4.0
_OK = 200
_FENCED = 409
_MAY_HAVE_RUN = frozenset(
    {
        AttemptOutcome.LOST,
        AttemptOutcome.BAD_ANSWER,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CANCELLED,
    }
)


class PlatformControl:
    """Control calls of the platform's backend servers."""

    def encode(self, operation: ControlOperation) -> ControlCall:
        """Return the request of a call."""
        fields: dict[str, Any] = {
            "from": operation.first,
            "target": operation.last,  # the last position, not a server
            "fence": operation.fence,
        }
        if isinstance(operation, ReleaseKeys):
            return ControlCall(
                "/release", json.dumps(fields).encode(), RELEASE_TIMEOUT_S
            )
        fields["hold_time"] = milliseconds(operation.duration_s)
        if operation.handover:
            fields["handover"] = operation.handover
        return ControlCall("/grant", json.dumps(fields).encode(), GRANT_TIMEOUT_S)

    def decode(
        self, operation: ControlOperation, result: AttemptResult
    ) -> ControlResult:
        """Return what the end of the exchange means."""
        if result.outcome is AttemptOutcome.CONNECT_FAILED:
            return Error(ControlError(ControlErrorKind.NOT_SENT))
        if result.outcome in _MAY_HAVE_RUN:
            return Error(ControlError(ControlErrorKind.NO_ANSWER))
        if result.status == _FENCED:
            return Error(ControlError(ControlErrorKind.FENCED, result.status))
        if result.status != _OK:
            return Error(ControlError(ControlErrorKind.REFUSED, result.status))
        if isinstance(operation, GrantKeys):
            return Ok(KeysGranted(result.load))
        handover = dict(result.headers).get(wire.HANDOVER, b"")
        return Ok(KeysReleased(handover.decode("latin-1")))
