"""Finds what a valid declaration says but can't mean: dead entries and contradictions.

The command-line tool reports it before a declaration is sent.
"""

from collections.abc import Iterable

from ..core.findings import Finding, Findings
from .models import (
    BackendServerEntry,
    BackendServerState,
    DataCentreState,
    Declaration,
    Route,
    Service,
    TenantKeyRule,
)
from .routing import RouteTable


def list_warnings(declaration: Declaration) -> tuple[Finding, ...]:
    """Return the entries that can never match and the limits that contradict."""
    findings = Findings(list(declaration.findings))
    _check_shadowed_routes(declaration, findings)
    _check_unused_services(declaration, findings)
    _check_tenant_keys(declaration, findings)
    _check_usable_servers(declaration, findings)
    _check_routes(declaration, findings)
    _check_server_limits(declaration, findings)
    _check_caller_limits(declaration, findings)
    return tuple(findings.items)


def list_memory_warnings(
    declaration: Declaration, memory_by_instance: Iterable[tuple[str, int]]
) -> tuple[Finding, ...]:
    """Return a warning for each instance that can't keep the largest allowed body.

    `memory_by_instance` has the names of instances and their memory for bodies in
    bytes.
    """
    limits = declaration.caller_limits
    if limits is None:
        return ()
    return tuple(
        Finding(
            "$.caller_limits.body_max_bytes",
            f"Instance {name} keeps at most {memory_bytes} bytes of bodies and refuses "
            "larger ones.",
        )
        for name, memory_bytes in memory_by_instance
        if limits.body_max_bytes > memory_bytes
    )


def _get_service_path(service: Service) -> str:
    return f"$.services[{service.name}]"


def _get_route_path(route: Route) -> str:
    label = route.name or f"{route.method} {route.host}{route.path}".strip()
    return f"$.routes[{label}]"


def _list_routes(declaration: Declaration) -> list[Route]:
    return [route for service in declaration.services for route in service.routes]


# Entries that can never match


def _check_shadowed_routes(declaration: Declaration, findings: Findings) -> None:
    for route in RouteTable(declaration).shadowed_routes:
        findings.add(
            _get_route_path(route),
            "A later route has the same host and prefix; this one never matches.",
        )


def _check_unused_services(declaration: Declaration, findings: Findings) -> None:
    used_names = {
        name for service in declaration.services for name in service.depends_on
    }
    for route in _list_routes(declaration):
        used_names.update(part.service for part in route.split)
    for service in declaration.services:
        if not service.routes and service.name not in used_names:
            findings.add(_get_service_path(service), "No route leads to this service.")


def _check_tenant_keys(declaration: Declaration, findings: Findings) -> None:
    keyed_routes = [
        route
        for route in _list_routes(declaration)
        if route.tenant_key is TenantKeyRule.REQUIRED
    ]
    has_keys = any(o.tenant_keys for o in declaration.organisations)
    if keyed_routes and not has_keys:
        findings.add(
            "$.organisations",
            f"No organisation has a tenant key, but {len(keyed_routes)} routes need "
            "one; their requests are all refused.",
        )
    for organisation in declaration.organisations:
        path = f"$.organisations[{organisation.name}]"
        if has_keys and not organisation.tenant_keys:
            findings.add(path, "It has no tenant key, so no request is its own.")
        if organisation.tenant_keys and not keyed_routes:
            findings.add(path, "Its tenant keys are never read: no route needs one.")


def _check_usable_servers(declaration: Declaration, findings: Findings) -> None:
    """Report services whose declared servers all take no new work."""
    open_names = {
        d.name for d in declaration.data_centres if d.state is DataCentreState.IN
    }

    def is_usable(server: BackendServerEntry) -> bool:
        is_in = server.state is BackendServerState.IN
        return is_in and server.data_centre in open_names

    for service in declaration.services:
        servers = service.backend_servers
        if servers and not any(map(is_usable, servers)):
            findings.add(
                f"{_get_service_path(service)}.backend_servers",
                "All servers are leaving or in closed data centres; all requests are "
                "refused.",
            )


# Limits that contradict each other


def _check_routes(declaration: Declaration, findings: Findings) -> None:
    for service in declaration.services:
        for route in service.routes:
            path = _get_route_path(route)
            target_s = route.target_latency_s
            if target_s is not None and target_s > route.timeout_s:
                findings.add(
                    f"{path}.target_latency_s",
                    f"The target of {target_s:g} s is longer than the timeout of "
                    f"{route.timeout_s:g} s.",
                )
            server_count = len(service.backend_servers)
            if 0 < server_count < route.attempts_max:
                findings.add(
                    f"{path}.attempts_max",
                    f"{route.attempts_max} attempts need as many servers; the service "
                    f"has {server_count}.",
                )


def _check_server_limits(declaration: Declaration, findings: Findings) -> None:
    for service in declaration.services:
        for server in service.backend_servers:
            if server.connections < server.slots:
                findings.add(
                    f"{_get_service_path(service)}.backend_servers[{server.name}]",
                    f"{server.connections} connections can't use {server.slots} slots.",
                )


def _check_caller_limits(declaration: Declaration, findings: Findings) -> None:
    limits = declaration.caller_limits
    if limits is not None and limits.idle_timeout_s < limits.header_timeout_s:
        findings.add(
            "$.caller_limits.idle_timeout_s",
            f"Connections close after {limits.idle_timeout_s:g} s without a request, "
            f"before the header timeout of {limits.header_timeout_s:g} s can apply.",
        )
