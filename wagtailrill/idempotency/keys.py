"""Parsing of idempotency keys."""

import uuid

import xxhash

from ..core.orders import CallerRequest

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
KEY_LENGTH = 36


def issued_ms(key: str) -> int | None:
    """Return the Unix time in milliseconds in a UUIDv7, None for any other text."""
    if len(key) != KEY_LENGTH:
        return None
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION or str(value) != key.lower():
        return None
    return value.int >> TIMESTAMP_SHIFT_BITS


def request_digest(req: CallerRequest) -> int:
    """Return a digest of method, path, query and body."""
    digest = xxhash.xxh3_64()
    for part in (req.method, req.path, req.query):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(req.body)
    return digest.intdigest()
