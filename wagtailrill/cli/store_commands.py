"""Commands that read or change the declaration in the store."""

import secrets
from collections.abc import Callable

from expression import Ok, Result

from ..declaration.difference import diff_declarations
from ..declaration.models import (
    BackendServerState,
    DataCentreState,
    Declaration,
    TenantKeyHash,
)
from ..declaration.mutations import (
    MutationResult,
    add_tenant_key,
    set_backend_server_state,
    set_data_centre_state,
    withdraw_tenant_key,
)
from ..declaration.text import to_json
from ..organisations.keys import issue_key
from .const import CHANGE_ATTEMPTS, ExitCode
from .declaration_store import DeclarationStore
from .models import Accepted, Changed, CommandResult, Failed, Loaded

# Makes a change; the flag says that an earlier attempt may have taken effect.
Change = Callable[[Declaration, bool], MutationResult]
NOTHING_STORED = "The store holds no valid declaration; apply one first."


def failed(failure: Failed) -> CommandResult:
    """Return the result of a failed command."""
    fields = {"error": failure.message, "may_have_taken_effect": failure.uncertain}
    return CommandResult(failure.exit_code, (failure.message,), fields)


def refused(message: str, **fields: object) -> CommandResult:
    """Return the result of a refused command."""
    return CommandResult(ExitCode.REFUSED, (message,), {"error": message, **fields})


async def async_apply(
    store: DeclarationStore,
    declaration: Declaration,
    base_version: int | None = None,
    dry_run: bool = False,
) -> CommandResult:
    """Replace the stored declaration, unless it is not the base version any more."""
    match await store.async_load():
        case Result(tag="ok", ok=loaded):
            pass
        case Result(error=failure):
            return failed(failure)
    if base_version is not None and loaded.revision != base_version:
        return _changed(loaded, declaration, uncertain=False)
    if loaded.declaration == declaration:
        return _unchanged(loaded)
    lines = describe(loaded, declaration)
    if dry_run:
        return CommandResult(ExitCode.OK, lines, {"difference": lines})
    outcome = await store.async_write(to_json(declaration), loaded.revision)
    match outcome:
        case Accepted(version):
            return accepted(version, lines)
        case Failed():
            return failed(outcome)
        case Changed(uncertain):
            return await _async_report_change(store, loaded, uncertain)


def describe(loaded: Loaded, declaration: Declaration) -> tuple[str, ...]:
    """Return the difference from what is stored."""
    if loaded.declaration is not None:
        return diff_declarations(loaded.declaration, declaration)
    if loaded.revision:
        return ("~ replaces a text that is not a valid declaration",)
    return ("+ first declaration of the deployment",)


def accepted(version: int, lines: tuple[str, ...]) -> CommandResult:
    """Return the result of an accepted change."""
    fields = {"version": version, "difference": lines}
    return CommandResult(
        ExitCode.OK, (*lines, f"accepted as version {version}"), fields
    )


def _unchanged(loaded: Loaded) -> CommandResult:
    line = f"no change; version {loaded.revision} is stored"
    return CommandResult(
        ExitCode.OK, (line,), {"version": loaded.revision, "difference": ()}
    )


async def _async_report_change(
    store: DeclarationStore, base: Loaded, uncertain: bool
) -> CommandResult:
    match await store.async_load():
        case Result(tag="ok", ok=now) if now.declaration is not None:
            if base.declaration is None:
                return _changed_result(now.revision, (), uncertain)
            lines = diff_declarations(base.declaration, now.declaration)
            lines = ("changes of the other operator:", *lines)
            return _changed_result(now.revision, lines, uncertain)
        case Result(tag="ok", ok=now):
            return _changed_result(now.revision, (), uncertain)
        case Result(error=failure):
            return failed(failure)


def _changed(stored: Loaded, wanted: Declaration, uncertain: bool) -> CommandResult:
    lines = ("from the stored declaration to yours:", *describe(stored, wanted))
    return _changed_result(stored.revision, lines, uncertain)


