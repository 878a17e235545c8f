"""Carries traits and expected costs of requests in the messages of placement."""

from typing import Final

from ..costs.models import NO_KEY_POSITION, ExpectedCost, RequestTraits
from .messages import NO_KEY, PlaceAnswer, PlaceRequest, PlaceVerdict
from .models import PlacementQuery

# Largest size that the messages carry, in bytes.
MESSAGE_BYTES_MAX: Final = 2**32 - 1


def build_request(
    number: int, query: PlacementQuery, known_cost: ExpectedCost | None
) -> PlaceRequest:
    """Return the message for a query, with the cost that its sender knows, if any."""
    position = NO_KEY
    if query.keyed and query.key_position is not None:
        position = query.key_position
    cost = known_cost or ExpectedCost(0.0)
    return PlaceRequest(
        number=number,
        service=query.service,
        key_position=position,
        priority=query.priority,
        waited_s=query.waited_s,
        target_s=query.target_s,
        left_s=query.left_s,
        excluded=tuple(query.excluded),
        extra=query.extra,
        route=query.traits.route,
        idempotent=query.traits.idempotent,
        body_bytes=min(query.traits.body_bytes, MESSAGE_BYTES_MAX),
        known_work_s=cost.work_s,
        known_spread_s=cost.spread_s,
        known_response_bytes=cost.response_bytes,
        known_certainty=cost.certainty,
    )


def read_traits(request: PlaceRequest) -> RequestTraits:
    """Return the traits of the request in a message."""
    position = request.key_position
    return RequestTraits(
        request.route,
        request.idempotent,
        request.body_bytes,
        NO_KEY_POSITION if position == NO_KEY else position,
    )


def read_known_cost(request: PlaceRequest) -> ExpectedCost | None:
    """Return the cost that the sender of a request knows, None if it tells none."""
    if request.known_certainty <= 0.0:
        return None
    return ExpectedCost(
        request.known_work_s,
        request.known_spread_s,
        request.known_response_bytes,
        request.known_certainty,
    )


def build_placed_answer(
    number: int, backend_server: str, cost: ExpectedCost
) -> PlaceAnswer:
    """Return the answer that assigns a server, and tells the cost of such requests."""
    return PlaceAnswer(
        number,
        PlaceVerdict.PLACED,
        backend_server,
        0.0,
        cost.work_s,
        cost.spread_s,
        cost.response_bytes,
        cost.certainty,
    )


def read_told_cost(answer: PlaceAnswer) -> ExpectedCost | None:
    """Return the cost that a dispatcher tells, None if it tells none."""
    if answer.certainty <= 0.0:
        return None
    return ExpectedCost(
        answer.work_s, answer.spread_s, answer.response_bytes, answer.certainty
    )
