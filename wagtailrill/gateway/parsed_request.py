"""Requests that callers' connections have received, and why input is refused."""

import enum

import attrs

from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import Headers
from .body_memory import BodyHold

MEMORY_RETRY_AFTER_S = 1.0
HEADERS_TOO_LARGE = Refusal(
    RefusalCode.HEADERS_TOO_LARGE, "The request headers are too large."
)
BODY_TOO_LARGE = Refusal(
    RefusalCode.REQUEST_TOO_LARGE, "The request body is too large."
)
MEMORY_FULL = Refusal(
    RefusalCode.MEMORY_FULL,
    "This instance has no memory for the request now.",
    retry_after_s=MEMORY_RETRY_AFTER_S,
)
MALFORMED_REQUEST = Refusal(
    RefusalCode.BAD_REQUEST, "The bytes are not an HTTP/1.1 request."
)


class InputPhase(enum.Enum):
    """What the next bytes of a connection belong to."""

    IDLE = "idle"  # no request
    HEAD = "head"
    BODY = "body"
    ENDED = "ended"  # no further request is read


@attrs.frozen
class ParsedRequest:
    """A complete request; host and header names are in lower case.

    The host of an absolute target takes precedence over the Host header. `hold` counts
    head and body until the request has ended.
    """

    method: str
    path: str
    query: str | None
    host: str
    headers: Headers
    body: bytes
    keep_alive: bool
    hold: BodyHold = attrs.field(eq=False, repr=False)


@attrs.frozen
class InputFault:
    """Why the bytes after the last complete request are refused.

    `reason` is the parser's error or what is too large. `received_bytes` counts what is
    compared with `limit_bytes`; with a limit of 0, all bytes since the last complete
    request. `headers` are those that were received.
    """

    refusal: Refusal
    reason: str
    received_bytes: int
    limit_bytes: int = 0
    headers: Headers = ()
