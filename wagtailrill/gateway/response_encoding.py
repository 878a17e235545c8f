"""Encodes responses to callers as HTTP/1.1."""

from http import HTTPStatus
from typing import Final

from .const import HOP_BY_HOP_HEADERS
from .dialects import CallerResponse

_STATUS_LINES: Final = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status, status.phrase.encode())
    for status in HTTPStatus
}
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


def encode_response(
    response: CallerResponse, closes_connection: bool, is_head_request: bool
) -> tuple[bytes, bytes]:
    """Return head and body of a response; one to a HEAD request has no body."""
    parts: list[bytes] = [
        _STATUS_LINES.get(response.status) or b"HTTP/1.1 %d \r\n" % response.status
    ]
    for name, value in response.headers:
        if name not in HOP_BY_HOP_HEADERS and name != b"content-length":
            parts.append(name + b": " + value + b"\r\n")
    if response.status not in _STATUSES_WITHOUT_BODY:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if closes_connection:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    has_body = not is_head_request and response.status not in _STATUSES_WITHOUT_BODY
    return b"".join(parts), response.body if has_body else b""
