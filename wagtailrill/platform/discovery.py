"""Entries by which backend servers announce themselves."""

import json
from typing import Any

from expression import Error, Ok, Result

from ..servers.models import ServerEntry, ServerState
from ..store.models import Item
from . import wire
from .units import WireError, mapping, seconds, text, whole

_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


class PlatformServerEntries:
    """Decodes the entries of backend servers; others may write there, too."""

    def decode(self, item: Item) -> Result[ServerEntry, str]:
        """Return the entry, or why it names no server to use."""
        try:
            fields = mapping(json.loads(item.value), "the entry")
            return Ok(_entry(item, fields))
        except (ValueError, RecursionError) as exc:  # includes WireError
            return Error(str(exc) or type(exc).__name__)


def _entry(item: Item, fields: Any) -> ServerEntry:
    name = item.key.removeprefix(wire.SERVER_PREFIX)
    state = text(fields, "state")
    if state not in _STATES:
        raise WireError(f"state {state!r:.40} is unknown")
    # Unix milliseconds of the start: a server may start again under its name.
    born_ms = whole(fields, "born") if "born" in fields else 0
    return ServerEntry(
        name=name,
        service=text(fields, "service"),
        address=_address(text(fields, "address")),
        data_centre=text(fields, "zone"),
        slots=whole(fields, "slots", 1),
        connections_max=0,
        state=_STATES[state],
        start_id=f"{name}/{born_ms}",
        cold_left_s=(
            seconds(fields["warmup_left"], "warmup_left")
            if "warmup_left" in fields
            else 0.0
        ),
        revision=item.revision,
    )


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise WireError(f"address {value!r:.40} is not IP:port")
    return value
