"""Requests of callers and the orders forwarded to backend servers."""

import enum

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class CallerRequest:
    """A request as it arrived; header names are lower case."""

    request_id: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


@attrs.frozen
class Order:
    """One attempt at a request on one backend server.

    `expires_unix_s` is absolute so that an order delayed by a pause is not run late.
    """

    attempt_id: int
    request_id: int
    backend_server: str
    method: str
    target: str
    headers: Headers
    body: bytes
    expires_unix_s: float
    timeout_s: float
    may_connect: bool
    traceparent: str = ""


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SHED = "shed"  # the backend server refused it without running it
    FENCED = "fenced"  # the grant check refused it without running it
    CONNECT_FAILED = "connect_failed"  # nothing was sent
    LOST = "lost"  # sent, and the connection ended before a whole answer
    BAD_ANSWER = "bad_answer"  # an answer that is cut, too long or another request's
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@attrs.frozen
class AttemptResult:
    """Result of an attempt; `latency_s` counts from sending the order."""

    attempt_id: int
    outcome: AttemptOutcome
    latency_s: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    start_id: str = ""
    connection_open: bool = False
