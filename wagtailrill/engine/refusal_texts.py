"""Refusals that the pipeline gives, by cause."""

from typing import Final

from ..core.refusals import Ran, Refusal, RefusalCode
from ..idempotency.models import Verdict

NO_ROUTE: Final = Refusal(
    RefusalCode.ROUTE_UNKNOWN, "No route matches this method and path."
)
NOT_READY: Final = Refusal(
    RefusalCode.CUT_OFF, "This instance has no configuration yet.", retry_after_s=1.0
)
CUT_OFF: Final = Refusal(
    RefusalCode.CUT_OFF,
    "This instance is cut off from its peers; try again through another one.",
    retry_after_s=1.0,
)
DRAINING: Final = Refusal(
    RefusalCode.DRAINING, "This instance is being stopped.", retry_after_s=0.5
)
KEY_REQUIRED: Final = Refusal(
    RefusalCode.IDEMPOTENCY_KEY_REQUIRED,
    "This route needs exactly one Idempotency-Key header with a UUIDv7.",
)
KEY_INVALID: Final = Refusal(
    RefusalCode.IDEMPOTENCY_KEY_INVALID,
    "The Idempotency-Key is not a UUIDv7, or its time is in the future.",
)
CRASHES_SERVERS: Final = Refusal(
    RefusalCode.REQUEST_CRASHES_SERVERS,
    "Backend servers crashed while running this request; it is blocked for a while.",
)
CRASHES_SERVERS_MAY_HAVE_RUN: Final = Refusal(
    RefusalCode.REQUEST_CRASHES_SERVERS,
    "Backend servers crashed while running this request; it is blocked for a while.",
    ran=Ran.UNKNOWN,
)
WITHDRAWN: Final = Refusal(
    RefusalCode.TENANT_KEY_INVALID, "The tenant key was withdrawn."
)


def _conflict(code: RefusalCode, message: str, retry_after_s: float | None) -> Refusal:
    return Refusal(code, message, Ran.UNKNOWN, retry_after_s)


REFUSAL_BY_VERDICT: Final[dict[Verdict, Refusal]] = {
    Verdict.IN_PROGRESS: _conflict(
        RefusalCode.REQUEST_IN_PROGRESS,
        "An earlier delivery with this Idempotency-Key is still running.",
        0.5,
    ),
    Verdict.UNKNOWN: _conflict(
        RefusalCode.OUTCOME_UNKNOWN,
        "An earlier delivery with this Idempotency-Key may have run.",
        None,
    ),
    Verdict.NOT_KEPT: _conflict(
        RefusalCode.OUTCOME_UNKNOWN,
        "An earlier delivery ran; its answer was too large to keep.",
        None,
    ),
    Verdict.EXPIRED: _conflict(
        RefusalCode.IDEMPOTENCY_KEY_EXPIRED,
        "The Idempotency-Key is too old to tell whether it was used.",
        None,
    ),
    Verdict.REUSED: Refusal(
        RefusalCode.IDEMPOTENCY_KEY_REUSED,
        "The Idempotency-Key came with a different request before.",
    ),
    Verdict.FUTURE: KEY_INVALID,
    Verdict.OVERLOADED: Refusal(
        RefusalCode.QUEUE_FULL, "Too many idempotency keys.", retry_after_s=5.0
    ),
    Verdict.UNREACHABLE: _conflict(
        RefusalCode.OUTCOME_UNKNOWN,
        "Nobody can tell now whether an earlier delivery ran; send the same key again.",
        0.5,
    ),
}
