"""Issues tenant keys and authenticates requests by them.

The request checks authenticate with it; the command line issues keys.
"""

import hashlib
import hmac
import re
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import attrs
from expression import Error, Ok, Result

from ..core.refusals import KeyFailure, KeyFault, Refusal, RefusalCode
from ..core.request_models import Headers
from ..declaration.models import Configuration, TenantKeyHash
from .const import (
    KEY_ID_BYTES,
    SALT_BYTES,
    SECRET_BYTES,
    TENANT_KEY_HEADER,
    TENANT_KEY_MAX_BYTES,
)
from .models import SharedKey, StoredKey, Tenant

_KEY_FORMAT: Final = re.compile(rb"wr_([0-9A-Za-z-]{1,64})_([0-9A-Za-z-]{16,128})")
_MISSING: Final = Refusal(
    RefusalCode.TENANT_KEY_MISSING,
    "The request carries no tenant key.",
    key_failure=KeyFailure(KeyFault.MISSING),
)
_DUPLICATE: Final = Refusal(
    RefusalCode.TENANT_KEY_INVALID,
    "The X-Tenant-Key header occurs more than once.",
    key_failure=KeyFailure(KeyFault.REPEATED),
)
_TOO_LONG: Final = Refusal(
    RefusalCode.TENANT_KEY_INVALID,
    f"The tenant key is longer than {TENANT_KEY_MAX_BYTES} bytes.",
    key_failure=KeyFailure(KeyFault.TOO_LONG),
)
_MALFORMED: Final = Refusal(
    RefusalCode.TENANT_KEY_INVALID,
    "The tenant key does not have the form wr_<key id>_<secret>.",
    key_failure=KeyFailure(KeyFault.MALFORMED),
)
# Unknown, withdrawn and wrong keys get the same refusal, so that a caller cannot find
# out which key ids exist.
_UNKNOWN_OR_WITHDRAWN: Final = Refusal(
    RefusalCode.TENANT_KEY_INVALID, "The tenant key is unknown or withdrawn."
)
# Stands in for the stored keys of an unknown key id.
_DUMMY_KEYS: Final = (
    StoredKey(
        "",
        bytes(SALT_BYTES),
        bytes(hashlib.sha256().digest_size),
        Error(_UNKNOWN_OR_WITHDRAWN),
    ),
)


def hash_secret(salt: bytes, secret: bytes) -> bytes:
    """Return the SHA-256 digest of salt and secret, which is what is stored."""
    return hashlib.sha256(salt + secret).digest()


def issue_key(rng_bytes: Callable[[int], bytes]) -> tuple[str, TenantKeyHash]:
    """Return a new key in clear text, to be shown once, and the hash to store.

    `rng_bytes` returns the given number of random bytes. It must be a cryptographic
    source such as `secrets.token_bytes`.
    """
    key_id = rng_bytes(KEY_ID_BYTES).hex()
    secret = rng_bytes(SECRET_BYTES).hex()
    salt = rng_bytes(SALT_BYTES)
    digest = hash_secret(salt, secret.encode())
    return f"wr_{key_id}_{secret}", TenantKeyHash(key_id, salt.hex(), digest.hex())


def hash_opaque_key(secret: bytes) -> TenantKeyHash:
    """Return the hash to store for a key without inner format, such as a random token.

    The key id is the start of the hash, so that the hash can be looked up by the key.
    """
    digest = hashlib.sha256(secret).digest()
    return TenantKeyHash(digest[:KEY_ID_BYTES].hex(), "", digest.hex())


class TenantKeyFormat(Protocol):
    """Format of tenant keys, from which the key id is derived."""

    def split_key(self, value: bytes) -> tuple[str, bytes] | None:
        """Return the key's id and secret, or None if it is malformed."""
        ...


class StructuredKeyFormat:
    """Keys of the form `wr_<key id>_<secret>`."""

    def split_key(self, value: bytes) -> tuple[str, bytes] | None:
        """Return the key's id and secret, or None if it is malformed."""
        match = _KEY_FORMAT.fullmatch(value)
        return None if match is None else (match[1].decode(), match[2])


class OpaqueKeyFormat:
    """Keys without inner format; see `hash_opaque_key`."""

    def split_key(self, value: bytes) -> tuple[str, bytes] | None:
        """Return the key's id and secret."""
        return hash_opaque_key(value).key_id, value


