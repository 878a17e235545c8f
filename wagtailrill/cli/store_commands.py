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
from .const import CHANGE_ATTEMPTS_MAX, ExitCode
from .declaration_store import DeclarationStore
from .models import (
    CommandFailure,
    CommandResult,
    StoredDeclaration,
    WriteAccepted,
    WriteConflict,
)

# Returns the changed declaration, or a message why the change is refused. The flag
# says that an earlier attempt at the same change may have taken effect.
DeclarationChange = Callable[[Declaration, bool], MutationResult]
NO_DECLARATION_MESSAGE = "The store holds no valid declaration; apply one first."


def make_failed_result(failure: CommandFailure) -> CommandResult:
    """Return the result of a failed command."""
    fields = {"error": failure.message, "may_have_taken_effect": failure.uncertain}
    return CommandResult(failure.exit_code, (failure.message,), fields)


def make_refused_result(message: str, **fields: object) -> CommandResult:
    """Return the result of a refused command."""
    return CommandResult(ExitCode.REFUSED, (message,), {"error": message, **fields})


async def async_apply_declaration(
    store: DeclarationStore,
    declaration: Declaration,
    base_version: int | None = None,
    dry_run: bool = False,
) -> CommandResult:
    """Replace the stored declaration.

    A `base_version` other than the stored version is a conflict.
    """
    match await store.async_load():
        case Result(tag="ok", ok=stored):
            pass
        case Result(error=failure):
            return make_failed_result(failure)
    if base_version is not None and stored.revision != base_version:
        return _make_base_conflict_result(stored, declaration, uncertain=False)
    if stored.declaration == declaration:
        return _make_unchanged_result(stored)
    lines = describe_difference(stored, declaration)
    if dry_run:
        return CommandResult(ExitCode.OK, lines, {"difference": lines})
    outcome = await store.async_write(to_json(declaration), stored.revision)
    match outcome:
        case WriteAccepted(version):
            return make_accepted_result(version, lines)
        case CommandFailure():
            return make_failed_result(outcome)
        case WriteConflict(uncertain):
            return await _async_report_conflict(store, stored, uncertain)


def describe_difference(
    stored: StoredDeclaration, declaration: Declaration
) -> tuple[str, ...]:
    """Return one line per difference between the stored declaration and another."""
    if stored.declaration is not None:
        return diff_declarations(stored.declaration, declaration)
    if stored.revision:
        return ("~ replaces a text that is not a valid declaration",)
    return ("+ first declaration of the deployment",)


def make_accepted_result(version: int, lines: tuple[str, ...]) -> CommandResult:
    """Return the result of an accepted change."""
    fields = {"version": version, "difference": lines}
    return CommandResult(
        ExitCode.OK, (*lines, f"accepted as version {version}"), fields
    )


def _make_unchanged_result(stored: StoredDeclaration) -> CommandResult:
    line = f"no change; version {stored.revision} is stored"
    return CommandResult(
        ExitCode.OK, (line,), {"version": stored.revision, "difference": ()}
    )


async def _async_report_conflict(
    store: DeclarationStore, base: StoredDeclaration, uncertain: bool
) -> CommandResult:
    """Return what another operator has changed since `base` was read."""
    match await store.async_load():
        case Result(tag="ok", ok=stored) if stored.declaration is not None:
            if base.declaration is None:
                return _make_conflict_result(stored.revision, (), uncertain)
            lines = diff_declarations(base.declaration, stored.declaration)
            lines = ("changes of the other operator:", *lines)
            return _make_conflict_result(stored.revision, lines, uncertain)
        case Result(tag="ok", ok=stored):
            return _make_conflict_result(stored.revision, (), uncertain)
        case Result(error=failure):
            return make_failed_result(failure)


def _make_base_conflict_result(
    stored: StoredDeclaration, declaration: Declaration, uncertain: bool
) -> CommandResult:
    lines = (
        "from the stored declaration to yours:",
        *describe_difference(stored, declaration),
    )
    return _make_conflict_result(stored.revision, lines, uncertain)


def _make_conflict_result(
    version: int, lines: tuple[str, ...], uncertain: bool
) -> CommandResult:
    message = f"changed by another operator; version {version} is stored now"
    notes = ("your write may have taken effect before that",) if uncertain else ()
    fields = {
        "error": "changed by another operator",
        "version": version,
        "difference": lines,
        "may_have_taken_effect": uncertain,
    }
    hint = "export the declaration, merge your change and apply again"
    return CommandResult(ExitCode.CONFLICT, (message, *lines, *notes, hint), fields)


