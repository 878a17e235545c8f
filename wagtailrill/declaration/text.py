"""Writes the services declaration as JSON text.

The command-line tool stores and exports declarations in this form.
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

import attrs

from .models import BackendServerEntry, BackendServerState, Declaration, Service

# Earlier versions reject these fields as unknown. They are left out unless they are
# used, so that earlier versions can read declarations that do not need them.
_OMITTED_IF_DEFAULT: Final = frozenset(
    {
        "attempts_max",
        "by_prefix",
        "cold_start",
        "connections_max",
        "health_path",
        "host",
        "priority",
        "split",
        "target_latency_s",
        "transfer_warm_s",
    }
)


def to_json(declaration: Declaration, indent: int | None = None) -> str:
    """Return a declaration as JSON; equal declarations give equal texts.

    Without `indent` the text is compact, as it is stored. The most frequent numbers of
    slots and of connections among a service's backend servers become its defaults.
    """
    document: dict[str, Any] = {
        "deployment": declaration.deployment,
        "data_centres": [_serialise_entry(d) for d in declaration.data_centres],
        "services": [_serialise_service(s) for s in declaration.services],
        "organisations": [_serialise_entry(o) for o in declaration.organisations],
    }
    if declaration.caller_limits is not None:
        document["caller_limits"] = _serialise_entry(declaration.caller_limits)
    separators = (",", ":") if indent is None else None
    return json.dumps(document, indent=indent, separators=separators)


def _serialise_entry(entry: Any) -> dict[str, Any]:
    """Return the fields of an entry without unused ones of later versions."""
    return attrs.asdict(entry, filter=_is_written)


def _is_written(field: "attrs.Attribute[Any]", value: Any) -> bool:
    return field.name not in _OMITTED_IF_DEFAULT or value != field.default


def _serialise_service(service: Service) -> dict[str, Any]:
    servers = service.backend_servers
    defaults: dict[str, Any] = {"state": BackendServerState.IN}
    if servers:
        defaults["slots"] = _find_most_common(b.slots for b in servers)
        defaults["connections"] = _find_most_common(b.connections for b in servers)
    document = _serialise_entry(service)
    document["backend_servers"] = [
        _serialise_backend_server(b, defaults) for b in servers
    ]
    del defaults["state"]
    return {"name": document.pop("name"), **defaults, **document}


def _serialise_backend_server(
    server: BackendServerEntry, defaults: dict[str, Any]
) -> dict[str, Any]:
    fields = attrs.asdict(server)
    return {n: v for n, v in fields.items() if n not in defaults or v != defaults[n]}


def _find_most_common(values: Iterable[int]) -> int:
    counts = Counter(values)
    return max(counts, key=lambda value: (counts[value], value))
