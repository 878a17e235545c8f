"""Connection pools of one instance to its backend servers."""

from typing import Protocol

from ..gateway.backend_pool import BackendPool
from ..gateway.body_memory import BodyMemory
from ..gateway.dialects import BackendDialect


class ServerAddresses(Protocol):
    """Present addresses of the backend servers."""

    def find_server_address(self, backend_server: str) -> str | None:
        """Return the address of a backend server, None if it is unknown."""
        ...


class BackendPools:
    """Pools by the name of their backend server."""

    def __init__(
        self,
        dialect: BackendDialect,
        addresses: ServerAddresses,
        memory: BodyMemory,
    ) -> None:
        self._dialect = dialect
        self._memory = memory
        self._addresses = addresses
        self._pools: dict[str, BackendPool] = {}

    def get_or_create(self, backend_server: str) -> BackendPool | None:
        """Return the pool of a server's present address, None for an unknown server.

        The pool is created when there is none for this address.
        """
        address = self._addresses.find_server_address(backend_server)
        if address is None:
            return None
        pool = self._pools.get(backend_server)
        if pool is None or pool.address != address:
            pool = BackendPool(address, self._dialect, memory=self._memory)
            self._pools[backend_server] = pool
        return pool

    def find(self, backend_server: str) -> BackendPool | None:
        """Return the pool of a server, None if none has been created."""
        return self._pools.get(backend_server)

    def drop_expired_connections(self) -> None:
        """Close idle connections past their idle limit or keep-alive timeout.

        Pools without connections are removed once their server is unknown.
        """
        for name, pool in list(self._pools.items()):
            pool.close_expired_connections()
            if pool.is_empty and self._addresses.find_server_address(name) is None:
                del self._pools[name]
