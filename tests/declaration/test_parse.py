"""Tests the declaration parser; what it accepts is applied by every instance."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from wagtailrill.declaration.const import DECLARATION_MAX_BYTES
from wagtailrill.declaration.models import BackendServerState
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.declaration.text import to_json

EXAMPLES = Path(__file__).parents[2] / "examples"
DECLARATION = json.loads((EXAMPLES / "piraeus" / "services.json").read_text())
SERVER = ("services", 0, "backend_servers", 0)
ORGANISATION = ("organisations", 0)
ROUTE = ("services", 0, "routes", 0)
DELETED = object()


def format_changed_example(location, value):
    """Return the JSON text of the example with the value at one location changed."""
    document = json.loads(json.dumps(DECLARATION))
    *parents, last = location
    target = document
    for step in parents:
        target = target[step]
    if value is DELETED:
        del target[last]
    else:
        target[last] = value
    return json.dumps(document)


def list_findings(text):
    """Return the path and message of each finding."""
    return [
        (f.path, f.message) for f in parse_declaration(text).swap().default_value(())
    ]


OTHER_SERVER = DECLARATION["services"][0]["backend_servers"][1]
FAULTS = [
    (("deployment",), 5, "$.deployment", "must be a string, not a number"),
    (("deployment",), DELETED, "$.deployment", "missing"),
    (("deployment",), "Bad Name", "$.deployment", "lower-case"),
    (("services",), {}, "$.services", "must be an array, not an object"),
    (("services", 1), None, "$.services[1]", "must be an object, not null"),
    (("colour",), 1, "$.colour", "unknown"),
    (("odd name",), 1, '$["odd name"]', "unknown"),
    ((*SERVER, "slots"), 0, "$.services[0].backend_servers[0].slots", "between 1"),
    ((*SERVER, "slots"), True, "$.services[0].backend_servers[0].slots", "an integer"),
    ((*SERVER, "slots"), 1.5, "$.services[0].backend_servers[0].slots", "an integer"),
    (("services", 2, "connections"), 0, "$.services[2].connections", "between 1"),
    (
        ("services", 0, "slots"),
        DELETED,
        "$.services[0].backend_servers[0].slots",
        "missing here and in the service",
    ),
    ((*SERVER, "state"), "up", "$.services[0].backend_servers[0].state", '"leaving"'),
    ((*SERVER, "address"), "box:80", "$.services[0].backend_servers[0].address", "IP"),
    ((*SERVER, "address"), "::1:80", "$.services[0].backend_servers[0].address", "IP"),
    ((*SERVER, "address"), "1.2.3.4:0", "$.services[0].backend_servers[0].address", ""),
    (
        (*SERVER, "address"),
        OTHER_SERVER["address"],
        "$.services[0].backend_servers[1].address",
        "already given at $.services[0].backend_servers[0]",
    ),
    (
        (*SERVER, "name"),
        OTHER_SERVER["name"],
        "$.services[0].backend_servers[1].name",
        "already given",
    ),
    (
        (*SERVER, "data_centre"),
        "crete",
        "$.services[0].backend_servers[0].data_centre",
        "'crete' is unknown",
    ),
    (("services", 1, "name"), "ledgerroll", "$.services[1].name", "already given"),
    (("services", 0, "depends_on"), ["x"], "$.services[0].depends_on[0]", "unknown"),
    (
        ("services", 0, "depends_on"),
        ["boxfinder"],
        "$.services[0].depends_on",
        "ledgerroll -> boxfinder -> ledgerroll",
    ),
    (
        ("services", 0, "depends_on"),
        ["ledgerroll"],
        "$.services[0].depends_on",
        "ledgerroll -> ledgerroll",
    ),
    ((*ROUTE, "path"), "/ledger", "$.services[0].routes[0].path", "keyed service"),
    ((*ROUTE, "path"), "/a/{id}/{key}", "$.services[0].routes[0].path", "{id}"),
    ((*ROUTE, "path"), "/a/../{key}", "$.services[0].routes[0].path", ".."),
    ((*ROUTE, "path"), "/{key}/{key}", "$.services[0].routes[0].path", "only one"),
    ((*ROUTE, "path"), "a/{key}", "$.services[0].routes[0].path", "start with"),
    ((*ROUTE, "method"), "CONNECT", "$.services[0].routes[0].method", "one of"),
    ((*ROUTE, "idempotent"), DELETED, "$.services[0].routes[0].idempotent", "missing"),
    ((*ROUTE, "timeout_s"), 0, "$.services[0].routes[0].timeout_s", "positive"),
    (
        ("services", 1, "routes", 0, "path"),
        "/ledger/{key}",
        "$.services[1].routes[0].path",
        "already given at $.services[0].routes[0].path",
    ),
    ((*ORGANISATION, "rate_per_s"), -1, "$.organisations[0].rate_per_s", "positive"),
    ((*ORGANISATION, "burst"), float("inf"), "$.organisations[0].burst", "finite"),
    ((*ORGANISATION, "weight"), float("nan"), "$.organisations[0].weight", "finite"),
    ((*ORGANISATION, "burst"), 10**400, "$.organisations[0].burst", "finite"),
    (
        (*ORGANISATION, "tenant_keys", 0, "salt"),
        "00",
        "$.organisations[0].tenant_keys[0].salt",
        "32",
    ),
    (("data_centres", 1, "name"), "piraeus-a", "$.data_centres[1].name", "already"),
    (("data_centres",), [{"name": "a"}] * 65, "$.data_centres", "more than 64"),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: f"{fault[2]}")
def test_invalid_value_is_reported_at_its_path(fault):
    """Guards against an invalid value that is accepted, or reported at another path."""
    location, value, path, part = fault
    found = list_findings(format_changed_example(location, value))
    assert any(p == path and part in message for p, message in found), found


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ('{\n "a": }', "line 2, column 7"),
        ("", "line 1, column 1"),
        ("[" * 100_000, "nested too deeply"),
        (b"\xff", "UTF-8"),
        ('{"a": ' + "9" * 5000 + "}", "too many digits"),
        (" " * (DECLARATION_MAX_BYTES + 1), "longer than"),
        ("3", "must be an object"),
    ],
)
def test_text_that_is_no_declaration_gives_one_finding(text, part):
    """Guards against an unreadable text that raises, which would end the process."""
    found = list_findings(text)
    assert [p for p, _ in found] == ["$"]
    assert part in found[0][1]


def test_findings_are_reported_together():
    """Guards against a parser that stops at the first finding.

    Operators would see the next finding only after they had fixed the first one.
    """
    text = '{"deployment": "d", "deployment": "d", "services": [{}], "x": 1}'
    found = dict(list_findings(text))
    assert {"$.deployment", "$.services[0].name", "$.x", "$.organisations"} <= set(
        found
    )
    assert "more than once" in found["$.deployment"]


@pytest.mark.parametrize("name", ["piraeus", "railcard"])
def test_example_round_trips_through_its_text(name):
    """Guards against a declaration that changes when it is written and parsed again."""
    declaration = parse_declaration((EXAMPLES / name / "services.json").read_text()).ok
    assert parse_declaration(to_json(declaration)).ok == declaration
    assert to_json(parse_declaration(to_json(declaration)).ok) == to_json(declaration)


def test_backend_server_overrides_the_service_default():
    """Guards against a service default that replaces a backend server's own slots."""
    text = format_changed_example((*SERVER, "slots"), 9)
    servers = parse_declaration(text).ok.services[0].backend_servers
    assert (servers[0].slots, servers[1].slots) == (9, 6)
    assert servers[0].state is BackendServerState.IN
    assert (
        parse_declaration(to_json(parse_declaration(text).ok)).ok
        == parse_declaration(text).ok
    )


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["in", "GET", "/a/{key}", "piraeus-a", "127.0.0.1:1"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
LOCATIONS = st.sampled_from(sorted({fault[0] for fault in FAULTS}, key=str))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(LOCATIONS, JSON_VALUES)
def test_changed_declaration_never_raises(location, value):
    """Guards against an invalid value that raises, which would end the process."""
    result = parse_declaration(format_changed_example(location, value))
    if result.is_ok():
        assert parse_declaration(to_json(result.ok)).ok == result.ok
    else:
        assert all(str(f).isprintable() for f in result.error)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary() | st.text() | JSON_VALUES.map(json.dumps))
def test_arbitrary_text_gives_findings(text):
    """Guards against an arbitrary text that is accepted, or that raises."""
    assert parse_declaration(text).is_error()
