"""Splits request targets of HTTP/1.1 (RFC 9112, section 3.2) without changing them.

The parsers of httptools refuse targets over 64 KiB and hosts with an underscore, and do
not tell an empty query from none.
"""

import re
from typing import Final

import attrs

_ABSOLUTE_PATTERN: Final = re.compile(
    rb"[A-Za-z][A-Za-z0-9+.-]*://(?:[^/?#@]*@)?([^/?#]*)(.*)", re.DOTALL
)


@attrs.frozen
class RequestTarget:
    """Path and query as they were sent.

    `query` is None without a question mark. `authority` is the host, with its port, of
    a target in absolute form, otherwise None.
    """

    path: str
    query: str | None = None
    authority: str | None = None


def parse_request_target(target: bytes) -> RequestTarget | None:
    """Return the parts of a target; None if it names no resource of a server."""
    text = target.decode("latin-1")
    if text.startswith("/") or text == "*":
        return _split_path(text)
    absolute = _ABSOLUTE_PATTERN.fullmatch(target)
    if absolute is None:
        return None
    authority = absolute[1].decode("latin-1")
    rest = absolute[2].decode("latin-1")
    return _split_path(rest if rest.startswith("/") else f"/{rest}", authority)


def _split_path(text: str, authority: str | None = None) -> RequestTarget:
    path, mark, query = text.partition("?")
    return RequestTarget(path, query if mark else None, authority)
