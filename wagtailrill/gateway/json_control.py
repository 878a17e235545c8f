"""Encodes control calls to backend servers as HTTP requests with JSON bodies.

The driver uses it through `ControlDialect`; paths, fields and headers are configurable.
"""

import json
from collections.abc import Callable
from typing import Any

import attrs
from expression import Error, Ok

from ..core.request_models import AttemptOutcome, AttemptResult
from ..servers.control import (
    GRANT_TIMEOUT_S,
    ControlError,
    ControlErrorKind,
    ControlResult,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from .dialects import ControlRequest

# A server answers a release only when the work that runs on the keys has ended.
RELEASE_TIMEOUT_S = 4.0
OK_STATUS = 200
FENCED_STATUS = 409
MAY_HAVE_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.LOST,
        AttemptOutcome.BAD_ANSWER,
        AttemptOutcome.NO_MEMORY,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CANCELLED,
    }
)


@attrs.frozen
class ControlNames:
    """Paths, JSON fields and response header of the control calls.

    `encode_duration` converts seconds to the value of `duration_field`.
    """

    grant_path: str
    release_path: str
    first_field: str
    last_field: str
    fence_field: str
    duration_field: str
    encode_duration: Callable[[float], Any]
    handover_field: str
    handover_header: bytes


class JsonControlDialect:
    """Implements `ControlDialect`."""

    def __init__(self, names: ControlNames) -> None:
        self._names = names

    def encode_operation(self, operation: GrantKeys | ReleaseKeys) -> ControlRequest:
        """Return the HTTP request of an operation."""
        names = self._names
        fields: dict[str, Any] = {
            names.first_field: operation.first,
            names.last_field: operation.last,
            names.fence_field: operation.fence,
        }
        if isinstance(operation, ReleaseKeys):
            body = json.dumps(fields).encode()
            return ControlRequest(
                names.release_path, body, RELEASE_TIMEOUT_S, needs_certain_answer=True
            )
        fields[names.duration_field] = names.encode_duration(operation.duration_s)
        if operation.handover:
            fields[names.handover_field] = operation.handover
        return ControlRequest(
            names.grant_path, json.dumps(fields).encode(), GRANT_TIMEOUT_S
        )

    def decode_result(
        self, operation: GrantKeys | ReleaseKeys, result: AttemptResult
    ) -> ControlResult:
        """Return the result of an operation from that of its HTTP request."""
        if result.outcome is AttemptOutcome.CONNECT_FAILED:
            return Error(ControlError(ControlErrorKind.NOT_SENT))
        if result.outcome in MAY_HAVE_RUN_OUTCOMES:
            return Error(ControlError(ControlErrorKind.NO_ANSWER))
        if result.status == FENCED_STATUS and not result.may_be_extra:
            return Error(ControlError(ControlErrorKind.FENCED, result.status))
        if result.status != OK_STATUS:
            return Error(ControlError(ControlErrorKind.REFUSED, result.status))
        if isinstance(operation, GrantKeys):
            return Ok(KeysGranted(result.load))
        handover = dict(result.headers).get(self._names.handover_header, b"")
        return Ok(KeysReleased(handover.decode("latin-1")))
