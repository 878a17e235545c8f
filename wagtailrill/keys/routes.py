"""Builds the routes of a service, and converts them to messages and back.

Used by `KeyOwnership`.
"""

from collections.abc import Iterable
from typing import Final

from .messages import KeyRoutesUpdate
from .models import KeyRoutes, KeyTable, SegmentRow, SegmentState

ROUTED_STATES: Final = frozenset({SegmentState.SERVING})


def build_routes(table: KeyTable) -> KeyRoutes:
    """Return the routes of a stored table, which are older than any granter's."""
    return KeyRoutes(
        tuple(segment.first for segment in table.segments),
        tuple(segment.owner for segment in table.segments),
        table.duty_fence,
        0,
    )


def merge_segments(
    rows: Iterable[SegmentRow],
) -> tuple[tuple[int, ...], tuple[str, ...]]:
    """Return starts and owners of routes; segments in a row of one owner are merged."""
    starts: list[int] = []
    owners: list[str] = []
    for row in rows:
        owner = row.segment.owner if row.state in ROUTED_STATES else ""
        if not owners or owners[-1] != owner:
            starts.append(row.segment.first)
            owners.append(owner)
    return tuple(starts), tuple(owners)


def build_update(service: str, routes: KeyRoutes) -> KeyRoutesUpdate:
    """Return the message that tells others the routes; each owner is named once."""
    names = sorted(set(routes.owners))
    indexes = {name: number for number, name in enumerate(names)}
    return KeyRoutesUpdate(
        service,
        routes.duty_fence,
        routes.sequence,
        routes.starts,
        tuple(indexes[owner] for owner in routes.owners),
        tuple(names),
    )


def read_update(update: KeyRoutesUpdate) -> KeyRoutes | None:
    """Return the routes of a message, None if it is malformed."""
    names = update.names
    owners = tuple(names[i] if i < len(names) else "" for i in update.owners)
    is_valid = update.starts and update.starts[0] == 0
    if not is_valid or len(owners) != len(update.starts):
        return None
    return KeyRoutes(update.starts, owners, update.duty_fence, update.sequence)
