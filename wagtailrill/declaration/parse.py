"""Parser of the services declaration."""

import re
from typing import Any, Final

from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from .check import ObjectReader, load_json, report_of
from .const import (
    ATTEMPTS_MAX,
    BACKEND_SERVERS_PER_SERVICE_MAX,
    BURST_MAX,
    CALLER_BYTES_MAX,
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

_SEGMENT: Final = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]+")
KEY_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9-]{1,64}")
_SALT: Final = re.compile(r"[0-9a-f]{32}")
_SHA256: Final = re.compile(r"[0-9a-f]{64}")


def parse(text: str | bytes) -> Result[Declaration, tuple[Finding, ...]]:
    """Return the declaration of a JSON text, or all findings together."""
    match load_json(text, DECLARATION_MAX_BYTES):
        case Result(tag="ok", ok=value):
            return _parse_value(value)
        case Result(error=finding):
            return Error((finding,))


def _parse_value(value: Any) -> Result[Declaration, tuple[Finding, ...]]:
    findings = Findings()
    declaration = _declaration(ObjectReader(value, "$", findings))
    check_rules(declaration, findings)
    if findings:
        return Error(report_of(findings))
    return Ok(declaration)


def _declaration(reader: ObjectReader) -> Declaration:
    found = reader.findings
    deployment = reader.name("deployment")
    data_centres = tuple(
        _data_centre(ObjectReader(value, path, found))
        for value, path in reader.items("data_centres", DATA_CENTRES_MAX)
    )
    services = tuple(
        _service(ObjectReader(value, path, found))
        for value, path in reader.items("services", SERVICES_MAX)
    )
    organisations = tuple(
        _organisation(ObjectReader(value, path, found))
        for value, path in reader.items("organisations", ORGANISATIONS_MAX)
    )
    caller_limits = _caller_limits(reader.nested("caller_limits"))
    reader.finish()
    return Declaration(deployment, data_centres, services, organisations, caller_limits)


def _data_centre(reader: ObjectReader) -> DataCentre:
    data_centre = DataCentre(
        name=reader.name(),
        region=reader.name("region", "default"),
        state=reader.choice("state", DataCentreState, DataCentreState.IN),
    )
    reader.finish()
    return data_centre


def _caller_limits(reader: ObjectReader | None) -> CallerLimits | None:
    if reader is None:
        return None
    limits = CallerLimits(
        header_max_bytes=reader.integer("header_max_bytes", 1, CALLER_BYTES_MAX),
        body_max_bytes=reader.integer("body_max_bytes", 1, CALLER_BYTES_MAX),
        header_timeout_s=reader.positive("header_timeout_s", maximum=DURATION_MAX_S),
        idle_timeout_s=reader.positive("idle_timeout_s", maximum=DURATION_MAX_S),
    )
    reader.finish()
    return limits


def _service(reader: ObjectReader) -> Service:
    found = reader.findings
    name = reader.name()
    keyed = reader.flag("keyed", False)
    slots = _service_count(reader, "slots", SLOTS_MAX)
    connections = _service_count(reader, "connections", CONNECTIONS_MAX)
    routes = tuple(
        _route(ObjectReader(value, path, found), keyed)
        for value, path in reader.items("routes", ROUTES_PER_SERVICE_MAX)
    )
    servers = tuple(
        _backend_server(ObjectReader(value, path, found), slots, connections)
        for value, path in reader.items(
            "backend_servers", BACKEND_SERVERS_PER_SERVICE_MAX
        )
    )
    service = Service(
        name=name,
        routes=routes,
        backend_servers=servers,
        depends_on=tuple(
            text for text, _ in reader.texts("depends_on", SERVICES_MAX, optional=True)
        ),
        keyed=keyed,
        checks_grants=reader.flag("checks_grants", False),
        slow_start=_slow_start(reader.nested("slow_start")),
        cold_start=_cold_start(reader.nested("cold_start")),
        connections_max=reader.integer("connections_max", 0, CONNECTIONS_MAX, 0),
        health_path=reader.text("health_path", ""),
        transfer_warm_s=_duration(reader, "transfer_warm_s"),
    )
    reader.finish()
    return service


def _service_count(reader: ObjectReader, name: str, maximum: int) -> int | None:
    return reader.integer(name, 1, maximum) if reader.has(name) else None


def _slow_start(reader: ObjectReader | None) -> SlowStart:
    if reader is None:
        return SlowStart()
    slow_start = SlowStart(
        slots=reader.integer("slots", 1, SLOTS_MAX, DEFAULT_SLOW_START_SLOTS),
        step_s=reader.positive("step_s", DEFAULT_SLOW_START_STEP_S, DURATION_MAX_S),
    )
    reader.finish()
    return slow_start


def _cold_start(reader: ObjectReader | None) -> ColdStart | None:
    if reader is None:
        return None
    cold_start = ColdStart(
        duration_s=reader.positive("duration_s", maximum=DURATION_MAX_S),
        requests_per_s=reader.positive("requests_per_s", maximum=RATE_MAX_PER_S),
    )
    reader.finish()
    return cold_start


