"""Changes to a declaration that operators make with the command-line tool.

Each function returns the changed declaration, or an error message if a name in the
command is unknown or already in use.
"""

from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from .models import (
    BackendServerEntry,
    BackendServerState,
    DataCentre,
    DataCentreState,
    Declaration,
    Organisation,
    Service,
    TenantKeyHash,
)

MutationResult = Result[Declaration, str]
TenantKeysChange = Callable[[tuple[TenantKeyHash, ...]], tuple[TenantKeyHash, ...]]


def set_data_centre_state(
    declaration: Declaration, name: str, state: DataCentreState
) -> MutationResult:
    """Return the declaration with the state of a data centre set."""
    if all(d.name != name for d in declaration.data_centres):
        return Error(f'The declaration has no data centre "{name}".')

    def change_data_centre(entry: DataCentre) -> DataCentre:
        return attrs.evolve(entry, state=state) if entry.name == name else entry

    return Ok(
        attrs.evolve(
            declaration,
            data_centres=tuple(map(change_data_centre, declaration.data_centres)),
        )
    )


def set_backend_server_state(
    declaration: Declaration, name: str, state: BackendServerState
) -> MutationResult:
    """Return the declaration with the state of a backend server set."""
    services = declaration.services
    if all(b.name != name for s in services for b in s.backend_servers):
        return Error(f'The declaration has no backend server "{name}".')

    def change_backend_server(entry: BackendServerEntry) -> BackendServerEntry:
        return attrs.evolve(entry, state=state) if entry.name == name else entry

    def change_service(service: Service) -> Service:
        servers = tuple(map(change_backend_server, service.backend_servers))
        return attrs.evolve(service, backend_servers=servers)

    return Ok(attrs.evolve(declaration, services=tuple(map(change_service, services))))


def add_tenant_key(
    declaration: Declaration, organisation: str, key: TenantKeyHash
) -> MutationResult:
    """Return the declaration with a tenant key added to an organisation."""
    used_key_ids = {k.key_id for o in declaration.organisations for k in o.tenant_keys}
    if key.key_id in used_key_ids:
        return Error(f'The key id "{key.key_id}" is already in use.')
    return _change_tenant_keys(declaration, organisation, lambda keys: (*keys, key))


def withdraw_tenant_key(
    declaration: Declaration, organisation: str, key_id: str | None = None
) -> MutationResult:
    """Return the declaration without a tenant key of an organisation.

    Without `key_id` all tenant keys of the organisation are removed.
    """
    owned_key_ids = {
        k.key_id
        for o in declaration.organisations
        if o.name == organisation
        for k in o.tenant_keys
    }
    if key_id is not None and owned_key_ids and key_id not in owned_key_ids:
        return Error(f'The organisation "{organisation}" has no key "{key_id}".')

    def remove_keys(keys: tuple[TenantKeyHash, ...]) -> tuple[TenantKeyHash, ...]:
        return tuple(k for k in keys if key_id is not None and k.key_id != key_id)

    return _change_tenant_keys(declaration, organisation, remove_keys)


def _change_tenant_keys(
    declaration: Declaration, name: str, change_keys: TenantKeysChange
) -> MutationResult:
    if all(o.name != name for o in declaration.organisations):
        return Error(f'The declaration has no organisation "{name}".')

    def change_organisation(entry: Organisation) -> Organisation:
        if entry.name != name:
            return entry
        return attrs.evolve(entry, tenant_keys=change_keys(entry.tenant_keys))

    organisations = tuple(map(change_organisation, declaration.organisations))
    return Ok(attrs.evolve(declaration, organisations=organisations))
