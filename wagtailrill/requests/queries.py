"""Builds what the pipeline asks placement for."""

from ..costs.models import NO_KEY_POSITION, RequestTraits
from ..declaration.models import Route
from ..placement.models import PlacementQuery
from .models import RequestRow


def build_placement_query(
    row: RequestRow, now_s: float, extra: bool = False
) -> PlacementQuery:
    """Return the query for a server for a request; `extra` is set for a hedge."""
    return PlacementQuery(
        service=row.service.name,
        keyed=row.service.keyed,
        key_position=row.key_position,
        priority=row.priority,
        waited_s=now_s - row.arrived_s,
        target_s=row.route.target_s,
        left_s=row.deadline_s - now_s,
        excluded=row.tried_servers,
        extra=extra,
        traits=build_traits(row),
    )


def build_traits(row: RequestRow) -> RequestTraits:
    """Return what is known of the cost of a request before it runs."""
    position = row.key_position if row.service.keyed else None
    return RequestTraits(
        get_route_name(row.route),
        row.route.idempotent,
        len(row.req.body),
        NO_KEY_POSITION if position is None else position,
    )


def get_route_name(route: Route) -> str:
    """Return what identifies a route within its service."""
    return route.name or f"{route.host} {route.method} {route.path}"
