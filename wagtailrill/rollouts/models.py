"""Models of roll-outs: orders, the durable record, settings."""

import enum
import json
from typing import Final, Protocol

import attrs
from expression import Error, Ok, Result

from ..core.json_fields import (
    get_integer,
    get_number,
    get_text,
    load_object,
    parse_list,
    parse_text,
)
from ..store.models import Item
from ..store.revision import get_era

VERSIONS_MAX: Final = 64
TIME_MAX_S: Final = 1e11


class Phase(enum.StrEnum):
    """How far a service's latest order is."""

    SETTLED = "settled"  # there has been no order yet
    CANARY = "canary"  # a share of the requests goes to the target
    PROMOTING = "promoting"  # new requests go to the target, old ones end
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


RUNNING_PHASES: Final = frozenset({Phase.CANARY, Phase.PROMOTING})


@attrs.frozen
class RolloutSettings:
    """Bounds of roll-outs, and whether versions are restricted at all.

    A bad version gets at most `expose_share` of the requests of its service, plus
    `expose_slack` requests, and none later than `rollback_s` seconds after its 50th bad
    answer. The intervals in `const` keep the last promise; it is not read here.
    """

    enabled: bool = False
    expose_share: float = 0.1
    expose_slack: float = 50.0
    rollback_s: float = 5.0


@attrs.frozen
class RolloutOrder:
    """An operator's order; `revision` is that of its key, `digest` of its value."""

    target: str
    duration_s: float
    revision: int
    digest: str


@attrs.frozen
class RolloutRecord:
    """What has been decided for a service, as all instances know it.

    `serial` rises with each decision. `allowed` are the versions that may serve apart
    from a running order. `started_unix_s` is when the order was first seen.
    """

    serial: int
    phase: Phase
    allowed: tuple[str, ...]
    target: str = ""
    order_revision: int = 0
    order_digest: str = ""
    started_unix_s: float = 0.0

    @property
    def is_running(self) -> bool:
        """Return whether the order is neither complete nor rolled back."""
        return self.phase in RUNNING_PHASES

    def is_about(self, order: RolloutOrder) -> bool:
        """Return whether the record is about an order.

        An operator who writes an order again after a restore of the store does not
        order it a second time.
        """
        if self.order_revision == order.revision:
            return True
        is_written_again = get_era(order.revision) > get_era(self.order_revision) > 0
        return is_written_again and self.order_digest == order.digest

    def to_bytes(self) -> bytes:
        """Return the stored value."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> "Result[RolloutRecord, str]":
        """Return the record of a stored value, or the reason why it is invalid."""
        try:
            fields = load_object(value, "the record")
            allowed = parse_list(fields.get("allowed"), "allowed")[:VERSIONS_MAX]
            return Ok(
                cls(
                    get_integer(fields, "serial"),
                    Phase(get_text(fields, "phase")),
                    tuple(_parse_optional_text(version) for version in allowed),
                    _parse_optional_text(fields.get("target")),
                    get_integer(fields, "order_revision"),
                    _parse_optional_text(fields.get("order_digest")),
                    get_number(fields, "started_unix_s", TIME_MAX_S),
                )
            )
        except ValueError as exc:  # a malformed field or an unknown phase
            return Error(str(exc))


def _parse_optional_text(value: object) -> str:
    return "" if value == "" else parse_text(value, "a text")


class RolloutDialect(Protocol):
    """Locates orders and statuses in the store, and translates them."""

    def get_order_key(self, service: str) -> str:
        """Return the store key of a service's order."""
        ...

    def decode_order(self, item: Item, service: str) -> Result[RolloutOrder, str]:
        """Return an order, or the reason why it is invalid."""
        ...

    def get_status_key(self, service: str) -> str:
        """Return the store key of a service's status."""
        ...

    def encode_status(self, phase: Phase, target: str) -> bytes:
        """Return the value of a status."""
        ...
