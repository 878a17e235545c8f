"""Checks that span several entries of the services declaration.

The parser runs them.
"""

from collections.abc import Iterable, Mapping

from ..core.findings import Findings
from .check import UniqueNames
from .models import Declaration, Route, Service


def check_rules(declaration: Declaration, findings: Findings) -> None:
    """Report duplicates, unknown references, dependency cycles and colliding routes.

    The indexes in JSON paths match the JSON text, as the parser keeps every entry.
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
        _check_unique_names(kind, f"$.{field}[{{}}].name", names, findings)
    key_ids = UniqueNames("key id", findings)
    for organisation_index, organisation in enumerate(declaration.organisations):
        for key_index, key in enumerate(organisation.tenant_keys):
            path = (
                f"$.organisations[{organisation_index}].tenant_keys[{key_index}].key_id"
            )
            key_ids.add_name(key.key_id, path)


def _check_unique_names(
    kind: str, path: str, names: Iterable[str], findings: Findings
) -> None:
    unique_names = UniqueNames(kind, findings)
    for index, name in enumerate(names):
        unique_names.add_name(name, path.format(index))


def _check_backend_servers(declaration: Declaration, findings: Findings) -> None:
    data_centre_names = {d.name for d in declaration.data_centres}
    names = UniqueNames("backend server", findings)
    addresses = UniqueNames("address", findings)
    for service_index, service in enumerate(declaration.services):
        for server_index, server in enumerate(service.backend_servers):
            path = f"$.services[{service_index}].backend_servers[{server_index}]"
            names.add_name(server.name, f"{path}.name")
            addresses.add_name(server.address, f"{path}.address")
            if server.data_centre and server.data_centre not in data_centre_names:
                name = f"{server.data_centre[:64]!a}"
                findings.add(f"{path}.data_centre", f"Data centre {name} is unknown.")


def _check_dependencies(services: tuple[Service, ...], findings: Findings) -> None:
    service_names = {s.name for s in services}
    for service_index, service in enumerate(services):
        dependency_names = UniqueNames("dependency", findings)
        for dependency_index, name in enumerate(service.depends_on):
            path = f"$.services[{service_index}].depends_on[{dependency_index}]"
            dependency_names.add_name(name, path)
            if name and name not in service_names:
                findings.add(path, f"Service {name[:64]!a} is unknown.")
    service_indexes = {
        s.name: service_index for service_index, s in enumerate(services)
    }
    for cycle in find_cycles({s.name: s.depends_on for s in services}):
        path = f"$.services[{service_indexes[cycle[0]]}].depends_on"
        chain = " -> ".join((*cycle, cycle[0]))
        findings.add(path, f"The services depend on each other in a cycle: {chain}.")


def find_cycles(graph: Mapping[str, Iterable[str]]) -> list[tuple[str, ...]]:
    """Return disjoint cycles; without their nodes the graph has no cycle."""
    remaining = {
        node: {n for n in targets if n in graph} for node, targets in graph.items()
    }
    cycles: list[tuple[str, ...]] = []
    while _remove_leaves(remaining):
        path: list[str] = [next(iter(remaining))]
        while (next_node := min(remaining[path[-1]])) not in path:
            path.append(next_node)
        cycle = path[path.index(next_node) :]
        cycles.append(tuple(cycle))
        for node in cycle:
            del remaining[node]
        for targets in remaining.values():
            targets.difference_update(cycle)
    return cycles


def _remove_leaves(remaining: dict[str, set[str]]) -> bool:
    """Remove the nodes that lead to no cycle; return whether any node remains."""
    while leaves := [node for node, targets in remaining.items() if not targets]:
        for node in leaves:
            del remaining[node]
        for targets in remaining.values():
            targets.difference_update(leaves)
    return bool(remaining)


def _check_routes(services: tuple[Service, ...], findings: Findings) -> None:
    unique_routes = UniqueNames("route", findings)
    service_names = frozenset(s.name for s in services)
    for service_index, service in enumerate(services):
        for route_index, route in enumerate(service.routes):
            path = f"$.services[{service_index}].routes[{route_index}].path"
            if route.method and route.path:
                method = "any method" if route.by_prefix else route.method
                unique_routes.add_name(f"{method} {route.host}{route.path}", path)
            _check_split(route, service_names, path, findings)


def _check_split(
    route: Route, service_names: frozenset[str], path: str, findings: Findings
) -> None:
    for part in route.split:
        if part.service and part.service not in service_names:
            findings.add(path, f"Service {part.service[:64]!a} is unknown.")
    if route.by_prefix and not route.path.endswith("/"):
        findings.add(path, "A prefix must end with a slash.")
