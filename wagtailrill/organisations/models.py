"""Authenticated tenants and stored tenant keys."""

import attrs
from expression import Result

from ..core.refusals import Refusal


@attrs.frozen
class Tenant:
    """Organisation and key of an authenticated request.

    `salt` and `digest` show whether the key was replaced under the same id.
    """

    organisation: str
    key_id: str
    salt: bytes = attrs.field(repr=False, default=b"")
    digest: bytes = attrs.field(repr=False, default=b"")


@attrs.frozen
class SharedKey:
    """A key that the configuration gives to several organisations."""

    key_id: str
    organisations: tuple[str, ...]


@attrs.frozen
class StoredKey:
    """A tenant key hash of the configuration, decoded to bytes."""

    organisation: str
    salt: bytes = attrs.field(repr=False)
    digest: bytes = attrs.field(repr=False)
    # Built once: building a Result for each request costs as much as the hash.
    authenticated: Result[Tenant, Refusal] = attrs.field(repr=False)
