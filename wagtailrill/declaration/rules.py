"""Rules of the services declaration that span several entries."""

from collections.abc import Iterable, Mapping

from ..core.findings import Findings
from .check import UniqueNames
from .models import Declaration, Route, Service


def check_rules(declaration: Declaration, findings: Findings) -> None:
    """Record duplicates, unknown references, cycles and routes that collide.

    Indexes equal those of the JSON text, as the parser keeps every entry.
    """
    _check_names(declaration, findings)
    _check_backend_servers(declaration, findings)
    _check_dependencies(declaration.services, findings)
    _check_routes(declaration.services, findings)


def _check_names(declaration: Declaration, findings: Findings) -> None:
    for kind, field, names in (
        ("data centre", "data_centres", [d.name for d in declaration.data_centres]),
        ("service", "services", [s.name for s in declaration.services]),
        ("organisation", "organisations", [o.name for o in declaration.organisations]),
    ):
        _check_unique(kind, f"$.{field}[{{}}].name", names, findings)
    key_ids = UniqueNames("key id", findings)
    for number, organisation in enumerate(declaration.organisations):
        for index, key in enumerate(organisation.tenant_keys):
            path = f"$.organisations[{number}].tenant_keys[{index}].key_id"
            key_ids.add(key.key_id, path)


def _check_unique(
    kind: str, path: str, names: Iterable[str], findings: Findings
) -> None:
    unique = UniqueNames(kind, findings)
    for index, name in enumerate(names):
        unique.add(name, path.format(index))


def _check_backend_servers(declaration: Declaration, findings: Findings) -> None:
    known = {d.name for d in declaration.data_centres}
    names = UniqueNames("backend server", findings)
    addresses = UniqueNames("address", findings)
    for number, service in enumerate(declaration.services):
        for index, server in enumerate(service.backend_servers):
            path = f"$.services[{number}].backend_servers[{index}]"
            names.add(server.name, f"{path}.name")
            addresses.add(server.address, f"{path}.address")
            if server.data_centre and server.data_centre not in known:
                name = f"{server.data_centre[:64]!a}"
                findings.add(f"{path}.data_centre", f"Data centre {name} is unknown.")


def _check_dependencies(services: tuple[Service, ...], findings: Findings) -> None:
    known = {s.name for s in services}
    for number, service in enumerate(services):
        unique = UniqueNames("dependency", findings)
        for index, name in enumerate(service.depends_on):
            path = f"$.services[{number}].depends_on[{index}]"
            unique.add(name, path)
            if name and name not in known:
                findings.add(path, f"Service {name[:64]!a} is unknown.")
    numbers = {s.name: number for number, s in enumerate(services)}
    for cycle in find_cycles({s.name: s.depends_on for s in services}):
        path = f"$.services[{numbers[cycle[0]]}].depends_on"
        chain = " -> ".join((*cycle, cycle[0]))
        findings.add(path, f"The services depend on each other in a cycle: {chain}.")


def find_cycles(graph: Mapping[str, Iterable[str]]) -> list[tuple[str, ...]]:
    """Return one cycle for each group of nodes that is still cyclic without it."""
    left = {node: {n for n in targets if n in graph} for node, targets in graph.items()}
    cycles: list[tuple[str, ...]] = []
    while _remove_leaves(left):
        walk: list[str] = [next(iter(left))]
        while (following := min(left[walk[-1]])) not in walk:
            walk.append(following)
        cycle = walk[walk.index(following) :]
        cycles.append(tuple(cycle))
        for node in cycle:
            del left[node]
        for targets in left.values():
            targets.difference_update(cycle)
    return cycles


def _remove_leaves(left: dict[str, set[str]]) -> bool:
    """Remove nodes on no cycle's way; return whether any node is left."""
    while leaves := [node for node, targets in left.items() if not targets]:
        for node in leaves:
            del left[node]
        for targets in left.values():
            targets.difference_update(leaves)
    return bool(left)


def _check_routes(services: tuple[Service, ...], findings: Findings) -> None:
    unique = UniqueNames("route", findings)
    known = frozenset(s.name for s in services)
    for number, service in enumerate(services):
        for index, route in enumerate(service.routes):
            path = f"$.services[{number}].routes[{index}].path"
            if route.method and route.path:
                method = "any method" if route.by_prefix else route.method
                unique.add(f"{method} {route.host}{route.path}", path)
            _check_split(route, known, path, findings)


def _check_split(
    route: Route, known: frozenset[str], path: str, findings: Findings
) -> None:
    for part in route.split:
        if part.service and part.service not in known:
            findings.add(path, f"Service {part.service[:64]!a} is unknown.")
    if route.by_prefix and not route.path.endswith("/"):
        findings.add(path, "A prefix must end with a slash.")
