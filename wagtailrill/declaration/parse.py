"""Parses and checks the services declaration.

Instances, the command-line tool and the load tool use it.
"""

import re
from typing import Any, Final

from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from .check import ObjectReader, load_json, truncate_findings
from .const import (
    ATTEMPTS_MAX,
    BACKEND_SERVERS_PER_SERVICE_MAX,
    BURST_MAX,
    CALLER_LIMIT_MAX_BYTES,
    CONNECTIONS_MAX,
    DATA_CENTRES_MAX,
    DECLARATION_MAX_BYTES,
    DEFAULT_ATTEMPTS_MAX,
    DEFAULT_DEFERRABLE_TIMEOUT_S,
    DEFAULT_SLOW_START_SLOTS,
    DEFAULT_SLOW_START_STEP_S,
    DEFAULT_TIMEOUT_S,
    DEFAULT_WEIGHT,
    DURATION_MAX_S,
    HTTP_METHODS,
    KEY_SEGMENT,
    ORGANISATIONS_MAX,
    PATH_MAX_CHARACTERS,
    PRIORITY_MAX,
    RATE_MAX_PER_S,
    ROUTES_PER_SERVICE_MAX,
    SERVICES_MAX,
    SLOTS_MAX,
    TENANT_KEYS_PER_ORGANISATION_MAX,
    WEIGHT_MAX,
)
from .models import (
    BackendServerEntry,
    BackendServerState,
    CallerLimits,
    ColdStart,
    DataCentre,
    DataCentreState,
    Declaration,
    Organisation,
    Route,
    Service,
    SlowStart,
    SplitPart,
    TenantKeyHash,
    TenantKeyRule,
)
from .rules import check_rules

_SEGMENT_PATTERN: Final = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]+")
KEY_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9-]{1,64}")
_SALT_PATTERN: Final = re.compile(r"[0-9a-f]{32}")
_SHA256_PATTERN: Final = re.compile(r"[0-9a-f]{64}")


def parse_declaration(text: str | bytes) -> Result[Declaration, tuple[Finding, ...]]:
    """Return the declaration of a JSON text, or all findings about it."""
    match load_json(text, DECLARATION_MAX_BYTES):
        case Result(tag="ok", ok=value):
            return _parse_value(value)
        case Result(error=finding):
            return Error((finding,))


def _parse_value(value: Any) -> Result[Declaration, tuple[Finding, ...]]:
    findings = Findings()
    declaration = _read_declaration(ObjectReader(value, "$", findings))
    check_rules(declaration, findings)
    if findings:
        return Error(truncate_findings(findings))
    return Ok(declaration)


def _read_declaration(reader: ObjectReader) -> Declaration:
    findings = reader.findings
    deployment = reader.read_name("deployment")
    data_centres = tuple(
        _read_data_centre(ObjectReader(value, path, findings))
        for value, path in reader.read_items("data_centres", DATA_CENTRES_MAX)
    )
    services = tuple(
        _read_service(ObjectReader(value, path, findings))
        for value, path in reader.read_items("services", SERVICES_MAX)
    )
    organisations = tuple(
        _read_organisation(ObjectReader(value, path, findings))
        for value, path in reader.read_items("organisations", ORGANISATIONS_MAX)
    )
    caller_limits = _read_caller_limits(reader.read_object("caller_limits"))
    reader.report_unknown_fields()
    return Declaration(deployment, data_centres, services, organisations, caller_limits)


def _read_data_centre(reader: ObjectReader) -> DataCentre:
    data_centre = DataCentre(
        name=reader.read_name(),
        region=reader.read_name("region", "default"),
        state=reader.read_choice("state", DataCentreState, DataCentreState.IN),
    )
    reader.report_unknown_fields()
    return data_centre


def _read_caller_limits(reader: ObjectReader | None) -> CallerLimits | None:
    if reader is None:
        return None
    limits = CallerLimits(
        header_max_bytes=reader.read_integer(
            "header_max_bytes", 1, CALLER_LIMIT_MAX_BYTES
        ),
        body_max_bytes=reader.read_integer("body_max_bytes", 1, CALLER_LIMIT_MAX_BYTES),
        header_timeout_s=reader.read_positive_number(
            "header_timeout_s", maximum=DURATION_MAX_S
        ),
        idle_timeout_s=reader.read_positive_number(
            "idle_timeout_s", maximum=DURATION_MAX_S
        ),
    )
    reader.report_unknown_fields()
    return limits


