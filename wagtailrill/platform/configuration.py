"""Decodes the operator's configuration into a declaration and closed data centres.

The store accepts only valid configurations. So a figure that is larger than the router
can use is lowered to the largest one, and keeps no version from coming into force.

Used by the router's configuration follower.
"""

import math
import re
from collections.abc import Mapping
from typing import Any, Final

import attrs
from expression import Error, Ok, Result

from ..configuration.models import InvalidDeclaration
from ..core.findings import Findings
from ..core.json_fields import (
    NUMBER_MAX,
    FieldError,
    get_capped_integer,
    get_capped_number,
    get_name,
    get_text,
    load_object,
    parse_object,
    parse_text,
)
from ..declaration.models import (
    PRIORITY_MAX,
    CallerLimits,
    ColdStart,
    DataCentre,
    DataCentreState,
    Declaration,
    Organisation,
    Route,
    Service,
    SplitPart,
    TenantKeyRule,
)
from ..organisations.keys import hash_opaque_key
from ..servers.models import CONNECTIONS_MAX
from ..store.models import Item
from . import wire
from .units import parse_capped_duration_s, parse_rows

# Sums of some of them are finite.
_WEIGHT_MAX: Final = 1e300
_VERSION_FORMAT: Final = re.compile(r"r([0-9]{1,18})")
# Kinds of routes; the requests of an unknown one are run once at most.
_IDEMPOTENT_BY_KIND: Final = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}


