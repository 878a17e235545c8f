"""Constants of tenant keys and header checks."""

from typing import Final

TENANT_KEY_HEADER: Final = b"x-tenant-key"
KEY_ID_BYTES: Final = 8
SECRET_BYTES: Final = 32
SALT_BYTES: Final = 16
# Limits the work spent on a value that may not be a well-formed key.
TENANT_KEY_MAX_BYTES: Final = 256
# Characters of an HTTP token in lower case.
HEADER_NAME_CHARACTERS: Final = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Kept even if a Connection header names them: without them the request would mean
# something else.
END_TO_END_HEADERS: Final = frozenset((b"content-length", b"host"))
