"""Models of tenant keys."""

import attrs
from expression import Result

from ..core.refusals import Refusal


@attrs.frozen
class Tenant:
    """The organisation of an authenticated key; the digest tells a replaced key."""

    organisation: str
    key_id: str
    digest: bytes = attrs.field(repr=False, default=b"")


@attrs.frozen
class StoredKey:
    """A tenant key hash of the configuration in binary form."""

    organisation: str
    salt: bytes = attrs.field(repr=False)
    digest: bytes = attrs.field(repr=False)
    # Made once: making a Result for each request costs as much as the hash.
    accepted: Result[Tenant, Refusal] = attrs.field(repr=False)
