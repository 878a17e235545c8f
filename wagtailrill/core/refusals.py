"""Error answers to callers, as listed in docs/design.md."""

import enum
from typing import Final

import attrs


class MayHaveRun(enum.StrEnum):
    """Whether a backend server may have run the request."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Machine-readable code of an error answer."""

    BAD_REQUEST = "bad_request"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    TENANT_KEY_MISSING = "tenant_key_missing"
    TENANT_KEY_INVALID = "tenant_key_invalid"
    ROUTE_UNKNOWN = "route_unknown"
    REQUEST_TOO_LARGE = "request_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TOO_SLOW = "request_too_slow"
    RATE_LIMITED = "rate_limited"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REQUEST_CRASHES_SERVERS = "request_crashes_servers"
    QUEUE_FULL = "queue_full"
    MEMORY_FULL = "memory_full"
    NO_BACKEND_SERVER = "no_backend_server"
    KEY_MOVING = "key_moving"
    CUT_OFF = "cut_off"
    DRAINING = "draining"
    BACKEND_LOST = "backend_lost"
    BACKEND_BAD_ANSWER = "backend_bad_answer"
    ANSWER_NOT_KEPT = "answer_not_kept"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL_ERROR = "internal_error"


STATUS_BY_CODE: Final[dict[RefusalCode, int]] = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalCode.IDEMPOTENCY_KEY_INVALID: 400,
    RefusalCode.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalCode.IDEMPOTENCY_KEY_EXPIRED: 409,
    RefusalCode.TENANT_KEY_MISSING: 401,
    RefusalCode.TENANT_KEY_INVALID: 401,
    RefusalCode.ROUTE_UNKNOWN: 404,
    RefusalCode.REQUEST_TOO_LARGE: 413,
    RefusalCode.HEADERS_TOO_LARGE: 431,
    RefusalCode.REQUEST_TOO_SLOW: 408,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.REQUEST_IN_PROGRESS: 409,
    RefusalCode.OUTCOME_UNKNOWN: 409,
    RefusalCode.REQUEST_CRASHES_SERVERS: 503,
    RefusalCode.QUEUE_FULL: 503,
    RefusalCode.MEMORY_FULL: 503,
    RefusalCode.NO_BACKEND_SERVER: 503,
    RefusalCode.KEY_MOVING: 503,
    RefusalCode.CUT_OFF: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.BACKEND_LOST: 502,
    RefusalCode.BACKEND_BAD_ANSWER: 502,
    RefusalCode.ANSWER_NOT_KEPT: 502,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.INTERNAL_ERROR: 500,
}


class KeyFault(enum.StrEnum):
    """What is wrong with the tenant key of a request."""

    MISSING = "missing"
    REPEATED = "repeated"
    TOO_LONG = "too_long"
    MALFORMED = "malformed"
    UNKNOWN_ID = "unknown_id"
    HASH_DIFFERS = "hash_differs"
    SEVERAL_ORGANISATIONS = "several_organisations"
    WITHDRAWN_WHILE_WAITING = "withdrawn_while_waiting"


@attrs.frozen
class KeyFailure:
    """Why a tenant key was not accepted; `key_id` is empty if it could not be read."""

    fault: KeyFault
    key_id: str = ""


@attrs.frozen
class Refusal:
    """An error answer to a caller.

    `may_have_run` says whether the request may have run, `retry_after_s` after how many
    seconds the caller may try again. `key_failure` is for the log only: it would tell
    callers which key ids exist.
    """

    code: RefusalCode
    message: str
    may_have_run: MayHaveRun = MayHaveRun.NO
    retry_after_s: float | None = None
    key_failure: KeyFailure | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return STATUS_BY_CODE[self.code]