def _duration(reader: ObjectReader, name: str) -> float:
    return reader.positive(name, maximum=DURATION_MAX_S) if reader.has(name) else 0.0


def _route(reader: ObjectReader, keyed: bool) -> Route:
    method = reader.text("method")
    if reader.is_text("method") and method not in HTTP_METHODS:
        reader.add("method", f"The method must be one of {_METHOD_LIST}.")
    path = reader.text("path")
    if reader.is_text("path"):
        _check_path(reader, path, keyed)
    by_prefix = reader.flag("by_prefix", False)
    deferrable = reader.flag("deferrable", False)
    default_s = DEFAULT_DEFERRABLE_TIMEOUT_S if deferrable else DEFAULT_TIMEOUT_S
    route = Route(
        method=method,
        path=path,
        idempotent=reader.flag("idempotent"),
        tenant_key=reader.choice("tenant_key", TenantKeyRule, TenantKeyRule.REQUIRED),
        deferrable=deferrable,
        timeout_s=reader.positive("timeout_s", default_s, DURATION_MAX_S),
        name=reader.text("name", ""),
        host=reader.text("host", ""),
        by_prefix=by_prefix,
        priority=reader.integer("priority", 0, PRIORITY_MAX, 0),
        target_latency_s=_duration(reader, "target_latency_s") or None,
        attempts_max=reader.integer(
            "attempts_max", 1, ATTEMPTS_MAX, DEFAULT_ATTEMPTS_MAX
        ),
        split=tuple(
            _split_part(ObjectReader(value, path, reader.findings))
            for value, path in reader.items("split", SERVICES_MAX, optional=True)
        ),
    )
    reader.finish()
    return route


def _split_part(reader: ObjectReader) -> SplitPart:
    part = SplitPart(
        service=reader.name("service"),
        weight=reader.positive("weight", maximum=WEIGHT_MAX),
    )
    reader.finish()
    return part


_METHOD_LIST: Final = ", ".join(sorted(HTTP_METHODS))


def _check_path(reader: ObjectReader, path: str, keyed: bool) -> None:
    if not path.startswith("/") or len(path) > PATH_MAX_CHARACTERS:
        limit = f"have at most {PATH_MAX_CHARACTERS} characters"
        reader.add("path", f"The path must start with '/' and {limit}.")
        return
    segments = path[1:].split("/")
    keys = segments.count(KEY_SEGMENT)
    literals = [s for s in segments if s != KEY_SEGMENT] if path != "/" else []
    for segment in literals:
        if not _SEGMENT.fullmatch(segment) or segment in (".", ".."):
            reader.add(
                "path",
                f"The segment {segment[:64]!a} must be {KEY_SEGMENT} or consist of "
                "unescaped path characters, and not be '.' or '..'.",
            )
    if keys > 1:
        reader.add("path", f"The path may have only one {KEY_SEGMENT} segment.")
    if keyed and keys == 0:
        reader.add("path", f"A route of a keyed service needs a {KEY_SEGMENT} segment.")


def _backend_server(
    reader: ObjectReader, slots: int | None, connections: int | None
) -> BackendServerEntry:
    entry = BackendServerEntry(
        name=reader.name(),
        address=reader.address("address"),
        data_centre=reader.name("data_centre"),
        slots=_count(reader, "slots", SLOTS_MAX, slots),
        connections=_count(reader, "connections", CONNECTIONS_MAX, connections),
        state=reader.choice("state", BackendServerState, BackendServerState.IN),
    )
    reader.finish()
    return entry


def _count(reader: ObjectReader, name: str, maximum: int, default: int | None) -> int:
    if default is not None:
        return reader.integer(name, 1, maximum, default)
    if not reader.has(name) and reader.valid:
        reader.add(name, "The field is missing here and in the service.")
        return 1
    return reader.integer(name, 1, maximum)


def _organisation(reader: ObjectReader) -> Organisation:
    organisation = Organisation(
        name=reader.name(),
        rate_per_s=reader.positive("rate_per_s", maximum=RATE_MAX_PER_S),
        burst=reader.positive("burst", maximum=BURST_MAX),
        weight=reader.positive("weight", DEFAULT_WEIGHT, WEIGHT_MAX),
        tenant_keys=_tenant_keys(reader),
        priority=(
            reader.integer("priority", 0, PRIORITY_MAX)
            if reader.has("priority")
            else None
        ),
    )
    reader.finish()
    return organisation


def _tenant_keys(reader: ObjectReader) -> tuple[TenantKeyHash, ...]:
    keys = reader.items("tenant_keys", TENANT_KEYS_PER_ORGANISATION_MAX, optional=True)
    return tuple(
        _tenant_key(ObjectReader(value, path, reader.findings)) for value, path in keys
    )


def _tenant_key(reader: ObjectReader) -> TenantKeyHash:
    key = TenantKeyHash(
        key_id=reader.matching(
            "key_id", KEY_ID_PATTERN, "1 to 64 letters, digits or '-'"
        ),
        salt=reader.matching("salt", _SALT, "32 lower-case hexadecimal digits"),
        sha256=reader.matching("sha256", _SHA256, "64 lower-case hexadecimal digits"),
    )
    reader.finish()
    return key
