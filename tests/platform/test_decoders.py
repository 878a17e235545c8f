"""Guards the decoders of the platform's configuration, server entries and settings."""

import copy
import json
import math

import pytest
from hypothesis import given, strategies as st

from wagtailrill.core.json_fields import INTEGER_MAX, NUMBER_MAX, FieldError
from wagtailrill.declaration.models import PRIORITY_MAX, TenantKeyRule
from wagtailrill.platform.configuration import PlatformConfigurationDecoder
from wagtailrill.platform.discovery import PlatformEntryDecoder
from wagtailrill.platform.settings import parse_settings
from wagtailrill.platform.units import parse_duration_s
from wagtailrill.servers.models import CONNECTIONS_MAX, ServerState
from wagtailrill.store.models import Item

CONFIGURATION = {
    "version": "r7",
    "routes": {
        "columns": [
            *("name", "host", "prefix", "kind", "timeout", "target_latency"),
            *("priority", "service", "max_attempts", "public", "traffic_split"),
        ],
        "rows": [
            [
                *("r-1", "A.example", "/x/", "unsafe", "1000ms", "500ms"),
                *(1, "desk", 2, False, None),
            ],
            [
                *("r-2", "b.example", "/y/", "safe", "800ms", "0.4s"),
                *(2, None, 2, True),
                [{"service": "box", "weight": 90}, {"service": "roll", "weight": 10}],
            ],
        ],
    },
    "services": {
        "columns": ["name", "max_connections", "warmup", "warmup_per_s", "sharded"],
        "rows": [
            ["desk", 120, "3s", 10.0, None],
            ["box", 120, "3s", 10.0, None],
            ["roll", 120, "3s", 10.0, True],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "tenants": {
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
        "rows": [["lines", ["k1", "k2"], 0, 153, 150], ["free", ["k3"], None, 0, 5]],
    },
}
ENTRY = {
    "service": "box",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmup_left": "1500ms",
    "seq": 4,
    "born": 1_767_728_614_392,
}
SETTINGS = """
node = "n-1"
zone = "north"
region = "sea"
ip = "10.1.0.37"
internal_ports = [7560,7575]
heartbeat = "870ms"
a_new_field = 5
bounds = ["drain=2500ms","grace=6s","quota_over=0.1","quota_slack=20","unknown=1"]
[zones]
north = "sea"
[listen]
front = "10.1.0.37:8388"
ready = "10.1.0.37:8384"
[limits]
cpu_share = 0.86
memory_mb = 300
max_fds = 4100
[platform]
address = "10.200.1.7:8382"
"""
CONFIGURATION_DECODER = PlatformConfigurationDecoder({"north": "sea"})


def decode_configuration(fields):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return CONFIGURATION_DECODER.decode(Item("op/config", value, 5))


def test_configuration_is_decoded_into_a_declaration():
    """Guards against routes, rates or limits that are decoded wrongly."""
    declaration = decode_configuration(CONFIGURATION).ok
    service_by_name = {service.name: service for service in declaration.services}
    (desk_route,) = service_by_name["desk"].routes
    assert (desk_route.host, desk_route.path, desk_route.idempotent) == (
        "a.example",
        "/x/",
        False,
    )
    assert (desk_route.timeout_s, desk_route.target_latency_s, desk_route.priority) == (
        1.0,
        0.5,
        1,
    )
    assert desk_route.tenant_key is TenantKeyRule.REQUIRED
    (split_route,) = service_by_name["box"].routes
    assert [(p.service, p.weight) for p in split_route.split] == [
        ("box", 90),
        ("roll", 10),
    ]
    assert split_route.tenant_key is TenantKeyRule.NONE
    assert service_by_name["roll"].keyed
    assert not service_by_name["box"].keyed
    assert service_by_name["box"].cold_start.requests_per_s == 10.0
    lines, free = declaration.organisations
    assert (lines.rate_per_s, lines.burst, len(lines.tenant_keys)) == (153, 150, 2)
    assert math.isinf(free.rate_per_s)
    assert declaration.caller_limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("routes", "rows", 0, 3), 5),
        (("routes", "rows", 0, 3), None),
        (("routes", "rows", 0, 0), "r-1\r\nx: 1"),
        (("tenants", "rows", 0, 0), "lines\r\nx: 1"),
        (("routes", "rows", 0, 4), "soon"),
        (("routes", "rows", 0, 4), None),
        (("routes", "rows", 0, 7), "nowhere"),
        (("services", "rows", 0, 1), -4),
        (("services", "rows", 0, 1), 1.5),
        (("services", "rows", 0, 3), -1e308),
        (("tenants", "rows", 0, 3), math.nan),
        (("tenants", "rows", 0, 2), -1),
        (("tenants", "rows", 0, 3), "many"),
        (("limits", "max_body_bytes"), 0),
        (("routes", "columns"), "name"),
    ],
)
def test_malformed_configuration_value_is_rejected(path, value):
    """Guards against a malformed or out-of-range value that takes effect or raises."""
    fields = json.loads(json.dumps(CONFIGURATION))
    parent = fields
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    assert decode_configuration(fields).is_error()


