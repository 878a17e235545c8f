"""The cell table: one store document that says who arbitrates and who owns what."""

import enum
import json
from typing import Any

import attrs

from ..partitions.directory import Home, Member


class SlotState(enum.StrEnum):
    """Whether the owner of a key slot may serve it."""

    SERVING = "serving"
    MOVING = "moving"


@attrs.frozen
class SlotOwner:
    """Owner of a key slot since an epoch; an empty name means none."""

    backend_server: str
    epoch: int
    state: SlotState = SlotState.SERVING
    previous: str = ""


@attrs.frozen
class ServiceSlots:
    """Owners of the key slots of a service, by slot number."""

    service: str
    owners: tuple[SlotOwner, ...]


@attrs.frozen
class HotKey:
    """A key, by its hash, that overrides the owner of its slot."""

    service: str
    key_hash: int
    owner: SlotOwner


@attrs.frozen
class CellTable:
    """Contents of the cell table; its version is the store revision.

    `homes` has one entry per partition; a home with an empty instance is none.
    `write_id` is random for each write, so that a writer whose answer was lost can
    tell by reading back whether its write took effect. `joins` has one number per
    member; it rises when the member joins anew after its lease lapsed, so that its
    peers learn of it even if they skip versions. `resigned` says that the store lease
    was given up early, while granted leases still have their full length.
    """

    term: int
    coordinator: Member
    write_id: str
    members: tuple[Member, ...] = ()
    homes: tuple[Home, ...] = ()
    key_slots: tuple[ServiceSlots, ...] = ()
    hot_keys: tuple[HotKey, ...] = ()
    joins: tuple[int, ...] = ()
    resigned: bool = False
    _join_by_member: dict[Member, int] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        joins = dict(zip(self.members, self.joins, strict=False))
        object.__setattr__(self, "_join_by_member", joins)

    def join_of(self, member: Member) -> int:
        """Return the join number of a member, 0 if it is none."""
        return self._join_by_member.get(member, 0)

    def to_bytes(self) -> bytes:
        """Return the document as it is stored."""
        names: dict[str, int] = {}

        def number(name: str) -> int:
            return names.setdefault(name, len(names))

        def owner(value: SlotOwner) -> list[Any]:
            compact: list[Any] = [number(value.backend_server), value.epoch]
            if value.state is SlotState.MOVING:
                compact.append(number(value.previous))
            return compact

        document = {
            "term": self.term,
            "coordinator": attrs.astuple(self.coordinator),
            "write_id": self.write_id,
            "members": [attrs.astuple(m) for m in self.members],
            "joins": self.joins,
            "resigned": self.resigned,
            "homes": [[number(h.instance), h.epoch] for h in self.homes],
            "key_slots": {
                s.service: list(map(owner, s.owners)) for s in self.key_slots
            },
            "hot_keys": [
                [k.service, k.key_hash, owner(k.owner)] for k in self.hot_keys
            ],
        }
        return json.dumps({**document, "names": list(names)}).encode()

    @classmethod
    def from_bytes(cls, document: bytes) -> "CellTable":
        """Return the table; raise `ValueError` for a malformed document."""
        try:
            return cls._from_json(json.loads(document))
        except (KeyError, IndexError, TypeError) as exc:
            raise ValueError("malformed cell table") from exc

    @classmethod
    def _from_json(cls, data: dict[str, Any]) -> "CellTable":
        names: list[str] = data["names"]

        def owner(compact: list[int]) -> SlotOwner:
            name, epoch, *previous = compact
            if not previous:
                return SlotOwner(names[name], epoch)
            return SlotOwner(names[name], epoch, SlotState.MOVING, names[previous[0]])

        return cls(
            term=data["term"],
            coordinator=Member(*data["coordinator"]),
            write_id=data["write_id"],
            members=tuple(Member(*m) for m in data["members"]),
            homes=tuple(Home(names[n], epoch) for n, epoch in data["homes"]),
            key_slots=tuple(
                ServiceSlots(service, tuple(map(owner, owners)))
                for service, owners in data["key_slots"].items()
            ),
            hot_keys=tuple(
                HotKey(service, key_hash, owner(compact))
                for service, key_hash, compact in data["hot_keys"]
            ),
            joins=tuple(data["joins"]),
            resigned=data["resigned"],
        )