def _read_service(reader: ObjectReader) -> Service:
    findings = reader.findings
    name = reader.read_name()
    keyed = reader.read_flag("keyed", False)
    slots = _read_service_default(reader, "slots", SLOTS_MAX)
    connections = _read_service_default(reader, "connections", CONNECTIONS_MAX)
    routes = tuple(
        _read_route(ObjectReader(value, path, findings), keyed)
        for value, path in reader.read_items("routes", ROUTES_PER_SERVICE_MAX)
    )
    servers = tuple(
        _read_backend_server(ObjectReader(value, path, findings), slots, connections)
        for value, path in reader.read_items(
            "backend_servers", BACKEND_SERVERS_PER_SERVICE_MAX
        )
    )
    service = Service(
        name=name,
        routes=routes,
        backend_servers=servers,
        depends_on=tuple(
            text
            for text, _ in reader.read_strings(
                "depends_on", SERVICES_MAX, optional=True
            )
        ),
        keyed=keyed,
        checks_grants=reader.read_flag("checks_grants", False),
        slow_start=_read_slow_start(reader.read_object("slow_start")),
        cold_start=_read_cold_start(reader.read_object("cold_start")),
        connections_max=reader.read_integer("connections_max", 0, CONNECTIONS_MAX, 0),
        health_path=reader.read_string("health_path", ""),
        transfer_warm_s=_read_duration_s(reader, "transfer_warm_s"),
    )
    reader.report_unknown_fields()
    return service


def _read_service_default(reader: ObjectReader, name: str, maximum: int) -> int | None:
    return reader.read_integer(name, 1, maximum) if reader.has_field(name) else None


def _read_slow_start(reader: ObjectReader | None) -> SlowStart:
    if reader is None:
        return SlowStart()
    slow_start = SlowStart(
        slots=reader.read_integer("slots", 1, SLOTS_MAX, DEFAULT_SLOW_START_SLOTS),
        step_s=reader.read_positive_number(
            "step_s", DEFAULT_SLOW_START_STEP_S, DURATION_MAX_S
        ),
    )
    reader.report_unknown_fields()
    return slow_start


def _read_cold_start(reader: ObjectReader | None) -> ColdStart | None:
    if reader is None:
        return None
    cold_start = ColdStart(
        duration_s=reader.read_positive_number("duration_s", maximum=DURATION_MAX_S),
        requests_per_s=reader.read_positive_number(
            "requests_per_s", maximum=RATE_MAX_PER_S
        ),
    )
    reader.report_unknown_fields()
    return cold_start


def _read_duration_s(reader: ObjectReader, name: str) -> float:
    return (
        reader.read_positive_number(name, maximum=DURATION_MAX_S)
        if reader.has_field(name)
        else 0.0
    )


def _read_route(reader: ObjectReader, keyed: bool) -> Route:
    method = reader.read_string("method")
    if reader.is_string("method") and method not in HTTP_METHODS:
        reader.add_finding("method", f"The method must be one of {_METHOD_LIST}.")
    path = reader.read_string("path")
    if reader.is_string("path"):
        _check_path(reader, path, keyed)
    by_prefix = reader.read_flag("by_prefix", False)
    deferrable = reader.read_flag("deferrable", False)
    default_timeout_s = (
        DEFAULT_DEFERRABLE_TIMEOUT_S if deferrable else DEFAULT_TIMEOUT_S
    )
    route = Route(
        method=method,
        path=path,
        idempotent=reader.read_flag("idempotent"),
        tenant_key=reader.read_choice(
            "tenant_key", TenantKeyRule, TenantKeyRule.REQUIRED
        ),
        deferrable=deferrable,
        timeout_s=reader.read_positive_number(
            "timeout_s", default_timeout_s, DURATION_MAX_S
        ),
        name=reader.read_string("name", ""),
        host=reader.read_string("host", ""),
        by_prefix=by_prefix,
        priority=reader.read_integer("priority", 0, PRIORITY_MAX, 0),
        target_latency_s=_read_duration_s(reader, "target_latency_s") or None,
        attempts_max=reader.read_integer(
            "attempts_max", 1, ATTEMPTS_MAX, DEFAULT_ATTEMPTS_MAX
        ),
        split=tuple(
            _read_split_part(ObjectReader(value, path, reader.findings))
            for value, path in reader.read_items("split", SERVICES_MAX, optional=True)
        ),
    )
    reader.report_unknown_fields()
    return route