@attrs.frozen
class PlatformConfigurationDecoder:
    """Implements `ConfigurationDecoder` for the store keys that the operator writes.

    `data_centres` maps the data centres of the settings file to their regions.
    """

    data_centres: Mapping[str, str]

    @property
    def prefix(self) -> str:
        """Return the prefix of the operator's store keys."""
        return wire.OPERATOR_PREFIX

    def get_declaration_key(self) -> str:
        """Return the store key that holds the configuration."""
        return wire.CONFIGURATION_KEY

    def decode(self, item: Item) -> Result[Declaration, InvalidDeclaration]:
        """Return the declaration of a configuration, or the reason it is invalid."""
        version = ""
        try:
            fields = load_object(item.value, "the configuration")
            version = str(fields.get("version", ""))
            return Ok(self._parse_declaration(fields))
        except FieldError as exc:
            return Error(InvalidDeclaration(str(exc), version))

    def list_closed_data_centres(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the data centres that the operator has evacuated."""
        prefix_length = len(wire.EVACUATION_PREFIX)
        return frozenset(
            key[prefix_length:]
            for key in keys
            if key.startswith(wire.EVACUATION_PREFIX)
        )

    def _parse_declaration(self, fields: Mapping[str, Any]) -> Declaration:
        # Without tenants no request needs a tenant key.
        without_tenants = fields.get("tenants") is None
        route_rows = parse_rows(fields.get("routes"), "routes")
        findings = Findings()
        routes = [_parse_route(row, without_tenants, findings) for row in route_rows]
        service_rows = parse_rows(fields.get("services"), "services")
        service_names = {get_name(row, "name") for row in service_rows}
        routes_by_service: dict[str, list[Route]] = {name: [] for name in service_names}
        for service, route in routes:
            unknown_services = {
                service,
                *(part.service for part in route.split),
            } - service_names
            if unknown_services:
                raise FieldError(f"route {route.name} names unknown services")
            routes_by_service[service].append(route)
        tenants = fields.get("tenants")
        return Declaration(
            deployment=str(fields.get("version", "")),
            data_centres=tuple(
                DataCentre(name, region, DataCentreState.IN)
                for name, region in self.data_centres.items()
            ),
            services=tuple(
                _parse_service(row, tuple(routes_by_service[get_name(row, "name")]))
                for row in service_rows
            ),
            organisations=(
                ()
                if tenants is None
                else tuple(
                    _parse_organisation(row) for row in parse_rows(tenants, "tenants")
                )
            ),
            caller_limits=_parse_caller_limits(
                parse_object(fields.get("limits"), "limits")
            ),
            version_number=_parse_version_number(fields.get("version")),
            findings=tuple(findings.items),
        )


def _parse_version_number(version: Any) -> int | None:
    """Return the number of a version such as `r12`, None if it has another form."""
    match = _VERSION_FORMAT.fullmatch(version) if isinstance(version, str) else None
    return int(match[1]) if match is not None else None


def _parse_route(
    row: dict[str, Any], without_tenants: bool, findings: Findings
) -> tuple[str, Route]:
    """Return the name of the service that the route is listed under, and the route."""
    name = get_name(row, "name")
    split = _parse_split(row.get("traffic_split"))
    service = split[0].service if split else get_name(row, "service")
    timeout_s = parse_capped_duration_s(row.get("timeout"), "timeout")
    target_latency = row.get("target_latency")
    return service, Route(
        method="",
        path=get_text(row, "prefix"),
        idempotent=_parse_kind(get_name(row, "kind"), name, findings),
        tenant_key=(
            TenantKeyRule.NONE
            if without_tenants or row.get("public")
            else TenantKeyRule.REQUIRED
        ),
        timeout_s=timeout_s,
        name=name,
        host=get_text(row, "host").lower(),
        by_prefix=True,
        priority=_parse_priority(row) or 0,
        target_latency_s=(
            None
            if target_latency is None
            else parse_capped_duration_s(target_latency, "target_latency")
        ),
        attempts_max=(
            max(get_capped_integer(row, "max_attempts"), 1)
            if "max_attempts" in row
            else 1
        ),
        split=split,
    )


def _parse_kind(kind: str, route: str, findings: Findings) -> bool:
    """Return whether the requests of a kind of route are idempotent."""
    if kind not in _IDEMPOTENT_BY_KIND:
        findings.add(
            f"$.routes[{route}].kind",
            f"The kind {kind!r:.40} is unknown; its requests are run once at most.",
        )
    return _IDEMPOTENT_BY_KIND.get(kind, False)


def _parse_priority(row: dict[str, Any]) -> int | None:
    if "priority" not in row:
        return None
    return get_capped_integer(row, "priority", maximum=PRIORITY_MAX)


def _parse_split(value: Any) -> tuple[SplitPart, ...]:
    if value is None:
        return ()
    if not isinstance(value, list):
        raise FieldError("traffic_split is not a list")
    parts = [parse_object(part, "a part of traffic_split") for part in value]
    weights = [get_capped_number(part, "weight", _WEIGHT_MAX) for part in parts]
    # Large weights are lowered together, so that their ratios stay.
    scale = min(1.0, NUMBER_MAX / max(weights, default=1.0)) if any(weights) else 1.0
    return tuple(
        SplitPart(get_name(part, "service"), weight * scale)
        for part, weight in zip(parts, weights, strict=True)
        if weight > 0.0
    )


def _parse_service(row: dict[str, Any], routes: tuple[Route, ...]) -> Service:
    cold_start = None
    if "warmup_per_s" in row:
        duration_s = (
            parse_capped_duration_s(row["warmup"], "warmup") if "warmup" in row else 0.0
        )
        cold_start = ColdStart(duration_s, get_capped_number(row, "warmup_per_s"))
    return Service(
        name=get_name(row, "name"),
        routes=routes,
        backend_servers=(),
        keyed=bool(row.get("sharded")),
        checks_grants=True,
        cold_start=cold_start,
        connections_max=(
            get_capped_integer(row, "max_connections", maximum=CONNECTIONS_MAX)
            if "max_connections" in row
            else 0
        ),
        health_path=str(row.get("health_check_path", "")),
        transfer_warm_s=parse_capped_duration_s(row["warm"], "warm")
        if "warm" in row
        else 0.0,
    )


def _parse_organisation(row: dict[str, Any]) -> Organisation:
    # A rate of 0 or a missing rate means that the organisation is not rate limited.
    name = get_name(row, "name")
    rate_per_s = get_capped_number(row, "rate_per_s") if "rate_per_s" in row else 0.0
    burst = get_capped_number(row, "burst") if "burst" in row else 0.0
    api_keys = row.get("api_keys", [])
    if not isinstance(api_keys, list):
        raise FieldError(f"api_keys of {name} is not a list")
    return Organisation(
        name=name,
        rate_per_s=rate_per_s or math.inf,
        burst=burst if rate_per_s else math.inf,
        tenant_keys=tuple(
            hash_opaque_key(parse_text(key, f"an entry in api_keys of {name}").encode())
            for key in api_keys
        ),
        priority=_parse_priority(row),
    )


def _parse_caller_limits(fields: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_max_bytes=get_capped_integer(fields, "max_header_bytes", 1),
        body_max_bytes=get_capped_integer(fields, "max_body_bytes", 1),
        header_timeout_s=parse_capped_duration_s(
            fields.get("header_timeout"), "header_timeout"
        ),
        idle_timeout_s=parse_capped_duration_s(
            fields.get("idle_timeout"), "idle_timeout"
        ),
    )