@pytest.mark.parametrize("figure", [10**9, 10**13, 1e308, 10**400, "1e999"])
@pytest.mark.parametrize(
    ("path", "bound"),
    [
        (("routes", "rows", 0, 6), PRIORITY_MAX),
        (("routes", "rows", 0, 8), INTEGER_MAX),
        (("services", "rows", 0, 1), CONNECTIONS_MAX),
        (("services", "rows", 0, 3), NUMBER_MAX),
        (("tenants", "rows", 0, 2), PRIORITY_MAX),
        (("tenants", "rows", 0, 3), NUMBER_MAX),
        (("tenants", "rows", 0, 4), NUMBER_MAX),
        (("limits", "max_header_bytes"), INTEGER_MAX),
        (("limits", "max_body_bytes"), INTEGER_MAX),
    ],
)
def test_large_figure_is_lowered_to_the_largest_usable_one(path, bound, figure):
    """Guards against a version that is refused as a whole for one large figure.

    The store accepts only valid configurations: with `max_connections` 10^9 or a rate
    beyond 10^12 a version never came into force.
    """
    value = encode_with(path, figure)
    lowered = encode_with(path, min(bound, figure if figure != "1e999" else math.inf))
    assert decode_configuration(value).ok == decode_configuration(lowered).ok


def encode_with(path, figure):
    """Return the encoded configuration with a figure in the place of another."""
    fields = copy.deepcopy(CONFIGURATION)
    parent = fields
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = figure
    return json.dumps(fields).replace('"1e999"', "1e999").encode()


@pytest.mark.parametrize("largest", [10**13, 1e200, 10**300])
def test_large_weights_of_a_split_keep_their_ratio(largest):
    """Guards against a split that is refused, or shared evenly, for large weights."""
    fields = copy.deepcopy(CONFIGURATION)
    small = largest // 4 if isinstance(largest, int) else largest / 4
    fields["routes"]["rows"][1][10] = [
        {"service": "box", "weight": largest},
        {"service": "roll", "weight": small},
    ]
    service_by_name = {s.name: s for s in decode_configuration(fields).ok.services}
    (route,) = service_by_name["box"].routes
    weights = [part.weight for part in route.split]
    assert weights[0] == pytest.approx(4.0 * weights[1])
    assert sum(weights) <= 2.0 * NUMBER_MAX


@pytest.mark.parametrize("field", ["header_timeout", "idle_timeout"])
def test_long_duration_of_a_configuration_is_lowered(field):
    """Guards against a version that is refused as a whole for one long duration."""
    fields = copy.deepcopy(CONFIGURATION)
    fields["limits"][field] = "9" * 400 + "s"
    assert decode_configuration(fields).is_ok()


def test_large_responses_are_those_of_an_idempotent_route():
    """Guards against a kind of the platform for which no configuration is accepted."""
    fields = json.loads(json.dumps(CONFIGURATION))
    fields["routes"]["rows"][0][3] = "download"
    declaration = decode_configuration(fields).ok
    (route,) = next(s for s in declaration.services if s.name == "desk").routes
    assert route.idempotent
    assert not declaration.findings


def test_route_of_an_unknown_kind_is_served_and_runs_once():
    """Guards against one new word that stops the whole product.

    Instances refused the configuration of kendong-gw for one kind that they did not
    know, and answered nothing but 503.
    """
    fields = json.loads(json.dumps(CONFIGURATION))
    fields["routes"]["rows"][0][3] = "stream"
    declaration = decode_configuration(fields).ok
    (route,) = next(s for s in declaration.services if s.name == "desk").routes
    assert not route.idempotent
    (finding,) = declaration.findings
    assert finding.path == "$.routes[r-1].kind"
    assert "'stream'" in finding.message


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_configuration_that_is_no_json_object_is_rejected(value):
    """Guards against bytes whose decoding raises, which would end the process."""
    assert decode_configuration(value).is_error()


