"""Differences between declaration texts, as they are sent to instances."""

import zlib

from ..declaration.const import DECLARATION_MAX_BYTES
from .messages import ConfigurationPush
from .models import NO_DOCUMENT, Document


def make_push(document: Document, base: Document, authority: bool) -> ConfigurationPush:
    """Return the message that turns the base's text into the document's."""
    prefix = _common_prefix(document.text, base.text)
    suffix = _common_prefix(document.text[prefix:][::-1], base.text[prefix:][::-1])
    middle = document.text[prefix : len(document.text) - suffix]
    return ConfigurationPush(
        version=document.version,
        base_version=base.version,
        prefix_bytes=prefix,
        suffix_bytes=suffix,
        middle=zlib.compress(middle),
        digest=document.digest,
        authority=authority,
    )


def apply_push(push: ConfigurationPush, current: Document) -> Document | None:
    """Return the pushed document, or None without its base or if it is damaged."""
    base = current if push.base_version else NO_DOCUMENT
    if base.version != push.base_version:
        return None
    if push.prefix_bytes + push.suffix_bytes > len(base.text):
        return None
    try:
        decompressor = zlib.decompressobj()
        middle = decompressor.decompress(push.middle, DECLARATION_MAX_BYTES)
    except zlib.error:
        return None
    if not decompressor.eof:
        return None
    suffix_start = len(base.text) - push.suffix_bytes
    text = base.text[: push.prefix_bytes] + middle + base.text[suffix_start:]
    document = Document.of(push.version, text)
    return document if document.digest == push.digest else None


def _common_prefix(one: bytes, other: bytes) -> int:
    """Return the length of the common start, by halving the range."""
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
