"""JSON text of the services declaration."""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs

from .models import BackendServerEntry, BackendServerState, Declaration, Service


def to_json(declaration: Declaration, indent: int | None = None) -> str:
    """Return the text of a declaration; equal declarations give equal texts.

    Without `indent` the text is compact, as it is stored. The most frequent number
    of slots and connections of a service becomes its default.
    """
    document = {
        "deployment": declaration.deployment,
        "data_centres": [attrs.asdict(d) for d in declaration.data_centres],
        "services": [_service(s) for s in declaration.services],
        "organisations": [attrs.asdict(o) for o in declaration.organisations],
    }
    separators = (",", ":") if indent is None else None
    return json.dumps(document, indent=indent, separators=separators)


def _service(service: Service) -> dict[str, Any]:
    servers = service.backend_servers
    defaults: dict[str, Any] = {"state": BackendServerState.IN}
    if servers:
        defaults["slots"] = _most_common(b.slots for b in servers)
        defaults["connections"] = _most_common(b.connections for b in servers)
    document = attrs.asdict(service)
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
