"""Parses the settings file that the platform writes for a process."""

import math
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs
from expression import Error, Ok, Result

from ..core.json_fields import FieldError, get_integer, get_text, parse_object
from .units import parse_duration_s


@attrs.frozen
class Bounds:
    """Limits that the platform guarantees to its users, with their defaults.

    Fields that end in `_s` are durations in seconds. `leave_s` is the time after which
    a draining server receives no more requests, `stop_s` the time in which a process
    has to stop, `apply_s` the time within which a configuration takes effect and
    `calm_s` the time after which a machine counts as stable again. `evacuate_s` is the
    time in which a data centre is evacuated, `grant_max_s` the longest grant of a key.
    `retry_share`, `quota_excess` and `cold_excess_factor` are ratios; the
    `_allowance` fields and `cold_excess_requests` are numbers of requests. A bad
    version may get `expose_share` of its service's requests and `expose_slack` more,
    and none later than `rollback_s` after its 50th bad answer.
    """

    leave_s: float = 2.0
    stop_s: float = 6.0
    apply_s: float = 2.0
    calm_s: float = 3.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 0.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.0
    quota_allowance: float = 0.0
    cold_excess_factor: float = 1.0
    cold_excess_requests: float = 0.0
    evacuate_s: float = 5.0
    grant_max_s: float = 10.0
    expose_share: float = 0.1
    expose_slack: float = 50.0
    rollback_s: float = 5.0


@attrs.frozen
class PlatformSettings:
    """Settings of one process, as the platform provides them.

    Addresses are `IP:port`. `data_centres` maps each data centre to its region.
    `cpu_share` is the part of a processor that the process may use, `cores` the number
    of these parts, and `link_mbps` the rate of the machine's link in Mbit/s. With
    `is_first_start` the whole deployment starts for the first time. `contracts` names
    the groups of rules that are in force.
    """

    instance: str
    data_centre: str
    region: str
    ip: str
    data_centres: Mapping[str, str]
    caller_address: str
    admin_address: str
    peer_port: int
    store_address: str
    store_ttl_min_s: float
    heartbeat_s: float
    cpu_share: float
    memory_mb: int
    file_descriptors_max: int
    bounds: Bounds
    is_first_start: bool = False
    cores: float = 1.0
    link_mbps: float = math.inf
    contracts: frozenset[str] = frozenset()


# Fields of `Bounds` by the platform's names, and whether the value is a duration.
_BOUND_FIELDS = {
    "drain": ("leave_s", True),
    "grace": ("stop_s", True),
    "apply": ("apply_s", True),
    "stable": ("calm_s", True),
    "retry_budget_ratio": ("retry_share", False),
    "budget_window": ("retry_window_s", True),
    "budget_slack": ("retry_allowance", False),
    "quota_window": ("quota_window_s", True),
    "quota_over": ("quota_excess", False),
    "quota_slack": ("quota_allowance", False),
    "cold_over": ("cold_excess_factor", False),
    "cold_slack": ("cold_excess_requests", False),
    "evac": ("evacuate_s", True),
    "hold_max": ("grant_max_s", True),
    "expose_share": ("expose_share", False),
    "expose_slack": ("expose_slack", False),
    "rollback": ("rollback_s", True),
}


def parse_settings(content: bytes) -> Result[PlatformSettings, str]:
    """Return the settings of a TOML file, or the reason why it is invalid."""
    try:
        return Ok(_build_settings(tomllib.loads(content.decode())))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, FieldError) as exc:
        return Error(str(exc))


def _build_settings(fields: Mapping[str, Any]) -> PlatformSettings:
    listen = parse_object(fields.get("listen"), "listen")
    limits = parse_object(fields.get("limits"), "limits")
    platform = parse_object(fields.get("platform"), "platform")
    zones = parse_object(fields.get("zones", {}), "zones")
    ports = fields.get("internal_ports")
    if not isinstance(ports, list) or not ports or type(ports[0]) is not int:
        raise FieldError("internal_ports is not a list of ports")
    return PlatformSettings(
        instance=get_text(fields, "node"),
        data_centre=get_text(fields, "zone"),
        region=get_text(fields, "region"),
        ip=get_text(fields, "ip"),
        data_centres={name: str(region) for name, region in zones.items()},
        caller_address=get_text(listen, "front"),
        admin_address=get_text(listen, "ready"),
        peer_port=ports[0],
        store_address=get_text(platform, "address"),
        store_ttl_min_s=parse_duration_s(platform.get("ttl_min", "1000ms"), "ttl_min"),
        heartbeat_s=parse_duration_s(fields.get("heartbeat", "1s"), "heartbeat"),
        cpu_share=_get_positive(limits, "cpu_share", 1.0),
        memory_mb=get_integer(limits, "memory_mb"),
        file_descriptors_max=get_integer(limits, "max_fds"),
        bounds=_parse_bounds(fields.get("bounds", [])),
        is_first_start=fields.get("bootstrap") is True,
        cores=_get_positive(limits, "cores", 1.0),
        link_mbps=_get_positive(limits, "link_mbps", math.inf),
        contracts=_parse_contracts(fields.get("contracts", [])),
    )


def _parse_contracts(value: Any) -> frozenset[str]:
    if not isinstance(value, list):
        raise FieldError("contracts is not a list")
    return frozenset(str(name) for name in value)


def _get_positive(fields: Mapping[str, Any], name: str, default: float) -> float:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0.0:
        return default
    return float(value)


def _parse_bounds(assignments: Any) -> Bounds:
    if not isinstance(assignments, list):
        raise FieldError("bounds is not a list")
    values: dict[str, float] = {}
    for assignment in assignments:
        name, _, value = str(assignment).partition("=")
        if name not in _BOUND_FIELDS:
            continue
        field, is_duration = _BOUND_FIELDS[name]
        values[field] = (
            parse_duration_s(value, name) if is_duration else _parse_number(value, name)
        )
    return Bounds(**values)


def _parse_number(value: str, name: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise FieldError(f"bound {name} is not a number: {value!r:.40}") from None
