"""Parses and checks the instance settings.

The daemon and the command-line tool use it.
"""

import ipaddress
from typing import Any, Final

from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from ..declaration.check import (
    ObjectReader,
    UniqueNames,
    format_field_path,
    is_address,
    load_json,
    truncate_findings,
)
from . import const
from .models import InstanceSettings, Limits, LogLevel

# Default, minimum and maximum of each limit.
_LIMIT_BOUNDS: Final[dict[str, tuple[int, int, int]]] = {
    "body_max_bytes": (const.DEFAULT_BODY_MAX_BYTES, 0, const.BODY_MAX_BYTES_BOUND),
    "response_max_bytes": (
        const.DEFAULT_RESPONSE_MAX_BYTES,
        1,
        const.BODY_MAX_BYTES_BOUND,
    ),
    "body_memory_bytes": (
        const.DEFAULT_BODY_MEMORY_BYTES,
        const.BODY_MEMORY_BYTES_LOWER_BOUND,
        const.BODY_MEMORY_BYTES_BOUND,
    ),
    "header_max_bytes": (
        const.DEFAULT_HEADER_MAX_BYTES,
        const.HEADER_MAX_BYTES_LOWER_BOUND,
        const.HEADER_MAX_BYTES_BOUND,
    ),
    "queue_max_requests": (
        const.DEFAULT_QUEUE_MAX_REQUESTS,
        1,
        const.QUEUE_MAX_REQUESTS_BOUND,
    ),
    "deferrable_queue_max_requests": (
        const.DEFAULT_DEFERRABLE_QUEUE_MAX_REQUESTS,
        1,
        const.QUEUE_MAX_REQUESTS_BOUND,
    ),
    "caller_connections_max": (
        const.DEFAULT_CALLER_CONNECTIONS_MAX,
        1,
        const.CALLER_CONNECTIONS_MAX_BOUND,
    ),
}


def parse_settings(text: str | bytes) -> Result[InstanceSettings, tuple[Finding, ...]]:
    """Return the settings of a JSON text, or all findings about it."""
    match load_json(text, const.SETTINGS_MAX_BYTES):
        case Result(tag="ok", ok=value):
            return _parse_value(value)
        case Result(error=finding):
            return Error((finding,))


def _parse_value(value: Any) -> Result[InstanceSettings, tuple[Finding, ...]]:
    findings = Findings()
    settings = _read_settings(ObjectReader(value, "$", findings))
    if findings:
        return Error(truncate_findings(findings))
    return Ok(settings)


def _read_settings(reader: ObjectReader) -> InstanceSettings:
    settings = InstanceSettings(
        instance=reader.read_name("instance"),
        deployment=reader.read_name("deployment"),
        cell=reader.read_name("cell", const.DEFAULT_CELL),
        data_centre=reader.read_name("data_centre"),
        caller_address=reader.read_address("caller_address"),
        peer_address=reader.read_address("peer_address"),
        admin_address=reader.read_address("admin_address"),
        store_addresses=_read_store_addresses(reader),
        peer_secrets=_read_peer_secrets(reader),
        trace_sample_ratio=reader.read_fraction(
            "trace_sample_ratio", const.DEFAULT_TRACE_SAMPLE_RATIO
        ),
        drain_s=reader.read_positive_number(
            "drain_s", const.DEFAULT_DRAIN_S, const.DRAIN_MAX_S
        ),
        load_balancer_lag_s=reader.read_positive_number(
            "load_balancer_lag_s",
            const.DEFAULT_LOAD_BALANCER_LAG_S,
            const.LOAD_BALANCER_LAG_MAX_S,
        ),
        store_timeout_s=reader.read_positive_number(
            "store_timeout_s", const.DEFAULT_STORE_TIMEOUT_S, const.STORE_TIMEOUT_MAX_S
        ),
        remote_bytes_per_s=reader.read_positive_number(
            "remote_bytes_per_s",
            const.DEFAULT_REMOTE_BYTES_PER_S,
            const.REMOTE_BYTES_PER_S_MAX,
        ),
        log_level=reader.read_choice("log_level", LogLevel, LogLevel.INFO),
        limits=_read_limits(reader.read_object("limits")),
    )
    _check_listen_addresses(reader, settings)
    reader.report_unknown_fields()
    return settings


def _read_store_addresses(reader: ObjectReader) -> tuple[str, ...]:
    unique_addresses = UniqueNames("address", reader.findings)
    addresses: list[str] = []
    for value, path in reader.read_strings(
        "store_addresses", const.STORE_ADDRESSES_MAX
    ):
        if value:
            reader.check_address(value, path)
            unique_addresses.add_name(value, path)
        addresses.append(value)
    _check_not_empty(reader, "store_addresses", addresses)
    return tuple(addresses)


def _read_peer_secrets(reader: ObjectReader) -> tuple[bytes, ...]:
    """Return the secrets; findings do not quote them."""
    secrets: list[bytes] = []
    for value, path in reader.read_strings("peer_secrets", const.PEER_SECRETS_MAX):
        secret = value.encode(errors="replace")
        if value and len(value) < const.PEER_SECRET_MIN_CHARACTERS:
            minimum = const.PEER_SECRET_MIN_CHARACTERS
            reader.findings.add(path, f"A secret needs at least {minimum} characters.")
        if value and not value.isascii():
            reader.findings.add(path, "A secret must consist of ASCII characters.")
        if value and secret in secrets:
            reader.findings.add(path, "The secret is given more than once.")
        secrets.append(secret)
    _check_not_empty(reader, "peer_secrets", secrets)
    return tuple(secrets)


def _check_not_empty(reader: ObjectReader, name: str, values: list[Any]) -> None:
    if not values and reader.is_array(name):
        reader.add_finding(name, "At least one entry is needed.")


def _check_listen_addresses(reader: ObjectReader, settings: InstanceSettings) -> None:
    unique_addresses = UniqueNames("address", reader.findings)
    for name in ("caller_address", "peer_address", "admin_address"):
        unique_addresses.add_name(
            getattr(settings, name), format_field_path(reader.path, name)
        )
    peer = _parse_ip(settings.peer_address)
    if peer is not None and peer.is_unspecified:
        reader.add_finding(
            "peer_address",
            "The address must be specific, as other instances connect to it.",
        )
    admin = _parse_ip(settings.admin_address)
    if admin is None:
        return
    if admin.is_unspecified or not (admin.is_loopback or admin.is_private):
        reader.add_finding(
            "admin_address", "This must be a loopback or private address."
        )


def _parse_ip(address: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    if not is_address(address):
        return None
    return ipaddress.ip_address(address.rpartition(":")[0].strip("[]"))


def _read_limits(reader: ObjectReader | None) -> Limits:
    if reader is None:
        return Limits()
    limits = Limits(
        **{
            name: reader.read_integer(name, minimum, maximum, default)
            for name, (default, minimum, maximum) in _LIMIT_BOUNDS.items()
        }
    )
    reader.report_unknown_fields()
    return limits
