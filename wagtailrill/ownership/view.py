"""The cell table, indexed for routing and for grants."""

import attrs

from ..core.backend import SlotEpoch
from ..membership.table import CellTable, SlotOwner, SlotState
from .keys import hash_of_hot_slot, hot_slot, slot_of


@attrs.define
class ServiceView:
    """Owners of a service's key slots and hot keys at one table version.

    The fence is the highest epoch of the service. Epochs of a service come from one
    rising counter, so every change of an owner raises the fence.
    """

    service: str
    owners: tuple[SlotOwner, ...]
    hot: dict[int, SlotOwner]
    fence: int = 0
    moving: dict[int, SlotOwner] = attrs.field(factory=dict)
    _serving: dict[str, list[int]] = attrs.field(factory=dict)
    _grants: dict[str, tuple[SlotEpoch, ...]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for number, owner in self.numbered():
            if owner.epoch > self.fence:
                self.fence = owner.epoch
            if owner.state is SlotState.MOVING:
                self.moving[number] = owner
            else:
                self._serving.setdefault(owner.backend_server, []).append(number)

    def owner_of(self, hashed: int) -> tuple[int, SlotOwner]:
        """Return the slot number and the owner that apply to a key hash."""
        owner = self.hot.get(hashed)
        if owner is not None:
            return hot_slot(hashed), owner
        slot = slot_of(hashed)
        return slot, self.owners[slot]

    def numbered(self) -> list[tuple[int, SlotOwner]]:
        """Return all key slots and hot keys by number."""
        hot = [(hot_slot(h), owner) for h, owner in self.hot.items()]
        return [*enumerate(self.owners), *hot]

    def owner_names(self) -> set[str]:
        """Return the names of all owners, new ones where slots are moving."""
        moving = {owner.backend_server for owner in self.moving.values()}
        return self._serving.keys() | moving

    def granted_to(self, backend_server: str) -> tuple[SlotEpoch, ...]:
        """Return the slots that a backend server may serve."""
        granted = self._grants.get(backend_server)
        if granted is None:
            owners = self.owners
            granted = tuple(
                SlotEpoch(n, owners[n].epoch)
                if n < len(owners)
                else SlotEpoch(n, self.hot[hash_of_hot_slot(n)].epoch)
                for n in self._serving.get(backend_server, ())
            )
            self._grants[backend_server] = granted
        return granted


@attrs.frozen
class TableView:
    """All services at one table version."""

    version: int = 0
    services: dict[str, ServiceView] = attrs.field(factory=dict)

    @classmethod
    def of(cls, table: CellTable, version: int) -> "TableView":
        """Index a cell table."""
        hot: dict[str, dict[int, SlotOwner]] = {}
        for key in table.hot_keys:
            hot.setdefault(key.service, {})[key.key_hash] = key.owner
        return cls(
            version,
            {
                s.service: ServiceView(s.service, s.owners, hot.get(s.service, {}))
                for s in table.key_slots
            },
        )
