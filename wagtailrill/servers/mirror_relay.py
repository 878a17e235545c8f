"""Converts changes of mirrored store keys to messages between instances, and back.

The relay of entries uses it.
"""

from ..store.mirror import PrefixMirror
from ..store.models import Changes, Item, Removed
from .const import RELAYED_VALUES_MAX_BYTES
from .messages import MirrorRevision, MirrorState, RelayedItem, RelayedRemoval


def describe_revision(mirror: PrefixMirror) -> MirrorRevision:
    """Return up to which revision this instance knows the keys of a mirror."""
    return MirrorRevision(mirror.prefix, mirror.revision)


def describe_mirror(
    mirror: PrefixMirror, known: MirrorRevision | None, now_s: float
) -> MirrorState:
    """Return the state of a mirror, with the changes that an instance lacks.

    `known` is what that instance knows, None if it does not follow changes.
    """
    age_s = now_s - mirror.confirmed_s
    changes = mirror.get_changes(known.revision) if known is not None else None
    if changes is None or _sum_value_bytes(changes) > RELAYED_VALUES_MAX_BYTES:
        return MirrorState(mirror.prefix, mirror.last_change_revision, age_s)
    return MirrorState(
        mirror.prefix,
        mirror.last_change_revision,
        age_s,
        is_relaying=True,
        revision=changes.revision,
        items=tuple(
            RelayedItem(e.key, e.value, e.revision, e.created_revision, e.lease_id)
            for e in changes.events
            if isinstance(e, Item)
        ),
        removals=tuple(
            RelayedRemoval(e.key, e.revision)
            for e in changes.events
            if isinstance(e, Removed)
        ),
    )


def take_state(mirror: PrefixMirror, state: MirrorState) -> None:
    """Bring a mirror up to the state that another instance has described."""
    if state.is_relaying:
        mirror.accept_changes(_read_changes(state))
    mirror.confirm(state.last_change_revision, state.age_s, state.is_relaying)


def _read_changes(state: MirrorState) -> Changes:
    items = (
        Item(i.key, i.value, i.revision, i.created_revision, i.lease_id)
        for i in state.items
    )
    removals = (Removed(r.key, r.revision) for r in state.removals)
    return Changes((*items, *removals), state.revision)


def _sum_value_bytes(changes: Changes) -> int:
    return sum(len(e.value) for e in changes.events if isinstance(e, Item))
