"""Tests changes of the stored declaration under conflicts and lost answers."""

import anyio
import attrs
import pytest
from expression import Error

from tests.declaration.test_parse import EXAMPLES
from wagtailrill.cli.const import ExitCode
from wagtailrill.cli.declaration_store import DeclarationStore
from wagtailrill.cli.store_commands import (
    async_apply_declaration,
    async_export_declaration,
    async_grant_tenant_key,
    async_set_data_centre_state,
    async_withdraw_tenant_keys,
)
from wagtailrill.core.request_models import Headers
from wagtailrill.declaration.models import Configuration, DataCentreState
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.declaration.text import to_json
from wagtailrill.organisations.keys import TenantKeys
from wagtailrill.stand_ins.store_model import StoreModel
from wagtailrill.store.models import Commit, StoreAnswer, StoreError, StoreErrorKind

OLD_DECLARATION = parse_declaration(
    (EXAMPLES / "piraeus" / "services.json").read_text()
).ok
NEW_DECLARATION = attrs.evolve(
    OLD_DECLARATION,
    data_centres=(*OLD_DECLARATION.data_centres[1:], OLD_DECLARATION.data_centres[0]),
)
OTHER_DECLARATION = attrs.evolve(
    OLD_DECLARATION, organisations=OLD_DECLARATION.organisations[1:]
)
DECLARATION_KEY = "piraeus/config"
NO_ANSWER = Error(StoreError(StoreErrorKind.NO_ANSWER, "no answer"))
INVALID = Error(StoreError(StoreErrorKind.INVALID, "invalid"))
ERRORS_WITHOUT_EFFECT = {"refuse": NO_ANSWER, "invalid": INVALID}


class FaultyStore:
    """Implements `Store` with a list of faults; each write uses up one.

    "race": another operator writes first; "refuse": the write has no effect and no
    answer; "lose": it takes effect, but its answer is lost; "invalid": the store does
    not accept it.
    """

    def __init__(self, faults=()):
        self.model = StoreModel()
        self.faults = list(faults)
        self.put_declaration(OLD_DECLARATION)

    def put_declaration(self, declaration):
        self.model.put_item(DECLARATION_KEY, to_json(declaration).encode())

    def get_declaration(self):
        (item,) = self.model.list_items(DECLARATION_KEY)
        return parse_declaration(item.value).ok

    async def async_call(self, operation):
        is_write = isinstance(operation, Commit)
        fault = self.faults.pop(0) if self.faults and is_write else ""
        if fault == "race":
            self.put_declaration(OTHER_DECLARATION)
        if fault in ERRORS_WITHOUT_EFFECT:
            return StoreAnswer(ERRORS_WITHOUT_EFFECT[fault])
        result = self.model.apply_operation(operation, 0.0)
        if fault == "lose, then race":
            self.put_declaration(OTHER_DECLARATION)
        answer = NO_ANSWER if fault.startswith("lose") else result
        return StoreAnswer(answer, self.model.era)


def run_with_faults(async_command, faults=(), **options):
    store = FaultyStore(faults)

    async def async_main():
        declarations = DeclarationStore(store, "piraeus", retry_max_s=1.0)
        return await async_command(declarations, **options)

    return store, anyio.run(async_main)


def apply_new_declaration(store, **options):
    return async_apply_declaration(store, NEW_DECLARATION, **options)


APPLY_CASES = {
    "no fault": ((), {}, ExitCode.OK, NEW_DECLARATION, "accepted"),
    "dry run": (
        (),
        {"dry_run": True},
        ExitCode.OK,
        OLD_DECLARATION,
        "order of entries",
    ),
    "answer lost after the effect": (
        ("lose",),
        {},
        ExitCode.OK,
        NEW_DECLARATION,
        "accepted",
    ),
    "write lost": (("refuse",), {}, ExitCode.OK, NEW_DECLARATION, "accepted"),
    "invalid": (("invalid",), {}, ExitCode.REFUSED, OLD_DECLARATION, "exceeds"),
    "invalid after a lost answer": (
        ("refuse",) + ("invalid",) * 99,
        {},
        ExitCode.UNREACHABLE,
        OLD_DECLARATION,
        "may have",
    ),
    "other operator first": (
        ("race",),
        {},
        ExitCode.CONFLICT,
        OTHER_DECLARATION,
        "- organisation",
    ),
    "other operator after a lost answer": (
        ("lose, then race",),
        {},
        ExitCode.CONFLICT,
        OTHER_DECLARATION,
        "may have taken effect",
    ),
    "old base": (
        (),
        {"base_version": 9},
        ExitCode.CONFLICT,
        OLD_DECLARATION,
        "version 2",
    ),
    "store silent": (
        ("refuse",) * 99,
        {},
        ExitCode.UNREACHABLE,
        OLD_DECLARATION,
        "may have",
    ),
}


