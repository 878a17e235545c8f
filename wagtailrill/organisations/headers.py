"""Checks the headers of callers and strips those that are not forwarded.

The request checks call it before a request is routed.
"""

from collections.abc import Callable
from typing import Final

from ..core.refusals import Refusal, RefusalCode
from ..core.request_models import Headers
from .const import (
    END_TO_END_HEADERS,
    HEADER_NAME_CHARACTERS,
    HOP_BY_HOP_HEADERS,
)

_SEPARATOR: Final = b"\n"


def _make_refusal(message: str) -> Refusal:
    return Refusal(RefusalCode.BAD_REQUEST, message)


_BAD_NAME: Final = _make_refusal(
    "A header name contains a character that is not allowed."
)
_BAD_VALUE: Final = _make_refusal("A header value contains CR, LF or NUL.")
_BAD_LENGTH: Final = _make_refusal("The Content-Length header is not a number.")
_DIFFERING_LENGTHS: Final = _make_refusal("The Content-Length headers differ.")
_LENGTH_AND_ENCODING: Final = _make_refusal(
    "Content-Length and Transfer-Encoding may not occur together."
)
_BAD_ENCODING: Final = _make_refusal("The only Transfer-Encoding accepted is chunked.")


def check_headers(headers: Headers) -> Refusal | None:
    """Return a refusal for headers that two servers could parse differently.

    Such headers allow request smuggling. Header names must be in lower case.
    """
    if not headers:
        return None
    names, values = zip(*headers, strict=True)
    separators = len(headers) - 1
    # Names and values are checked joined: a loop over them costs four times as much.
    joined = _SEPARATOR.join(names)
    invalid = joined.translate(None, HEADER_NAME_CHARACTERS)
    if invalid != _SEPARATOR * separators or b"" in names:
        return _BAD_NAME
    joined = _SEPARATOR.join(values)
    if joined.count(_SEPARATOR) != separators or b"\r" in joined or b"\0" in joined:
        return _BAD_VALUE
    return _check_framing(headers, names)


def _check_framing(headers: Headers, names: tuple[bytes, ...]) -> Refusal | None:
    has_encoding = b"transfer-encoding" in names
    if b"content-length" not in names and not has_encoding:
        return None
    lengths = {value for name, value in headers if name == b"content-length"}
    if has_encoding and lengths:
        return _LENGTH_AND_ENCODING
    if has_encoding:
        encodings = [v for name, v in headers if name == b"transfer-encoding"]
        is_chunked = [v.strip(b" \t").lower() for v in encodings] == [b"chunked"]
        return None if is_chunked else _BAD_ENCODING
    if len(lengths) > 1:
        return _DIFFERING_LENGTHS
    return None if all(value.isdigit() for value in lengths) else _BAD_LENGTH


def strip_headers(headers: Headers, is_reserved: Callable[[bytes], bool]) -> Headers:
    """Return the headers without the reserved and the hop-by-hop ones.

    `is_reserved` says whether this instance sets a header of this name or is its only
    reader. It gets the name with hyphens in place of underscores, because some servers
    treat the two alike.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            dropped.update(_parse_connection_names(value))
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not is_reserved(name.replace(b"_", b"-"))
    )


def _parse_connection_names(value: bytes) -> frozenset[bytes]:
    names = frozenset(token.strip(b" \t").lower() for token in value.split(b","))
    return names - END_TO_END_HEADERS
