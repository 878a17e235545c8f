"""Decodes the store entries with which backend servers register on the platform."""

from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result

from ..core.json_fields import (
    FieldError,
    get_integer,
    get_name,
    load_object,
    parse_name,
)
from ..declaration.check import is_address
from ..servers.models import SLOTS_MAX, ServerEntry, ServerState
from ..store.models import Item
from . import wire
from .units import parse_duration_s

_STATE_BY_NAME = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


class PlatformEntryDecoder:
    """Implements `EntryDecoder`; entries are untrusted, as others may write them."""

    def decode(self, item: Item) -> Result[ServerEntry, str]:
        """Return the entry, or the reason why it is invalid."""
        try:
            return Ok(_parse_entry(item, load_object(item.value, "the entry")))
        except FieldError as exc:
            return Error(str(exc))


def _parse_entry(item: Item, fields: Mapping[str, Any]) -> ServerEntry:
    name = parse_name(item.key.removeprefix(wire.SERVER_PREFIX), "the server's id")
    state = get_name(fields, "state")
    if state not in _STATE_BY_NAME:
        raise FieldError(f"state {state!r:.40} is unknown")
    # Start time in Unix milliseconds: a restarted server may keep its name. An entry
    # without it, or without the number of its write, is not from the server itself and
    # cannot be put in order with those that are.
    started_unix_ms = get_integer(fields, "born")
    return ServerEntry(
        name=name,
        service=get_name(fields, "service"),
        address=_parse_address(get_name(fields, "address")),
        data_centre=get_name(fields, "zone"),
        slots=get_integer(fields, "slots", 1, SLOTS_MAX),
        connections_max=0,
        state=_STATE_BY_NAME[state],
        start_id=f"{name}/{started_unix_ms}",
        cold_left_s=(
            parse_duration_s(fields["warmup_left"], "warmup_left")
            if "warmup_left" in fields
            else 0.0
        ),
        revision=item.revision,
        sequence=get_integer(fields, "seq"),
        # A service without roll-outs needs none.
        version=get_name(fields, "version") if fields.get("version") else "",
    )


def _parse_address(value: str) -> str:
    if not is_address(value):
        raise FieldError(f"address {value!r:.40} is not IP:port")
    return value
