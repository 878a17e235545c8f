"""Interfaces by which the HTTP side learns the headers of callers and servers."""

from typing import Protocol

import attrs

from ..core.refusals import Refusal
from ..core.request_models import (
    AttemptOutcome,
    AttemptResult,
    BackendRequest,
    Headers,
    LoadReport,
)
from ..servers.control import ControlResult, GrantKeys, ReleaseKeys


@attrs.frozen
class CallerAnswer:
    """A whole answer for a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class CallerFields:
    """What the headers of a request say of it; see `CallerRequest`."""

    caller_id: str = ""
    time_left_s: float | None = None
    credential: bytes | None = attrs.field(repr=False, default=None)
    key_position: int | None = None
    attempt: int = 0
    idempotency_key: bytes | None = None


class CallerDialect(Protocol):
    """Headers that callers send and that refusals carry."""

    def read(self, headers: Headers) -> CallerFields:
        """Return what the headers say; a malformed one counts as absent."""
        ...

    def refusal(self, refusal: Refusal, caller_id: str) -> CallerAnswer:
        """Return the answer that tells a caller of a refusal."""
        ...


@attrs.frozen
class AnswerFields:
    """What a backend server's answer says beside its status and body.

    `outcome` says whether the request ran and succeeded. `caller_id` is the echoed
    name of the request, None if the answer has none.
    """

    outcome: AttemptOutcome
    caller_id: str | None = None
    start_id: str = ""
    load: LoadReport | None = None


@attrs.frozen
class ControlCall:
    """A control call as an HTTP request."""

    target: str
    body: bytes
    timeout_s: float


class ControlDialect(Protocol):
    """Control calls to backend servers."""

    def encode(self, operation: GrantKeys | ReleaseKeys) -> ControlCall:
        """Return the request of a call."""
        ...

    def decode(
        self, operation: GrantKeys | ReleaseKeys, result: AttemptResult
    ) -> ControlResult:
        """Return what the end of the exchange means."""
        ...


class BackendDialect(Protocol):
    """Headers of requests to backend servers and of their answers."""

    def reserved(self, name: bytes) -> bool:
        """Return whether a caller's header is not passed on."""
        ...

    def order_headers(self, order: BackendRequest) -> Headers:
        """Return the headers that the request carries besides the caller's own."""
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerFields:
        """Return what an answer says; header names are lower case."""
        ...
