"""Constants of tenant keys and header checks."""

from typing import Final

TENANT_KEY_HEADER: Final = b"x-tenant-key"
KEY_ID_BYTES: Final = 8
SECRET_BYTES: Final = 32
SALT_BYTES: Final = 16
# Bounds the work spent on a key before it is known to be well formed.
TENANT_KEY_MAX_BYTES: Final = 256
TOKEN_CHARACTERS: Final = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
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
# A Connection header that names these would change the meaning of the request.
END_TO_END_HEADERS: Final = frozenset((b"content-length", b"host"))