def _changed_result(
    version: int, lines: tuple[str, ...], uncertain: bool
) -> CommandResult:
    message = f"changed by another operator; version {version} is stored now"
    note = ("your write may have taken effect before that",) if uncertain else ()
    fields = {
        "error": "changed by another operator",
        "version": version,
        "difference": lines,
        "may_have_taken_effect": uncertain,
    }
    hint = "export the declaration, merge your change and apply again"
    return CommandResult(ExitCode.CHANGED, (message, *lines, *note, hint), fields)


async def async_change(store: DeclarationStore, change: Change) -> CommandResult:
    """Make a change to the latest declaration; start again if another one wins."""
    uncertain = False
    for _ in range(CHANGE_ATTEMPTS):
        result = await _async_try_change(store, change, uncertain)
        if isinstance(result, CommandResult):
            return result
        uncertain = uncertain or result.uncertain
    message = "Other operators keep changing the configuration."
    return failed(Failed(ExitCode.CHANGED, message, uncertain))


async def _async_try_change(
    store: DeclarationStore, change: Change, uncertain: bool
) -> CommandResult | Changed:
    match await store.async_load():
        case Result(tag="ok", ok=loaded):
            pass
        case Result(error=failure):
            return failed(failure)
    if loaded.declaration is None:
        return refused(NOTHING_STORED)
    match change(loaded.declaration, uncertain):
        case Result(tag="ok", ok=declaration):
            pass
        case Result(error=message):
            return refused(message)
    if declaration == loaded.declaration:
        return _unchanged(loaded)
    lines = diff_declarations(loaded.declaration, declaration)
    match await store.async_write(to_json(declaration), loaded.revision):
        case Accepted(version):
            return accepted(version, lines)
        case Failed() as failure:
            return failed(failure)
        case Changed() as changed:
            return changed


async def async_set_data_centre(
    store: DeclarationStore, name: str, state: DataCentreState
) -> CommandResult:
    """Take a data centre out of service, or back."""
    return await async_change(
        store, lambda declaration, _: set_data_centre_state(declaration, name, state)
    )


async def async_set_backend_server(
    store: DeclarationStore, name: str, state: BackendServerState
) -> CommandResult:
    """Mark a backend server as leaving, or take it back."""
    return await async_change(
        store, lambda declaration, _: set_backend_server_state(declaration, name, state)
    )


def make_tenant_key() -> tuple[str, TenantKeyHash]:
    """Return a new clear tenant key and the hash to store."""
    return issue_key(secrets.token_bytes)


async def async_grant(store: DeclarationStore, organisation: str) -> CommandResult:
    """Issue a tenant key and show it once."""
    clear, key = make_tenant_key()

    def change(declaration: Declaration, uncertain: bool) -> MutationResult:
        known = [k for o in declaration.organisations for k in o.tenant_keys]
        if uncertain and key in known:
            return Ok(declaration)
        return add_tenant_key(declaration, organisation, key)

    result = await async_change(store, change)
    if result.exit_code is ExitCode.OK:
        lines = (*result.lines, f"tenant key, shown only now: {clear}")
        fields = {**result.fields, "key_id": key.key_id, "tenant_key": clear}
        return CommandResult(ExitCode.OK, lines, fields)
    if not result.fields.get("may_have_taken_effect"):
        return result
    line = f"if key id {key.key_id} is listed, withdraw it: its key is lost"
    fields = {**result.fields, "key_id": key.key_id}
    return CommandResult(result.exit_code, (*result.lines, line), fields)


async def async_withdraw(
    store: DeclarationStore, organisation: str, key_id: str | None
) -> CommandResult:
    """Withdraw one tenant key of an organisation, or all."""

    def change(declaration: Declaration, uncertain: bool) -> MutationResult:
        mutated = withdraw_tenant_key(declaration, organisation, key_id)
        return Ok(declaration) if uncertain and mutated.is_error() else mutated

    return await async_change(store, change)


async def async_export(store: DeclarationStore) -> CommandResult:
    """Print the stored declaration; its version goes to standard error."""
    match await store.async_load():
        case Result(tag="ok", ok=Loaded(revision, declaration)):
            if declaration is None:
                return refused(NOTHING_STORED)
            text = to_json(declaration, indent=2)
            fields = {"version": revision, "declaration": text}
            note = f"version {revision}; give it to apply as --base-version"
            return CommandResult(ExitCode.OK, (text,), fields, notes=(note,))
        case Result(error=failure):
            return failed(failure)
