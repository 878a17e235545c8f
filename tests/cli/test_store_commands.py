"""Guards changes of the configuration by operators."""

import anyio
import attrs
import pytest
from expression import Error

from tests.declaration.test_parse import EXAMPLES
from wagtailrill.cli.const import ExitCode
from wagtailrill.cli.declaration_store import DeclarationStore
from wagtailrill.cli.store_commands import (
    async_apply,
    async_export,
    async_grant,
    async_set_data_centre,
    async_withdraw,
)
from wagtailrill.core.request_models import Headers
from wagtailrill.declaration.models import Configuration, DataCentreState
from wagtailrill.declaration.parse import parse_declaration
from wagtailrill.declaration.text import to_json
from wagtailrill.organisations.keys import TenantKeys
from wagtailrill.stand_ins.store_model import StoreModel
from wagtailrill.store.models import Commit, StoreError, StoreErrorKind

OLD = parse_declaration((EXAMPLES / "piraeus" / "services.json").read_text()).ok
NEW = attrs.evolve(OLD, data_centres=(*OLD.data_centres[1:], OLD.data_centres[0]))
OTHER = attrs.evolve(OLD, organisations=OLD.organisations[1:])
KEY = "piraeus/config"
LOST = Error(StoreError(StoreErrorKind.NO_ANSWER, "no answer"))


class FaultyStore:
    """`Store` with faults that are used up one after the other."""

    def __init__(self, faults=()):
        self.model = StoreModel()
        self.faults = list(faults)
        self.put(OLD)

    def put(self, declaration):
        self.model.put(KEY, to_json(declaration).encode())

    def stored(self):
        (item,) = self.model.items(KEY)
        return parse_declaration(item.value).ok

    async def async_call(self, operation):
        is_write = isinstance(operation, Commit)
        fault = self.faults.pop(0) if self.faults and is_write else ""
        if fault == "race":
            self.put(OTHER)
        if fault == "refuse":
            return LOST
        result = self.model.apply(operation, 0.0)
        if fault == "lose, then race":
            self.put(OTHER)
        return LOST if fault.startswith("lose") else result


def run(async_command, faults=(), **options):
    store = FaultyStore(faults)

    async def async_main():
        declarations = DeclarationStore(store, "piraeus", patience_s=1.0)
        return await async_command(declarations, **options)

    return store, anyio.run(async_main)


def apply_new(store, **options):
    return async_apply(store, NEW, **options)


APPLY = {
    "no fault": ((), {}, ExitCode.OK, NEW, "accepted"),
    "dry run": ((), {"dry_run": True}, ExitCode.OK, OLD, "order of entries"),
    "answer lost after the effect": (("lose",), {}, ExitCode.OK, NEW, "accepted"),
    "write lost": (("refuse",), {}, ExitCode.OK, NEW, "accepted"),
    "other operator first": (("race",), {}, ExitCode.CHANGED, OTHER, "- organisation"),
    "other operator after a lost answer": (
        ("lose, then race",),
        {},
        ExitCode.CHANGED,
        OTHER,
        "may have taken effect",
    ),
    "old base": ((), {"base_version": 9}, ExitCode.CHANGED, OLD, "version 2"),
    "store silent": (("refuse",) * 99, {}, ExitCode.UNREACHABLE, OLD, "may have"),
}


@pytest.mark.parametrize("fault", APPLY)
def test_apply_tells_what_happened(fault):
    """Guards against overwritten changes and against false reports of a write."""
    faults, options, code, stored, part = APPLY[fault]
    store, result = run(apply_new, faults, **options)
    assert result.exit_code is code
    assert store.stored() == stored
    assert any(part in line for line in result.lines), result.lines


@pytest.mark.parametrize("faults", [(), ("race",), ("lose",), ("lose, then race",)])
def test_data_centre_goes_out_whatever_others_do(faults):
    """Guards against a data centre that stays in after a reported success."""

    def command(store):
        return async_set_data_centre(store, "volos-a", DataCentreState.OUT)

    store, result = run(command, faults)
    assert result.exit_code is ExitCode.OK
    assert store.stored().data_centres[3].state is DataCentreState.OUT
    lost_to_race = "race" in "".join(faults)
    assert len(store.stored().organisations) == 8 - lost_to_race


@pytest.mark.parametrize("faults", [(), ("lose",), ("race",)])
def test_granted_key_opens_and_withdrawn_key_does_not(faults):
    """Guards against keys that are shown but not stored."""
    store, result = run(lambda s: async_grant(s, "night-survey"), faults)
    assert result.exit_code is ExitCode.OK
    headers: Headers = ((b"x-tenant-key", result.fields["tenant_key"].encode()),)
    keys = TenantKeys()
    keys.configure(Configuration(1, store.stored()))
    assert keys.authenticate(headers).ok.organisation == "night-survey"
    assert result.fields["tenant_key"] not in to_json(store.stored())


def test_withdrawal_removes_the_keys_and_refuses_unknown_names():
    """Guards against a withdrawal that reports success without effect."""
    store, result = run(lambda s: async_withdraw(s, "night-survey", None))
    assert result.exit_code is ExitCode.OK
    assert store.stored().organisations[7].tenant_keys == ()
    for name, key_id in (("x", None), ("night-survey", "x")):
        _, result = run(lambda s, n=name, k=key_id: async_withdraw(s, n, k))
        assert result.exit_code is ExitCode.REFUSED


def test_export_returns_what_apply_takes():
    """Guards against an export that changes the configuration."""
    _, result = run(async_export)
    assert parse_declaration(result.lines[0]).ok == OLD
