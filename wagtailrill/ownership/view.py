"""The cell table, indexed for routing and for grants."""

import attrs

from ..core.backend import SlotEpoch
from ..membership.table import CellTable, ServiceSlots, SlotOwner, SlotState
from .keys import hot_slot, slot_of


@attrs.define
class ServiceView:
    """Owners of a service's key slots and hot keys at one table version.

    The fence is the highest epoch of the service. Epochs of a service come from one
    rising counter, so every change of an owner raises the fence.
    """

    service: str
    owners: tuple[SlotOwner, ...]
    hot: dict[int, SlotOwner]
    fence: int
    grants: dict[str, tuple[SlotEpoch, ...]]

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

    def granted_to(self, backend_server: str) -> tuple[SlotEpoch, ...]:
        """Return the slots that a backend server may serve."""
        return self.grants.get(backend_server, ())


def _service_view(slots: ServiceSlots, hot: dict[int, SlotOwner]) -> ServiceView:
    view = ServiceView(slots.service, slots.owners, hot, 0, {})
    grants: dict[str, list[SlotEpoch]] = {}
    for number, owner in view.numbered():
        view.fence = max(view.fence, owner.epoch)
        if owner.state is SlotState.SERVING and owner.backend_server:
            grant = SlotEpoch(number, owner.epoch)
            grants.setdefault(owner.backend_server, []).append(grant)
    view.grants = {name: tuple(slots) for name, slots in grants.items()}
    return view


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
                s.service: _service_view(s, hot.get(s.service, {}))
                for s in table.key_slots
            },
        )
