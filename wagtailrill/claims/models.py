"""Claims on idempotency keys: stored form, verdicts and digests."""

import base64
import enum
import json
import uuid
from typing import Any

import attrs
import xxhash

from ..core.json_fields import UINT64_MAX, get_integer, get_name, load_object
from ..core.request_models import CallerRequest, Headers

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
UUID_TEXT_LENGTH = 36


class Verdict(enum.StrEnum):
    """Result of a claim: whether the request may be sent, and if not, why."""

    NEW = "new"  # the instance that claimed the key may send the request, once
    IN_PROGRESS = "in_progress"
    DONE = "done"  # the stored answer comes with the verdict
    UNKNOWN = "unknown"  # an earlier delivery may have run
    NOT_KEPT = "not_kept"  # it ran; the answer was too large to store
    REUSED = "reused"  # the key was used before with a different request
    EXPIRED = "expired"
    FUTURE = "future"  # the caller's clock is ahead
    UNREACHABLE = "unreachable"  # the store did not answer


class ClaimState(enum.StrEnum):
    """State of a claimed request as recorded in the store."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    UNKNOWN = "unknown"


@attrs.frozen
class ClaimKey:
    """Identifies a request across deliveries; `key` is its idempotency key."""

    organisation: str
    service: str
    key: str

    def compute_digest(self) -> str:
        """Return the name, in hexadecimal, under which the claim is stored."""
        text = f"{self.organisation}\0{self.service}\0{self.key}"
        return xxhash.xxh3_128_hexdigest(text.encode())


@attrs.frozen
class StoredAnswer:
    """An answer that is kept for repeated deliveries."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class Claim:
    """Value stored for a claim.

    `digest` is that of the request, and `nonce` tells this delivery from others.
    """

    state: ClaimState
    digest: int
    instance: str
    incarnation: int
    nonce: int
    answer: StoredAnswer | None = None

    def to_bytes(self) -> bytes:
        """Return the stored form, as JSON."""
        fields: dict[str, Any] = attrs.asdict(
            self, filter=lambda field, _: field.name != "answer"
        )
        if self.answer is not None:
            fields["status"] = self.answer.status
            fields["headers"] = [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in self.answer.headers
            ]
            fields["body"] = base64.b64encode(self.answer.body).decode()
        return json.dumps(fields).encode()

    @classmethod
    def from_bytes(cls, content: bytes) -> "Claim | None":
        """Return the claim decoded from its stored form, None if it is malformed."""
        try:
            fields = load_object(content, "the claim")
            answer = None
            if "status" in fields:
                answer = StoredAnswer(
                    get_integer(fields, "status"),
                    tuple(
                        (name.encode("latin-1"), value.encode("latin-1"))
                        for name, value in fields["headers"]
                    ),
                    base64.b64decode(fields["body"]),
                )
            return cls(
                ClaimState(fields["state"]),
                get_integer(fields, "digest", maximum=UINT64_MAX),
                get_name(fields, "instance"),
                get_integer(fields, "incarnation"),
                get_integer(fields, "nonce", maximum=UINT64_MAX),
                answer,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            return None


@attrs.frozen
class ClaimResult:
    """Verdict on a claim, with the stored answer for `DONE`."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class ClaimOutcome(enum.Enum):
    """How a claimed request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


def parse_uuid7_time_ms(key: str) -> int | None:
    """Return the Unix time in milliseconds in a UUIDv7, None for any other text."""
    if len(key) != UUID_TEXT_LENGTH:
        return None
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION or str(value) != key.lower():
        return None
    return value.int >> TIMESTAMP_SHIFT_BITS


def compute_request_digest(req: CallerRequest) -> int:
    """Return a 64-bit hash of method, path, query and body."""
    digest = xxhash.xxh3_64()
    for part in (req.method, req.path, req.query or ""):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(req.body)
    return digest.intdigest()
