"""The operator's configuration and the zones that it takes out."""

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs
from expression import Error, Ok, Result

from ..declaration.models import (
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
from ..store.models import Item
from . import wire
from .units import WireError, mapping, number, rows, seconds, text, whole

_IDEMPOTENT_KINDS = {"safe": True, "unsafe": False}


@attrs.frozen
class PlatformConfigurations:
    """Decodes the operator's keys into a declaration.

    `data_centres` are those of the settings file, by name, with their regions.
    """

    data_centres: Mapping[str, str]

    @property
    def prefix(self) -> str:
        """Return the prefix of the operator's keys."""
        return wire.OPERATOR_PREFIX

    def declaration_key(self) -> str:
        """Return the key whose change makes a new declaration."""
        return wire.CONFIGURATION_KEY

    def decode(self, item: Item) -> Result[Declaration, str]:
        """Return the declaration of the configuration's key, or what is wrong."""
        try:
            return Ok(self._declaration(_load(item.value)))
        except WireError as exc:
            return Error(str(exc))

    def closed(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the data centres that the operator has taken out."""
        start = len(wire.EVACUATION_PREFIX)
        return frozenset(
            key[start:] for key in keys if key.startswith(wire.EVACUATION_PREFIX)
        )

    def _declaration(self, fields: Mapping[str, Any]) -> Declaration:
        # Without tenants no request carries a key.
        keyless = fields.get("tenants") is None
        routes = [_route(row, keyless) for row in rows(fields.get("routes"), "routes")]
        services = rows(fields.get("services"), "services")
        names = {text(row, "name") for row in services}
        by_service: dict[str, list[Route]] = {name: [] for name in names}
        for service, route in routes:
            unknown = {service, *(part.service for part in route.split)} - names
            if unknown:
                raise WireError(f"route {route.name} names unknown services")
            by_service[service].append(route)
        tenants = fields.get("tenants")
        return Declaration(
            deployment=str(fields.get("version", "")),
            data_centres=tuple(
                DataCentre(name, region, DataCentreState.IN)
                for name, region in self.data_centres.items()
            ),
            services=tuple(
                _service(row, tuple(by_service[text(row, "name")])) for row in services
            ),
            organisations=(
                ()
                if tenants is None
                else tuple(_organisation(row) for row in rows(tenants, "tenants"))
            ),
            caller_limits=_caller_limits(mapping(fields.get("limits"), "limits")),
        )


def _load(value: bytes) -> Mapping[str, Any]:
    try:
        return mapping(json.loads(value), "the configuration")
    except (ValueError, RecursionError) as exc:
        raise WireError(f"the configuration is not JSON: {exc}") from exc


def _route(row: dict[str, Any], keyless: bool) -> tuple[str, Route]:
    """Return a route and the service that it is listed under."""
    kind = text(row, "kind")
    if kind not in _IDEMPOTENT_KINDS:
        raise WireError(f"kind {kind!r:.40} is unknown")
    split = _split(row.get("traffic_split"))
    service = split[0].service if split else text(row, "service")
    timeout_s = seconds(row.get("timeout"), "timeout")
    target_s = row.get("target_latency")
    return service, Route(
        method="",
        path=text(row, "prefix"),
        idempotent=_IDEMPOTENT_KINDS[kind],
        tenant_key=(
            TenantKeyRule.NONE
            if keyless or row.get("public")
            else TenantKeyRule.REQUIRED
        ),
        timeout_s=timeout_s,
        name=text(row, "name"),
        host=text(row, "host").lower(),
        by_prefix=True,
        priority=whole(row, "priority") if "priority" in row else 0,
        target_latency_s=(
            None if target_s is None else seconds(target_s, "target_latency")
        ),
        attempts_max=max(whole(row, "max_attempts"), 1) if "max_attempts" in row else 1,
        split=split,
    )


def _split(value: Any) -> tuple[SplitPart, ...]:
    if value is None:
        return ()
    if not isinstance(value, list):
        raise WireError("traffic_split is not a list")
    parts = [mapping(part, "a part of traffic_split") for part in value]
    split = tuple(
        SplitPart(text(part, "service"), number(part, "weight")) for part in parts
    )
    return tuple(part for part in split if part.weight > 0.0)


def _service(row: dict[str, Any], routes: tuple[Route, ...]) -> Service:
    cold = None
    if "warmup_per_s" in row:
        duration_s = seconds(row["warmup"], "warmup") if "warmup" in row else 0.0
        cold = ColdStart(duration_s, number(row, "warmup_per_s"))
    return Service(
        name=text(row, "name"),
        routes=routes,
        backend_servers=(),
        keyed=bool(row.get("sharded")),
        checks_grants=True,
        cold_start=cold,
        connections_max=(
            whole(row, "max_connections") if "max_connections" in row else 0
        ),
        health_path=str(row.get("health_check_path", "")),
        transfer_warm_s=seconds(row["warm"], "warm") if "warm" in row else 0.0,
    )


def _organisation(row: dict[str, Any]) -> Organisation:
    # A rate of 0, or none, is no limit.
    rate_per_s = number(row, "rate_per_s") if "rate_per_s" in row else 0.0
    burst = number(row, "burst") if "burst" in row else 0.0
    keys = row.get("api_keys", [])
    if not isinstance(keys, list):
        raise WireError("api_keys is not a list")
    return Organisation(
        name=text(row, "name"),
        rate_per_s=rate_per_s or math.inf,
        burst=burst if rate_per_s else math.inf,
        tenant_keys=tuple(
            hash_opaque_key(key.encode()) for key in keys if isinstance(key, str)
        ),
        priority=whole(row, "priority") if "priority" in row else None,
    )


def _caller_limits(fields: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_max_bytes=whole(fields, "max_header_bytes", 1),
        body_max_bytes=whole(fields, "max_body_bytes", 1),
        header_timeout_s=seconds(fields.get("header_timeout"), "header_timeout"),
        idle_timeout_s=seconds(fields.get("idle_timeout"), "idle_timeout"),
    )
