"""Translates roll-out orders and statuses between the platform's store and wagtailrill.

Used by the assembly of the process.
"""

import json
from typing import Final

import xxhash
from expression import Error, Ok, Result

from ..core.json_fields import FieldError, get_name, load_object
from ..rollouts.models import Phase, RolloutOrder
from ..store.models import Item
from . import wire
from .units import parse_duration_s

_STATE_BY_PHASE: Final = {
    Phase.CANARY: "running",
    Phase.PROMOTING: "running",
    Phase.COMPLETE: "complete",
    Phase.ROLLED_BACK: "rolled_back",
}


class PlatformRolloutDialect:
    """Implements `RolloutDialect` for the store keys of the platform."""

    def get_order_key(self, service: str) -> str:
        """Return the store key of a service's order."""
        return wire.ROLLOUT_PREFIX + service

    def decode_order(self, item: Item, service: str) -> Result[RolloutOrder, str]:
        """Return an order, or the reason why it is invalid."""
        try:
            fields = load_object(item.value, "the order")
            if "service" in fields and get_name(fields, "service") != service:
                raise FieldError("the order is about another service")
            duration_s = parse_duration_s(fields.get("duration"), "duration")
            if duration_s <= 0.0:
                raise FieldError("duration is 0")
            return Ok(
                RolloutOrder(
                    get_name(fields, "target"),
                    duration_s,
                    item.revision,
                    f"{xxhash.xxh3_64_intdigest(item.value):x}",
                )
            )
        except FieldError as exc:
            return Error(str(exc))

    def get_status_key(self, service: str) -> str:
        """Return the store key of a service's status."""
        return wire.ROLLOUT_STATUS_PREFIX + service

    def encode_status(self, phase: Phase, target: str) -> bytes:
        """Return the value of a status."""
        fields = {"state": _STATE_BY_PHASE[phase], "target": target}
        return json.dumps(fields).encode()
