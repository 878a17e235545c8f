"""Changes of the cell table: first assignment, moves and hot keys."""

from collections.abc import Iterable, Mapping

import attrs

from ..membership.table import CellTable, HotKey, ServiceSlots, SlotOwner, SlotState
from .keys import hash_of_hot_slot, is_hot_slot, slot_of
from .view import TableView


def next_epoch(table: CellTable, service: str) -> int:
    """Return an epoch above all epochs of a service."""
    epochs = [k.owner.epoch for k in table.hot_keys if k.service == service]
    for slots in table.key_slots:
        if slots.service == service:
            epochs.extend(owner.epoch for owner in slots.owners)
    return max(epochs, default=0) + 1


def assign_first(table: CellTable, service: str, owners: Iterable[str]) -> CellTable:
    """Add a service; nobody served it before, so its owners may serve at once."""
    if any(s.service == service for s in table.key_slots):
        return table
    slots = ServiceSlots(service, tuple(SlotOwner(name, 1) for name in owners))
    return attrs.evolve(table, key_slots=(*table.key_slots, slots))


def _moving(owner: SlotOwner, target: str, epoch: int) -> SlotOwner:
    moving = owner.state is SlotState.MOVING
    previous = owner.previous if moving else owner.backend_server
    return SlotOwner(target, epoch, SlotState.MOVING, previous)


def replace_owners(
    table: CellTable, service: str, owners: Mapping[int, SlotOwner]
) -> CellTable:
    """Replace the owners of some key slots and hot keys of a service."""
    key_slots = tuple(
        attrs.evolve(
            s, owners=tuple(owners.get(n, owner) for n, owner in enumerate(s.owners))
        )
        if s.service == service
        else s
        for s in table.key_slots
    )
    hot = {hash_of_hot_slot(n): o for n, o in owners.items() if is_hot_slot(n)}
    hot_keys = tuple(
        attrs.evolve(k, owner=hot.get(k.key_hash, k.owner))
        if k.service == service
        else k
        for k in table.hot_keys
    )
    return attrs.evolve(table, key_slots=key_slots, hot_keys=hot_keys)


def _owners(table: CellTable, service: str) -> dict[int, SlotOwner]:
    view = TableView.of(table, 0).services.get(service)
    return dict(view.numbered()) if view else {}


def begin_moves(
    table: CellTable, service: str, targets: Mapping[int, str]
) -> CellTable:
    """Start moves of slots to new owners under a new epoch."""
    owners = _owners(table, service)
    epoch = next_epoch(table, service)
    moving = {
        number: _moving(owners[number], target, epoch)
        for number, target in targets.items()
        if number in owners
    }
    return replace_owners(table, service, moving) if moving else table


def complete_moves(
    table: CellTable, service: str, epochs: Mapping[int, int]
) -> CellTable:
    """End the moves that still have the epoch for which they were found ready."""
    owners = _owners(table, service)
    done = {
        number: SlotOwner(owners[number].backend_server, epoch)
        for number, epoch in epochs.items()
        if number in owners
        and owners[number].state is SlotState.MOVING
        and owners[number].epoch == epoch
    }
    return replace_owners(table, service, done) if done else table


def promote(
    table: CellTable, service: str, targets: Mapping[int, str], hot_keys_max: int
) -> CellTable:
    """Give hot keys, by hash, owners of their own; keys of a moving slot wait.

    Their slots stay where they are but get the new epoch, so that the previous owner
    refuses a late order for the key that was sent for its slot.
    """
    owners = _owners(table, service)
    epoch = next_epoch(table, service)
    known = {k.key_hash for k in table.hot_keys if k.service == service}
    added = [
        HotKey(service, hashed, _moving(owners[slot_of(hashed)], target, epoch))
        for hashed, target in targets.items()
        if hashed not in known
        and slot_of(hashed) in owners
        and owners[slot_of(hashed)].state is SlotState.SERVING
    ]
    added = added[: max(hot_keys_max - len(table.hot_keys), 0)]
    slots = {slot_of(key.key_hash) for key in added}
    raised = {slot: attrs.evolve(owners[slot], epoch=epoch) for slot in slots}
    promoted = attrs.evolve(table, hot_keys=(*table.hot_keys, *added))
    return replace_owners(promoted, service, raised) if added else table


def demote(table: CellTable, service: str, hashes: Iterable[int]) -> CellTable:
    """Remove hot keys whose owner is the owner of their slot.

    The slot gets a new epoch, so that neither the fence nor the key's epoch falls.
    """
    owners = _owners(table, service)
    epoch = next_epoch(table, service)
    removed: set[int] = set()
    raised: dict[int, SlotOwner] = {}
    for hashed in hashes:
        hot = [
            k for k in table.hot_keys if (k.service, k.key_hash) == (service, hashed)
        ]
        slot = slot_of(hashed)
        if not hot or not _same_serving_owner(hot[0].owner, owners[slot]):
            continue
        removed.add(hashed)
        raised[slot] = SlotOwner(owners[slot].backend_server, epoch)
    kept = tuple(
        k for k in table.hot_keys if k.service != service or k.key_hash not in removed
    )
    if not removed:
        return table
    return replace_owners(attrs.evolve(table, hot_keys=kept), service, raised)


def _same_serving_owner(one: SlotOwner, other: SlotOwner) -> bool:
    both_serving = one.state is SlotState.SERVING and other.state is SlotState.SERVING
    return both_serving and one.backend_server == other.backend_server
