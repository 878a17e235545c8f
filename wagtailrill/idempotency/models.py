"""Models of claims on idempotency keys."""

import enum
from collections.abc import Callable
from typing import Final

import attrs

from ..core.const import (
    CALLER_CLOCK_SKEW_S,
    IDEMPOTENCY_RETENTION_S,
    STORED_ANSWER_MAX_BYTES,
)
from .messages import HeaderField


class Verdict(enum.StrEnum):
    """Answer of the home to a claim."""

    NEW = "new"  # the claimant may send the request, once
    IN_PROGRESS = "in_progress"
    DONE = "done"  # the stored answer comes with the verdict
    UNKNOWN = "unknown"  # it may have run; nobody can tell
    NOT_KEPT = "not_kept"  # it ran; the answer was too large to keep
    REUSED = "reused"  # the key came with another request before
    EXPIRED = "expired"
    FUTURE = "future"  # the caller's clock is ahead
    NOT_HOME = "not_home"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"  # the home did not answer


class Outcome(enum.StrEnum):
    """How a claimed request ended at its claimant."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


VERDICTS: Final = {verdict.value: verdict for verdict in Verdict}
OUTCOMES: Final = {outcome.value: outcome for outcome in Outcome}


@attrs.frozen
class ClaimKey:
    """Identifies a request across deliveries."""

    organisation: str
    service: str
    key: str


@attrs.frozen
class StoredAnswer:
    """An answer kept for repeats."""

    status: int = 0
    headers: tuple[HeaderField, ...] = ()
    body: bytes = b""


@attrs.frozen
class ClaimResult:
    """Verdict on a claim, with the stored answer for `DONE`."""

    verdict: Verdict
    answer: StoredAnswer = StoredAnswer()


ClaimCallback = Callable[[ClaimResult], None]


@attrs.frozen
class IdempotencySettings:
    """Durations in seconds and sizes in bytes."""

    retention_s: float = IDEMPOTENCY_RETENTION_S
    caller_clock_skew_s: float = CALLER_CLOCK_SKEW_S
    stored_answer_max_bytes: int = STORED_ANSWER_MAX_BYTES
