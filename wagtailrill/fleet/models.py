"""Models of members and duty holders, and their values in the store."""

import contextlib
import json
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

import attrs
import xxhash

from ..core.json_fields import (
    FieldError,
    get_integer,
    get_name,
    get_number,
    load_object,
    parse_integer,
    parse_list,
    parse_name,
)
from ..declaration.check import is_address
from ..store.models import Item
from ..store.revision import ERA_MAX, FIRST_ERA, get_era

MEMBERS_PREFIX = "members/"
DUTIES_PREFIX = "duties/"
EARLIER_HOLDERS_PREFIX = "earlier-holders/"
SECRET_NAME = "secret"
# That of a machine which does not name one.
DEFAULT_CAPACITY = 1.0
CAPACITY_MIN = 0.01
CAPACITY_MAX = 1_000.0


@attrs.frozen
class FleetSettings:
    """Key prefix of the fleet in the store, and the peer address of this instance.

    `capacity` is how much work of duties its machine bears, relative to the others.
    """

    prefix: str
    peer_address: str
    capacity: float = DEFAULT_CAPACITY


@attrs.frozen
class Member:
    """One process of the deployment; `address` receives peer messages.

    `store_era` is the era of the store in which it registered, None if unknown.
    `configuration_version` is the number of the newest version that it knew then, 0
    without one. Duties are divided in proportion to `capacity`.
    """

    instance: str
    incarnation: int
    address: str
    data_centre: str
    store_era: int | None = attrs.field(default=None, eq=False)
    configuration_version: int = attrs.field(default=0, eq=False)
    capacity: float = attrs.field(default=DEFAULT_CAPACITY, eq=False)

    def to_bytes(self) -> bytes:
        """Return the stored value of the member's key."""
        return json.dumps(attrs.asdict(self)).encode()


@attrs.frozen
class HolderTerm:
    """The time for which a process holds a duty under one fencing token."""

    instance: str
    incarnation: int
    fence: int


@attrs.frozen
class DutyHolder:
    """The process that holds a duty.

    `fence` is the fencing token, which rises with each change of holder. `era` is that
    of the store in which the holder's entry was written.
    """

    instance: str
    incarnation: int
    fence: int
    era: int = FIRST_ERA

    @property
    def is_outdated(self) -> bool:
        """Return whether the entry is from the copy from which the store was restored.

        Later holders may have been lost with what the store wrote since.
        """
        return self.era < get_era(self.fence)

    @property
    def term(self) -> HolderTerm:
        """Return the holder's term."""
        return HolderTerm(self.instance, self.incarnation, self.fence)

    def to_bytes(self) -> bytes:
        """Return the stored value of the duty's key."""
        fields = {
            "instance": self.instance,
            "incarnation": self.incarnation,
            "era": self.era,
        }
        return json.dumps(fields).encode()


# Stored as the holder of a duty that was released.
RESIGNED_HOLDER = DutyHolder("", 0, 0)


def read_member(item: Item) -> Member | None:
    """Return the member stored in an item, None if the value is malformed."""
    try:
        fields = load_object(item.value, "the member")
        era = fields.get("store_era")
        address = get_name(fields, "address")
        if not is_address(address):
            return None
        return Member(
            get_name(fields, "instance"),
            get_integer(fields, "incarnation"),
            address,
            get_name(fields, "data_centre"),
            None if era is None else parse_integer(era, "store_era", maximum=ERA_MAX),
            parse_integer(
                fields.get("configuration_version", 0), "configuration_version"
            ),
            _read_capacity(fields),
        )
    except FieldError:
        return None


def _read_capacity(fields: Mapping[str, Any]) -> float:
    """Return the capacity of a member, which those of earlier releases do not name."""
    if "capacity" not in fields:
        return DEFAULT_CAPACITY
    return min(max(get_number(fields, "capacity"), CAPACITY_MIN), CAPACITY_MAX)


def read_holder(item: Item) -> DutyHolder | None:
    """Return the duty holder stored in an item, None if the value is malformed."""
    try:
        fields = load_object(item.value, "the holder")
        # A duty that was released has no holder: the name is empty.
        instance = fields.get("instance")
        return DutyHolder(
            parse_name(instance, "instance") if instance != "" else "",
            get_integer(fields, "incarnation"),
            item.revision,
            parse_integer(fields.get("era", FIRST_ERA), "era", maximum=ERA_MAX),
        )
    except FieldError:
        return None


def format_earlier_holders(terms: Iterable[HolderTerm]) -> bytes:
    """Return the stored list of earlier holders."""
    return json.dumps({"terms": [attrs.astuple(term) for term in terms]}).encode()


def read_earlier_holders(item: Item) -> tuple[HolderTerm, ...]:
    """Return the stored list of earlier holders, without malformed entries."""
    try:
        rows = parse_list(load_object(item.value, "the list").get("terms"), "terms")
    except FieldError:
        return ()
    terms = []
    for row in rows:
        with contextlib.suppress(FieldError, ValueError):
            instance, incarnation, fence = parse_list(row, "a term")
            terms.append(
                HolderTerm(
                    parse_name(instance, "instance"),
                    parse_integer(incarnation, "incarnation"),
                    parse_integer(fence, "fence"),
                )
            )
    return tuple(terms)


def hash_rank(name: str, instance: str) -> int:
    """Return the hash that orders instances for a name (rendezvous hashing)."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())


class DutyListener(Protocol):
    """Does the work of a duty while this instance holds it."""

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Begin the work; a predecessor may still act for `predecessor_may_act_s`."""
        ...

    def on_predecessor_stopped(self, duty: str) -> None:
        """Note that the predecessor no longer acts."""
        ...

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Wait again: a predecessor acts that was taken for stopped."""
        ...

    def on_duty_lost(self, duty: str) -> None:
        """Stop the work at once."""
        ...