class TenantKeys:
    """Authenticates requests by the tenant keys of the current configuration.

    A key that several organisations have is refused, as requests with it would run for
    an arbitrary one of them. Keys that only have the same id are told apart.
    """

    def __init__(self, key_format: TenantKeyFormat | None = None) -> None:
        self._keys: dict[str, tuple[StoredKey, ...]] = {}
        self._key_format = key_format or StructuredKeyFormat()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, whichever was applied before."""
        keys: dict[str, list[StoredKey]] = {}
        for organisation in configuration.declaration.organisations:
            for entry in organisation.tenant_keys:
                keys.setdefault(entry.key_id, []).append(
                    _decode_key(organisation.name, entry)
                )
        self._keys = {key_id: tuple(entries) for key_id, entries in keys.items()}

    def list_shared_keys(self) -> tuple[SharedKey, ...]:
        """Return the keys that several organisations have."""
        shared_keys: list[SharedKey] = []
        for key_id, entries in self._keys.items():
            if len(entries) == 1:
                continue
            for salt, digest in sorted({(key.salt, key.digest) for key in entries}):
                names = _list_organisations(entries, salt, digest)
                if len(names) > 1:
                    shared_keys.append(SharedKey(key_id, tuple(sorted(names))))
        return tuple(shared_keys)

    def authenticate(self, headers: Headers) -> Result[Tenant, Refusal]:
        """Return the tenant by the key in the headers, or the refusal."""
        values = [value for name, value in headers if name == TENANT_KEY_HEADER]
        if not values:
            return Error(_MISSING)
        if len(values) > 1:
            return Error(_DUPLICATE)
        return self.authenticate_key(values[0])

    def authenticate_key(self, value: bytes | None) -> Result[Tenant, Refusal]:
        """Return the tenant of a key, or the refusal; None means that no key came."""
        if value is None:
            return Error(_MISSING)
        if len(value) > TENANT_KEY_MAX_BYTES:
            return Error(_TOO_LONG)
        parts = self._key_format.split_key(value)
        if parts is None:
            return Error(_MALFORMED)
        return self._verify(*parts)

    def is_still_valid(self, tenant: Tenant) -> bool:
        """Return whether the tenant's organisation, and no other, still has its key."""
        entries = self._keys.get(tenant.key_id, ())
        organisations = _list_organisations(entries, tenant.salt, tenant.digest)
        return organisations == {tenant.organisation}

    def _verify(self, key_id: str, secret: bytes) -> Result[Tenant, Refusal]:
        # The same hash and comparison run for unknown key ids, so that the response
        # time does not show which ones exist.
        entries = self._keys.get(key_id, _DUMMY_KEYS)
        matches = [
            stored
            for stored in entries
            if hmac.compare_digest(hash_secret(stored.salt, secret), stored.digest)
        ]
        if entries is _DUMMY_KEYS:
            return _build_failure(KeyFault.UNKNOWN_ID, key_id)
        if not matches:
            return _build_failure(KeyFault.HASH_DIFFERS, key_id)
        first = matches[0]
        if any(stored.organisation != first.organisation for stored in matches):
            return _build_failure(KeyFault.SEVERAL_ORGANISATIONS, key_id)
        return first.authenticated


def _decode_key(organisation: str, entry: TenantKeyHash) -> StoredKey:
    salt, digest = bytes.fromhex(entry.salt), bytes.fromhex(entry.sha256)
    tenant = Tenant(organisation, entry.key_id, salt, digest)
    return StoredKey(organisation, salt, digest, Ok(tenant))


def _list_organisations(
    entries: Iterable[StoredKey], salt: bytes, digest: bytes
) -> set[str]:
    """Return the organisations that have the key with this salt and digest."""
    return {
        stored.organisation
        for stored in entries
        if stored.digest == digest and stored.salt == salt
    }


def _build_failure(fault: KeyFault, key_id: str) -> Result[Tenant, Refusal]:
    """Return a refusal that tells the caller nothing but the log the fault."""
    failure = KeyFailure(fault, key_id)
    return Error(attrs.evolve(_UNKNOWN_OR_WITHDRAWN, key_failure=failure))
