"""Requests of callers and the orders forwarded to backend servers."""

import enum
from typing import Any

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class CallerRequest:
    """A request as it arrived; header names are lower case.

    `caller_id` is the caller's own name of the request and `time_left_s` how long the
    caller waits, if it says so. `credential` is the tenant key that came with the
    request, and `key_position` the place of its key among 65,536.
    """

    request_id: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    host: str = ""
    caller_id: str = ""
    time_left_s: float | None = None
    credential: bytes | None = attrs.field(repr=False, default=None)
    key_position: int | None = None


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
    may_connect: bool = True
    traceparent: str = ""
    caller_id: str = ""
    organisation: str = ""
    connections_max: int = 0


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SHED = "shed"  # the backend server refused it without running it
    FENCED = "fenced"  # the grant check refused it without running it
    MISDIRECTED = "misdirected"  # another server, or one without the key; not run
    FAILED = "failed"  # the backend server ran it and answered with a failure
    CONNECT_FAILED = "connect_failed"  # nothing was sent
    LOST = "lost"  # sent, and the connection ended before a whole answer
    BAD_ANSWER = "bad_answer"  # an answer that is cut, too long or another request's
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@attrs.frozen
class LoadReport:
    """Load that a backend server reports with an answer.

    `slowness` is how long work takes there now, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@attrs.frozen
class AttemptResult:
    """Result of an attempt; `latency_s` counts from sending the order.

    `leaving` says that the backend server takes no further request on its connection
    because it stops.
    """

    attempt_id: int
    outcome: AttemptOutcome
    latency_s: float
    status: int = 0
    headers: tuple[tuple[Any, Any], ...] = ()
    body: bytes = b""
    start_id: str = ""
    connection_open: bool = False
    load: LoadReport | None = None
    leaving: bool = False
