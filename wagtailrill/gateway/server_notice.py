"""Reads from a backend server's answer what it says about requests to come.

The dialect of backend servers uses it for the answers to requests and control calls.
"""

import re
from typing import Final

from ..core.request_models import NO_NOTICE, Headers, ServerNotice

RETRY_AFTER_HEADER: Final = b"retry-after"
# A pause is cut to this, so that a faulty value does not take a server out for good.
PAUSE_MAX_S: Final = 600.0
# A printed binary fraction may have 17 digits or more; `float` accepts any number.
_SECONDS_PATTERN: Final = re.compile(rb"\d{1,10}(?:\.\d+)?")
_TRUE: Final = b"1"


def parse_notice(
    headers: Headers, leaving_header: bytes, is_unavailable: bool
) -> ServerNotice:
    """Return the notice in the headers of an answer, whose names are in lower case.

    Only an answer with the status of an unavailable server (`is_unavailable`) asks for
    a pause, whether or not it says that the request has not run. An empty
    `leaving_header` is not looked for. If a header comes several times, the one that
    asks for more counts.
    """
    is_leaving = leaving_header != b"" and any(
        value.strip() == _TRUE for value in _list_values(headers, leaving_header)
    )
    pauses_s = map(_parse_pause_s, _list_values(headers, RETRY_AFTER_HEADER))
    pause_s = max(pauses_s, default=0.0) if is_unavailable else 0.0
    if not is_leaving and not pause_s:
        return NO_NOTICE
    return ServerNotice(is_leaving, pause_s)


def _list_values(headers: Headers, header_name: bytes) -> list[bytes]:
    return [value for name, value in headers if name == header_name]


def _parse_pause_s(value: bytes) -> float:
    """Return the seconds of a header value, 0 if it is no plain number."""
    if not _SECONDS_PATTERN.fullmatch(value.strip()):
        return 0.0
    return min(float(value), PAUSE_MAX_S)