async def async_change_declaration(
    store: DeclarationStore, change: DeclarationChange
) -> CommandResult:
    """Change the stored declaration; retry from the latest version on a conflict."""
    uncertain = False
    for _ in range(CHANGE_ATTEMPTS_MAX):
        result = await _async_try_change(store, change, uncertain)
        if isinstance(result, CommandResult):
            return result
        uncertain = uncertain or result.uncertain
    message = "Other operators keep changing the configuration."
    return make_failed_result(CommandFailure(ExitCode.CONFLICT, message, uncertain))


async def _async_try_change(
    store: DeclarationStore, change: DeclarationChange, uncertain: bool
) -> CommandResult | WriteConflict:
    match await store.async_load():
        case Result(tag="ok", ok=stored):
            pass
        case Result(error=failure):
            return make_failed_result(failure)
    if stored.declaration is None:
        return make_refused_result(NO_DECLARATION_MESSAGE)
    match change(stored.declaration, uncertain):
        case Result(tag="ok", ok=declaration):
            pass
        case Result(error=message):
            return make_refused_result(message)
    if declaration == stored.declaration:
        return _make_unchanged_result(stored)
    lines = diff_declarations(stored.declaration, declaration)
    match await store.async_write(to_json(declaration), stored.revision):
        case WriteAccepted(version):
            return make_accepted_result(version, lines)
        case CommandFailure() as failure:
            return make_failed_result(failure)
        case WriteConflict() as conflict:
            return conflict


async def async_set_data_centre_state(
    store: DeclarationStore, name: str, state: DataCentreState
) -> CommandResult:
    """Take a data centre out of service, or put it back in."""
    return await async_change_declaration(
        store, lambda declaration, _: set_data_centre_state(declaration, name, state)
    )


async def async_set_backend_server_state(
    store: DeclarationStore, name: str, state: BackendServerState
) -> CommandResult:
    """Mark a backend server as leaving, or put it back in."""
    return await async_change_declaration(
        store, lambda declaration, _: set_backend_server_state(declaration, name, state)
    )


def make_tenant_key() -> tuple[str, TenantKeyHash]:
    """Return a new tenant key in clear text, and its salted hash for the store."""
    return issue_key(secrets.token_bytes)


async def async_grant_tenant_key(
    store: DeclarationStore, organisation: str
) -> CommandResult:
    """Issue a tenant key and show it once."""
    clear_key, key_hash = make_tenant_key()

    def add_key(declaration: Declaration, uncertain: bool) -> MutationResult:
        stored_hashes = [k for o in declaration.organisations for k in o.tenant_keys]
        if uncertain and key_hash in stored_hashes:
            return Ok(declaration)
        return add_tenant_key(declaration, organisation, key_hash)

    result = await async_change_declaration(store, add_key)
    if result.exit_code is ExitCode.OK:
        lines = (*result.lines, f"tenant key, shown only now: {clear_key}")
        fields = {**result.fields, "key_id": key_hash.key_id, "tenant_key": clear_key}
        return CommandResult(ExitCode.OK, lines, fields)
    if not result.fields.get("may_have_taken_effect"):
        return result
    line = f"if key id {key_hash.key_id} is listed, withdraw it: its key is lost"
    fields = {**result.fields, "key_id": key_hash.key_id}
    return CommandResult(result.exit_code, (*result.lines, line), fields)


async def async_withdraw_tenant_keys(
    store: DeclarationStore, organisation: str, key_id: str | None
) -> CommandResult:
    """Withdraw one tenant key of an organisation, or all if `key_id` is None."""

    def withdraw_keys(declaration: Declaration, uncertain: bool) -> MutationResult:
        changed = withdraw_tenant_key(declaration, organisation, key_id)
        return Ok(declaration) if uncertain and changed.is_error() else changed

    return await async_change_declaration(store, withdraw_keys)


async def async_export_declaration(store: DeclarationStore) -> CommandResult:
    """Return the stored declaration as JSON, with its version as a note."""
    match await store.async_load():
        case Result(tag="ok", ok=StoredDeclaration(revision, declaration)):
            if declaration is None:
                return make_refused_result(NO_DECLARATION_MESSAGE)
            text = to_json(declaration, indent=2)
            fields = {"version": revision, "declaration": text}
            note = f"version {revision}; pass it to apply as --base-version"
            return CommandResult(ExitCode.OK, (text,), fields, notes=(note,))
        case Result(error=failure):
            return make_failed_result(failure)