@pytest.mark.parametrize("fault", APPLY_CASES)
def test_apply_reports_the_actual_outcome(fault):
    """Guards against overwritten changes and wrong reports of a write's outcome."""
    faults, options, code, stored, part = APPLY_CASES[fault]
    store, result = run_with_faults(apply_new_declaration, faults, **options)
    assert result.exit_code is code
    assert store.get_declaration() == stored
    assert any(part in line for line in result.lines), result.lines


@pytest.mark.parametrize("faults", [(), ("race",), ("lose",), ("lose, then race",)])
def test_data_centre_is_taken_out_despite_conflicts(faults):
    """Guards against a data centre that stays in service after a reported success."""

    def command(store):
        return async_set_data_centre_state(store, "volos-a", DataCentreState.OUT)

    store, result = run_with_faults(command, faults)
    assert result.exit_code is ExitCode.OK
    assert store.get_declaration().data_centres[3].state is DataCentreState.OUT
    removed_by_race = "race" in "".join(faults)
    assert len(store.get_declaration().organisations) == 8 - removed_by_race


@pytest.mark.parametrize("faults", [(), ("lose",), ("race",)])
def test_granted_key_authenticates(faults):
    """Guards against tenant keys that are shown but not stored."""
    store, result = run_with_faults(
        lambda s: async_grant_tenant_key(s, "night-survey"), faults
    )
    assert result.exit_code is ExitCode.OK
    headers: Headers = ((b"x-tenant-key", result.fields["tenant_key"].encode()),)
    keys = TenantKeys()
    keys.configure(Configuration(1, store.get_declaration()))
    assert keys.authenticate(headers).ok.organisation == "night-survey"
    assert result.fields["tenant_key"] not in to_json(store.get_declaration())


def test_withdrawal_removes_the_keys_and_refuses_unknown_names():
    """Guards against a withdrawal that reports success without effect."""
    store, result = run_with_faults(
        lambda s: async_withdraw_tenant_keys(s, "night-survey", None)
    )
    assert result.exit_code is ExitCode.OK
    assert store.get_declaration().organisations[7].tenant_keys == ()
    for name, key_id in (("x", None), ("night-survey", "x")):
        _, result = run_with_faults(
            lambda s, n=name, k=key_id: async_withdraw_tenant_keys(s, n, k)
        )
        assert result.exit_code is ExitCode.REFUSED


def test_export_returns_what_apply_accepts():
    """Guards against an export that changes the configuration."""
    _, result = run_with_faults(async_export_declaration)
    assert parse_declaration(result.lines[0]).ok == OLD_DECLARATION


def test_base_version_of_before_a_restore_is_a_conflict():
    """Guards against replacing a change that a restored store gave the same version."""
    store = FaultyStore()
    store.model.apply_operation(Commit(()), 0.0)
    results = []

    async def async_main():
        declarations = DeclarationStore(store, "piraeus", retry_max_s=1.0)
        await async_apply_declaration(declarations, NEW_DECLARATION)
        exported = await async_export_declaration(declarations)
        store.model.restore_copy(10.0, 1.0)
        while store.model.revision + 1 < exported.fields["version"]:
            store.model.put_item("other", b"")
        store.put_declaration(OTHER_DECLARATION)
        results.append(
            await async_apply_declaration(
                declarations, NEW_DECLARATION, base_version=exported.fields["version"]
            )
        )

    anyio.run(async_main)
    assert results[0].exit_code is ExitCode.CONFLICT
