"""Changes of a declaration that operators make by command."""

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

Mutated = Result[Declaration, str]
KeyChange = Callable[[tuple[TenantKeyHash, ...]], tuple[TenantKeyHash, ...]]


def set_data_centre_state(
    declaration: Declaration, name: str, state: DataCentreState
) -> Mutated:
    """Return the declaration with a data centre in or out."""
    if all(d.name != name for d in declaration.data_centres):
        return Error(f'The declaration has no data centre "{name}".')

    def change(entry: DataCentre) -> DataCentre:
        return attrs.evolve(entry, state=state) if entry.name == name else entry

    return Ok(
        attrs.evolve(
            declaration, data_centres=tuple(map(change, declaration.data_centres))
        )
    )


def set_backend_server_state(
    declaration: Declaration, name: str, state: BackendServerState
) -> Mutated:
    """Return the declaration with a backend server in or leaving."""
    services = declaration.services
    if all(b.name != name for s in services for b in s.backend_servers):
        return Error(f'The declaration has no backend server "{name}".')

    def change(entry: BackendServerEntry) -> BackendServerEntry:
        return attrs.evolve(entry, state=state) if entry.name == name else entry

    def change_service(service: Service) -> Service:
        servers = tuple(map(change, service.backend_servers))
        return attrs.evolve(service, backend_servers=servers)

    return Ok(attrs.evolve(declaration, services=tuple(map(change_service, services))))


def add_tenant_key(
    declaration: Declaration, organisation: str, key: TenantKeyHash
) -> Mutated:
    """Return the declaration with one more tenant key of an organisation."""
    used = {k.key_id for o in declaration.organisations for k in o.tenant_keys}
    if key.key_id in used:
        return Error(f'The key id "{key.key_id}" is already in use.')
    return _change_keys(declaration, organisation, lambda keys: (*keys, key))


def withdraw_tenant_key(
    declaration: Declaration, organisation: str, key_id: str | None = None
) -> Mutated:
    """Return the declaration without one, or without any, key of an organisation."""
    owned = {
        k.key_id
        for o in declaration.organisations
        if o.name == organisation
        for k in o.tenant_keys
    }
    if key_id is not None and owned and key_id not in owned:
        return Error(f'The organisation "{organisation}" has no key "{key_id}".')

    def remaining(keys: tuple[TenantKeyHash, ...]) -> tuple[TenantKeyHash, ...]:
        return tuple(k for k in keys if key_id is not None and k.key_id != key_id)

    return _change_keys(declaration, organisation, remaining)


def _change_keys(declaration: Declaration, name: str, change: KeyChange) -> Mutated:
    if all(o.name != name for o in declaration.organisations):
        return Error(f'The declaration has no organisation "{name}".')

    def change_organisation(entry: Organisation) -> Organisation:
        if entry.name != name:
            return entry
        return attrs.evolve(entry, tenant_keys=change(entry.tenant_keys))

    organisations = tuple(map(change_organisation, declaration.organisations))
    return Ok(attrs.evolve(declaration, organisations=organisations))
