"""Records that the crash guard keeps, and the fingerprint of a request."""

import attrs
import xxhash

from ..core.request_models import CallerRequest


@attrs.frozen
class ConnectionLoss:
    """A request whose connection to a backend server was lost.

    `start_id` identifies the server's process start; `lost_s` is monotonic time.
    """

    fingerprint: int
    backend_server: str
    start_id: str
    lost_s: float


@attrs.define
class Suspect:
    """A fingerprint whose requests may crash backend servers.

    `crashed_starts` holds server name and start ID of each process that ended while
    it ran such a request; `expires_s` is monotonic time.
    """

    expires_s: float
    crashed_starts: set[tuple[str, str]] = attrs.field(factory=set)


def compute_request_fingerprint(organisation: str, req: CallerRequest) -> int:
    """Return a 64-bit hash of organisation, method, path, query and body."""
    digest = xxhash.xxh3_64()
    for part in (organisation, req.method, req.path, req.query or ""):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(req.body)
    return digest.intdigest()
