"""Models of instances and duties."""

import json
from typing import Any, Protocol

import attrs
import xxhash

from ..store.models import Item

MEMBERS = "members/"
DUTIES = "duties/"
SECRET = "secret"


@attrs.frozen
class FleetSettings:
    """Prefix of the fleet's keys in the store and this instance's peer address."""

    prefix: str
    peer_address: str


@attrs.frozen
class Member:
    """One process of the deployment; `address` takes peer messages."""

    instance: str
    incarnation: int
    address: str
    data_centre: str

    def to_bytes(self) -> bytes:
        """Return the value of the member's key."""
        return json.dumps(attrs.asdict(self)).encode()


@attrs.frozen
class DutyHolder:
    """The process that has a duty; `fence` rises with each change of holder."""

    instance: str
    incarnation: int
    fence: int

    def to_bytes(self) -> bytes:
        """Return the value of the duty's key."""
        fields = {"instance": self.instance, "incarnation": self.incarnation}
        return json.dumps(fields).encode()


# Named as the holder of a duty that was given up.
RESIGNED = DutyHolder("", 0, 0)


def read_member(item: Item) -> Member | None:
    """Return the member of a key, None if the value is malformed."""
    fields = _fields(item)
    try:
        return Member(
            str(fields["instance"]),
            int(fields["incarnation"]),
            str(fields["address"]),
            str(fields["data_centre"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def read_holder(item: Item) -> DutyHolder | None:
    """Return the holder that a duty's key names, None if the value is malformed."""
    fields = _fields(item)
    try:
        return DutyHolder(
            str(fields["instance"]), int(fields["incarnation"]), item.revision
        )
    except (KeyError, TypeError, ValueError):
        return None


def _fields(item: Item) -> dict[str, Any]:
    try:
        fields = json.loads(item.value)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def rank_of(name: str, instance: str) -> int:
    """Return a hash by which instances are ordered for a name (rendezvous hashing)."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())


class DutyListener(Protocol):
    """Does the work of a duty."""

    def duty_taken(self, duty: str, fence: int, predecessor_may_act_s: float) -> None:
        """Begin; a predecessor may still act for so many seconds."""
        ...

    def predecessor_stopped(self, duty: str) -> None:
        """Learn that the predecessor does not act any more."""
        ...

    def duty_lost(self, duty: str) -> None:
        """Stop at once."""
        ...
