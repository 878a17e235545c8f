"""Builds the message that tells a dispatcher of the end of a request."""

from ..core.request_models import AttemptOutcome, AttemptResult
from .messages import NO_REPORT, PlaceEnd


def build_end(
    number: int,
    service: str,
    backend_server: str,
    result: AttemptResult | None,
    expected_work_s: float = 0.0,
) -> PlaceEnd:
    """Return the message for a result, None for a request that was cancelled.

    `expected_work_s` is the median work that was expected of the request.
    """
    load = result.load if result is not None else None
    outcome = result.outcome if result is not None else AttemptOutcome.CANCELLED
    if outcome is AttemptOutcome.NO_MEMORY:
        # It says nothing about the server, and older instances do not know it.
        outcome = AttemptOutcome.CANCELLED
    return PlaceEnd(
        number=number,
        service=service,
        backend_server=backend_server,
        outcome=outcome.value,
        latency_s=result.latency_s if result is not None else 0.0,
        running=load.running if load is not None else NO_REPORT,
        waiting=load.waiting if load is not None else NO_REPORT,
        slowness=load.slowness if load is not None else 1.0,
        pause_s=result.notice.pause_s if result is not None else 0.0,
        response_bytes=len(result.body) if result is not None else 0,
        expected_work_s=expected_work_s,
    )