def _read_split_part(reader: ObjectReader) -> SplitPart:
    part = SplitPart(
        service=reader.read_name("service"),
        weight=reader.read_positive_number("weight", maximum=WEIGHT_MAX),
    )
    reader.report_unknown_fields()
    return part


_METHOD_LIST: Final = ", ".join(sorted(HTTP_METHODS))


def _check_path(reader: ObjectReader, path: str, keyed: bool) -> None:
    if not path.startswith("/") or len(path) > PATH_MAX_CHARACTERS:
        limit = f"have at most {PATH_MAX_CHARACTERS} characters"
        reader.add_finding("path", f"The path must start with '/' and {limit}.")
        return
    segments = path[1:].split("/")
    key_count = segments.count(KEY_SEGMENT)
    literals = [s for s in segments if s != KEY_SEGMENT] if path != "/" else []
    for segment in literals:
        if not _SEGMENT_PATTERN.fullmatch(segment) or segment in (".", ".."):
            reader.add_finding(
                "path",
                f"The segment {segment[:64]!a} must be {KEY_SEGMENT} or consist of "
                "unescaped path characters, and not be '.' or '..'.",
            )
    if key_count > 1:
        reader.add_finding("path", f"The path may have only one {KEY_SEGMENT} segment.")
    if keyed and key_count == 0:
        reader.add_finding(
            "path", f"A route of a keyed service needs a {KEY_SEGMENT} segment."
        )


def _read_backend_server(
    reader: ObjectReader, slots: int | None, connections: int | None
) -> BackendServerEntry:
    entry = BackendServerEntry(
        name=reader.read_name(),
        address=reader.read_address("address"),
        data_centre=reader.read_name("data_centre"),
        slots=_read_server_count(reader, "slots", SLOTS_MAX, slots),
        connections=_read_server_count(
            reader, "connections", CONNECTIONS_MAX, connections
        ),
        state=reader.read_choice("state", BackendServerState, BackendServerState.IN),
    )
    reader.report_unknown_fields()
    return entry


def _read_server_count(
    reader: ObjectReader, name: str, maximum: int, default: int | None
) -> int:
    if default is not None:
        return reader.read_integer(name, 1, maximum, default)
    if not reader.has_field(name) and reader.is_object:
        reader.add_finding(name, "The field is missing here and in the service.")
        return 1
    return reader.read_integer(name, 1, maximum)


def _read_organisation(reader: ObjectReader) -> Organisation:
    organisation = Organisation(
        name=reader.read_name(),
        rate_per_s=reader.read_positive_number("rate_per_s", maximum=RATE_MAX_PER_S),
        burst=reader.read_positive_number("burst", maximum=BURST_MAX),
        weight=reader.read_positive_number("weight", DEFAULT_WEIGHT, WEIGHT_MAX),
        tenant_keys=_read_tenant_keys(reader),
        priority=(
            reader.read_integer("priority", 0, PRIORITY_MAX)
            if reader.has_field("priority")
            else None
        ),
    )
    reader.report_unknown_fields()
    return organisation


def _read_tenant_keys(reader: ObjectReader) -> tuple[TenantKeyHash, ...]:
    keys = reader.read_items(
        "tenant_keys", TENANT_KEYS_PER_ORGANISATION_MAX, optional=True
    )
    return tuple(
        _read_tenant_key(ObjectReader(value, path, reader.findings))
        for value, path in keys
    )


def _read_tenant_key(reader: ObjectReader) -> TenantKeyHash:
    key = TenantKeyHash(
        key_id=reader.read_matching_string(
            "key_id", KEY_ID_PATTERN, "1 to 64 letters, digits or '-'"
        ),
        salt=reader.read_matching_string(
            "salt", _SALT_PATTERN, "32 lower-case hexadecimal digits"
        ),
        sha256=reader.read_matching_string(
            "sha256", _SHA256_PATTERN, "64 lower-case hexadecimal digits"
        ),
    )
    reader.report_unknown_fields()
    return key
