"""Decodes the services declaration in the store, and lists its backend servers.

Used by the router's configuration follower and by the command-line tool.
"""

import attrs
from expression import Result

from ..configuration.models import InvalidDeclaration
from ..declaration.models import BackendServerState, Configuration, Declaration
from ..declaration.parse import parse_declaration
from ..servers.models import ServerEntry, ServerState
from ..store.models import Item

_SERVER_STATE_BY_DECLARED = {
    BackendServerState.IN: ServerState.READY,
    BackendServerState.LEAVING: ServerState.LEAVING,
}


@attrs.frozen
class NativeConfigurationDecoder:
    """Implements `ConfigurationDecoder` for the declaration of a deployment."""

    deployment: str

    @property
    def prefix(self) -> str:
        """Return the prefix of the configuration's store keys."""
        return f"{self.deployment}/config"

    def get_declaration_key(self) -> str:
        """Return the store key that holds the declaration."""
        return self.prefix

    def decode(self, item: Item) -> Result[Declaration, InvalidDeclaration]:
        """Return the declaration, or the first reason why it is invalid."""
        return parse_declaration(item.value).map_error(
            lambda findings: InvalidDeclaration(str(findings[0]))
        )

    def list_closed_data_centres(self, keys: frozenset[str]) -> frozenset[str]:
        """Return no data centres: the declaration itself lists the closed ones."""
        return frozenset()


def list_declared_servers(configuration: Configuration) -> dict[str, ServerEntry]:
    """Return the backend servers that a configuration declares, by name."""
    return {
        entry.name: ServerEntry(
            name=entry.name,
            service=service.name,
            address=entry.address,
            data_centre=entry.data_centre,
            slots=entry.slots,
            connections_max=entry.connections,
            state=_SERVER_STATE_BY_DECLARED[entry.state],
            revision=configuration.version,
        )
        for service in configuration.services.values()
        for entry in service.backend_servers
    }
