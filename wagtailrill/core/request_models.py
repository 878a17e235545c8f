"""Requests of callers, requests to backend servers, and the results of attempts."""

import enum
from typing import Final

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# With these a server or the router says that it has not run the request.
REPEATABLE_STATUSES: Final = frozenset({408, 421, 429})


@attrs.frozen
class CallerRequest:
    """A request as it arrived; host and header names are in lower case.

    `query` is None for a target without a question mark. `host` may have a port.
    `caller_request_id` is the id that the caller gave the request, and `time_left_s`
    how long the caller will wait, None if it did not say. `credential` is the tenant
    key that came with the request. `key_position` is the position of the request's key
    among 65,536, None without a key. `attempt_number` is sent by a caller that is
    itself a backend server; 0 otherwise.
    """

    request_id: int
    method: str
    path: str
    query: str | None
    headers: Headers
    body: bytes
    host: str = ""
    caller_request_id: str = ""
    time_left_s: float | None = None
    credential: bytes | None = attrs.field(repr=False, default=None)
    key_position: int | None = None
    attempt_number: int = 0
    idempotency_key: bytes | None = None

    @property
    def target(self) -> str:
        """Return path and query as they are sent to backend servers."""
        return self.path if self.query is None else f"{self.path}?{self.query}"


@attrs.frozen
class BackendRequest:
    """One attempt at a caller's request, as sent to one backend server.

    `timeout_s` is how long the caller still waits. `expires_unix_s` is absolute, so
    that a request delayed by a pause is not run too late. `caller_request_id` is the id
    that the caller gave the request; an answer with another id is rejected.
    `connections_max` limits the connections of this instance to the server, 0 for no
    limit. `attempt_number` is 0 for the first attempt. `needs_certain_answer` keeps the
    request off connections on which an extra answer could be taken for its own. A
    control call is made by the router itself and has no request id.
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
    caller_request_id: str = ""
    organisation: str = ""
    connections_max: int = 0
    key_position: int | None = None
    attempt_number: int = 0
    needs_certain_answer: bool = False
    is_control_call: bool = False


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SHED = "shed"  # load shedding: the backend server did not run it
    FENCED = "fenced"  # the backend server's grant check rejected it, not run
    MISDIRECTED = (
        "misdirected"  # reached another server or one without the key, not run
    )
    FAILED = "failed"  # the backend server ran it and answered with an error
    CONNECT_FAILED = "connect_failed"  # nothing was sent
    LOST = "lost"  # sent, but the connection closed before the whole answer
    BAD_ANSWER = "bad_answer"  # malformed, too long, unsigned or another request's
    NO_MEMORY = "no_memory"  # answered, but this instance could not keep the body
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@attrs.frozen
class LoadReport:
    """Load that a backend server reports with an answer, in requests and slots.

    `slowness` is how long work takes there now, relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class EchoedId(enum.StrEnum):
    """Request id that a response echoes, compared with that of the request."""

    OWN = "own"
    OTHER = "other"
    ABSENT = "absent"


@attrs.frozen
class ResponseMarks:
    """What shows which backend server and which request a response comes from."""

    status: int
    is_signed: bool
    echoed_id: EchoedId

    def build_log_fields(self) -> dict[str, str | int]:
        """Return the fields that describe the response in a log line."""
        return {
            "status": self.status,
            "signed": self.is_signed,
            "echoed_id": self.echoed_id.value,
        }

    @property
    def is_client_error(self) -> bool:
        """Return whether the status blames the request and it is not to be repeated."""
        return 400 <= self.status < 500 and self.status not in REPEATABLE_STATUSES


@attrs.frozen
class DiscardedResponses:
    """Responses that came in place of an answer: the first one, and their number."""

    first: ResponseMarks
    count: int


@attrs.frozen
class ServerNotice:
    """What a backend server says in an answer about requests to come.

    `is_leaving` means that its process ends soon. It wants no requests from this
    instance for `pause_s` seconds.
    """

    is_leaving: bool = False
    pause_s: float = 0.0

    def merge(self, other: "ServerNotice") -> "ServerNotice":
        """Return a notice that asks for all that two notices of a server ask for."""
        if other == NO_NOTICE:
            return self
        return ServerNotice(
            self.is_leaving or other.is_leaving, max(self.pause_s, other.pause_s)
        )


NO_NOTICE = ServerNotice()


@attrs.frozen
class AttemptResult:
    """Result of an attempt; `latency_s` counts from sending the request.

    `marks` are those of the answer, None without one. `may_be_extra` says that it may
    be an extra answer to an earlier control call. `sent` is False if it is certain that
    nothing of the request was written to a connection.
    """

    attempt_id: int
    outcome: AttemptOutcome
    latency_s: float
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    start_id: str = ""
    load: LoadReport | None = None
    notice: ServerNotice = NO_NOTICE
    marks: ResponseMarks | None = None
    discarded: DiscardedResponses | None = None
    may_be_extra: bool = False
    sent: bool = True
