"""Tests the declaration changes that operators make with the command-line tool."""

import pytest

from tests.declaration.test_parse import EXAMPLES
from wagtailrill.declaration.difference import diff_declarations
from wagtailrill.declaration.models import (
    BackendServerState,
    DataCentreState,
    TenantKeyHash,
)
from wagtailrill.declaration.mutations import (
    add_tenant_key,
    set_backend_server_state,
    set_data_centre_state,
    withdraw_tenant_key,
)
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.declaration.text import to_json

OLD = parse_declaration((EXAMPLES / "piraeus" / "services.json").read_text()).ok
KEY = TenantKeyHash("k1", "0" * 32, "1" * 64)
FIRST_ID = OLD.organisations[0].tenant_keys[0].key_id


@pytest.mark.parametrize(
    ("result", "lines"),
    [
        (
            set_data_centre_state(OLD, "volos-a", DataCentreState.OUT),
            ("~ data centre volos-a: state in -> out",),
        ),
        (
            set_backend_server_state(OLD, "box-02", BackendServerState.LEAVING),
            ("~ service boxfinder: backend server box-02: state in -> leaving",),
        ),
        (
            add_tenant_key(OLD, "night-survey", KEY),
            ("+ organisation night-survey: tenant key k1",),
        ),
        (
            withdraw_tenant_key(OLD, "aegean-lines", FIRST_ID),
            (f"- organisation aegean-lines: tenant key {FIRST_ID}",),
        ),
        (
            withdraw_tenant_key(OLD, "aegean-lines"),
            (f"- organisation aegean-lines: tenant key {FIRST_ID}",),
        ),
    ],
)
def test_mutation_changes_only_its_entry(result, lines):
    """Guards against a command that also changes or shows another entry."""
    assert diff_declarations(OLD, result.ok) == lines
    assert diff_declarations(OLD, OLD) == ()
    assert parse_declaration(to_json(result.ok)).ok == result.ok


@pytest.mark.parametrize(
    "result",
    [
        set_data_centre_state(OLD, "x", DataCentreState.OUT),
        set_backend_server_state(OLD, "x", BackendServerState.IN),
        add_tenant_key(OLD, "x", KEY),
        add_tenant_key(OLD, "night-survey", OLD.organisations[0].tenant_keys[0]),
        withdraw_tenant_key(OLD, "x"),
        withdraw_tenant_key(OLD, "aegean-lines", "x"),
    ],
)
def test_unknown_or_used_name_is_refused(result):
    """Guards against a command that reports success for a mistyped name."""
    assert result.is_error()