def test_evacuated_zones_are_closed_data_centres():
    """Guards against requests to a zone that the operator is evacuating."""
    keys = frozenset({"op/config", "op/evacuate/north"})
    assert CONFIGURATION_DECODER.list_closed_data_centres(keys) == frozenset({"north"})


def decode_entry(fields):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return PlatformEntryDecoder().decode(Item("servers/i-1", value, 9))


def test_entry_is_decoded_into_a_server():
    """Guards against a cold or restarted server that is taken for its predecessor."""
    entry = decode_entry(ENTRY).ok
    assert (entry.name, entry.service, entry.slots) == ("i-1", "box", 6)
    assert entry.cold_left_s == 1.5
    assert entry.state is ServerState.READY
    assert decode_entry(ENTRY | {"born": 5}).ok.start_id != entry.start_id


@pytest.mark.parametrize(
    "fields",
    [
        b"",
        b"\xff\xfe",
        b"null",
        ENTRY | {"state": "resting"},
        ENTRY | {"slots": 0},
        ENTRY | {"slots": "6"},
        ENTRY | {"service": 4},
        ENTRY | {"warmup_left": 1500},
        ENTRY | {"address": "nowhere"},
        {k: v for k, v in ENTRY.items() if k != "address"},
        {k: v for k, v in ENTRY.items() if k != "zone"},
    ],
)
def test_malformed_entry_is_rejected(fields):
    """Guards against malformed entries, which any writer can store, that are used."""
    assert decode_entry(fields).is_error()


@given(st.binary(max_size=200))
def test_decoding_arbitrary_entry_never_raises(value):
    """Guards against an entry whose decoding raises, which would end the process."""
    decode_entry(value)


def test_settings_are_parsed_and_unknown_fields_ignored():
    """Guards against a field that the platform adds and that stops every instance."""
    cfg = parse_settings(SETTINGS.encode()).ok
    assert (cfg.instance, cfg.data_centre, cfg.peer_port) == ("n-1", "north", 7560)
    assert cfg.store_address == "10.200.1.7:8382"
    assert (cfg.bounds.leave_s, cfg.bounds.quota_excess) == (2.5, 0.1)
    assert cfg.bounds.retry_share == 0.2


@pytest.mark.parametrize(
    ("line", "replacement"),
    [
        ('zone = "north"', "zone = 4"),
        ("internal_ports = [7560,7575]", "internal_ports = []"),
        ("[platform]", "[elsewhere]"),
        ('"drain=2500ms"', '"drain=soon"'),
        ("memory_mb = 300", "memory_mb = -1"),
        ("[limits]", "[limits"),
    ],
)
def test_malformed_settings_are_rejected(line, replacement):
    """Guards against a process that runs with settings which it misunderstands."""
    assert parse_settings(SETTINGS.replace(line, replacement).encode()).is_error()


@pytest.mark.parametrize(
    ("text", "expected_s"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_durations_are_parsed_in_seconds(text, expected_s):
    """Guards against milliseconds that are read as seconds."""
    assert parse_duration_s(text, "x") == pytest.approx(expected_s)


@pytest.mark.parametrize("value", ["", "5", "5m", "-1s", "1e3s", "9" * 30 + "s", 4])
def test_malformed_durations_are_rejected(value):
    """Guards against durations that overflow, or whose unit is guessed."""
    with pytest.raises(FieldError):
        parse_duration_s(value, "x")


@pytest.mark.parametrize("api_key", [5, None, "", ["k1"], "\ud800"])
def test_key_that_is_no_text_makes_the_configuration_invalid(api_key):
    """Guards against keys that are dropped silently, and against bytes that raise.

    The holders of a dropped key got 401 and no line said why (issue 22). A lone
    surrogate raised an error that ended the following of the configuration.
    """
    fields = json.loads(json.dumps(CONFIGURATION))
    fields["tenants"]["rows"][0][1] = ["k1", api_key]
    assert "api_keys of lines" in decode_configuration(fields).error.reason


def test_uploads_run_once_without_a_finding():
    """Guards against uploads that are repeated, or reported as an unknown kind."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["routes"]["rows"][1][3] = "upload"
    declaration = decode_configuration(configuration).ok
    (route,) = [r for s in declaration.services for r in s.routes if r.name == "r-2"]
    assert not route.idempotent
    assert declaration.findings == ()
