"""JSON text of the services declaration."""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

import attrs

from .models import BackendServerEntry, BackendServerState, Declaration, Service

# Fields that earlier versions do not know; they read texts that do not use them.
_WRITTEN_IF_USED: Final = frozenset(
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
    """Return the text of a declaration; equal declarations give equal texts.

    Without `indent` the text is compact, as it is stored. The most frequent number
    of slots and connections of a service becomes its default.
    """
    document: dict[str, Any] = {
        "deployment": declaration.deployment,
        "data_centres": [_fields(d) for d in declaration.data_centres],
        "services": [_service(s) for s in declaration.services],
        "organisations": [_fields(o) for o in declaration.organisations],
    }
    if declaration.caller_limits is not None:
        document["caller_limits"] = _fields(declaration.caller_limits)
    separators = (",", ":") if indent is None else None
    return json.dumps(document, indent=indent, separators=separators)


def _fields(entry: Any) -> dict[str, Any]:
    """Return the fields of an entry; those of a later version only if they are used."""
    return attrs.asdict(entry, filter=_is_written)


def _is_written(field: "attrs.Attribute[Any]", value: Any) -> bool:
    return field.name not in _WRITTEN_IF_USED or value != field.default


def _service(service: Service) -> dict[str, Any]:
    servers = service.backend_servers
    defaults: dict[str, Any] = {"state": BackendServerState.IN}
    if servers:
        defaults["slots"] = _most_common(b.slots for b in servers)
        defaults["connections"] = _most_common(b.connections for b in servers)
    document = _fields(service)
    document["backend_servers"] = [_backend_server(b, defaults) for b in servers]
    del defaults["state"]
    return {"name": document.pop("name"), **defaults, **document}


def _backend_server(
    server: BackendServerEntry, defaults: dict[str, Any]
) -> dict[str, Any]:
    fields = attrs.asdict(server)
    return {n: v for n, v in fields.items() if n not in defaults or v != defaults[n]}


def _most_common(values: Iterable[int]) -> int:
    counts = Counter(values)
    return max(counts, key=lambda value: (counts[value], value))
