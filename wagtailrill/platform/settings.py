"""The settings file that the platform writes for a process."""

import tomllib
from collections.abc import Mapping
from typing import Any

import attrs
from expression import Error, Ok, Result

from .units import WireError, mapping, seconds, text, whole


@attrs.frozen
class Bounds:
    """Figures of the platform's promises; durations in seconds.

    The names are the platform's where they say what they hold. `apply_s` is the time
    within which a configuration is in force, `leave_s` the time after which a leaving
    server gets nothing more, and `connections_lost_s` the time after which a machine
    counts as calm again.
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


@attrs.frozen
class PlatformSettings:
    """Settings of one process as the platform gives them."""

    instance: str
    data_centre: str
    region: str
    ip: str
    data_centres: Mapping[str, str]
    caller_address: str
    ready_address: str
    peer_port: int
    store_address: str
    store_ttl_min_s: float
    heartbeat_s: float
    cpu_share: float
    memory_mb: int
    files_max: int
    bounds: Bounds


_BOUND_READERS = {
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
}


def parse_settings(content: bytes) -> Result[PlatformSettings, str]:
    """Return the settings of a file, or what is wrong with it."""
    try:
        return Ok(_settings(tomllib.loads(content.decode())))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, WireError) as exc:
        return Error(str(exc))


def _settings(fields: Mapping[str, Any]) -> PlatformSettings:
    listen = mapping(fields.get("listen"), "listen")
    limits = mapping(fields.get("limits"), "limits")
    store = mapping(fields.get("platform"), "platform")
    zones = mapping(fields.get("zones", {}), "zones")
    ports = fields.get("internal_ports")
    if not isinstance(ports, list) or not ports or type(ports[0]) is not int:
        raise WireError("internal_ports is not a list of ports")
    share = limits.get("cpu_share", 1.0)
    return PlatformSettings(
        instance=text(fields, "node"),
        data_centre=text(fields, "zone"),
        region=text(fields, "region"),
        ip=text(fields, "ip"),
        data_centres={name: str(region) for name, region in zones.items()},
        caller_address=text(listen, "front"),
        ready_address=text(listen, "ready"),
        peer_port=ports[0],
        store_address=text(store, "address"),
        store_ttl_min_s=seconds(store.get("ttl_min", "1000ms"), "ttl_min"),
        heartbeat_s=seconds(fields.get("heartbeat", "1s"), "heartbeat"),
        cpu_share=float(share) if type(share) in (int, float) else 1.0,
        memory_mb=whole(limits, "memory_mb"),
        files_max=whole(limits, "max_fds"),
        bounds=_bounds(fields.get("bounds", [])),
    )


def _bounds(lines: Any) -> Bounds:
    if not isinstance(lines, list):
        raise WireError("bounds is not a list")
    values: dict[str, float] = {}
    for line in lines:
        name, _, value = str(line).partition("=")
        if name not in _BOUND_READERS:
            continue
        field, is_time = _BOUND_READERS[name]
        values[field] = seconds(value, name) if is_time else _plain(value, name)
    return Bounds(**values)


def _plain(value: str, name: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise WireError(f"bound {name} is not a number: {value!r:.40}") from None
