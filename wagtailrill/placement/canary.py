"""Places a bounded part of a service's requests at servers of a version under test.

The dispatcher of the service uses it.
"""

from collections.abc import Callable
from typing import Protocol

from ..servers.load import ServerLoad
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .messages import PlaceRequest
from .records import PendingRequest
from .server_index import ServerIndex

# Makes an index of the servers that a predicate accepts.
IndexFactory = Callable[[Callable[[ServerRow], bool]], ServerIndex]


class CanaryGate(Protocol):
    """Bounds the requests that go to servers of a version under test."""

    def is_active(self) -> bool:
        """Return whether a version is under test."""
        ...

    def includes(self, row: ServerRow) -> bool:
        """Return whether a server is one of those that the test uses."""
        ...

    def is_under_test(self, row: ServerRow) -> bool:
        """Return whether a server's version is under test."""
        ...

    def count_request(self) -> None:
        """Count a request of the service."""
        ...

    def is_offered(self) -> bool:
        """Return whether the next request should go to the version under test."""
        ...

    def has_room(self) -> bool:
        """Return whether one more request may go to the version under test."""
        ...

    def record_placed(self) -> None:
        """Count a request that goes to the version under test."""
        ...


class CanaryPlacement:
    """Keeps the servers under test in an index of their own while there are any."""

    def __init__(
        self, servers: ServerTable, gate: CanaryGate | None, make_index: IndexFactory
    ) -> None:
        self._servers = servers
        self._gate = gate
        self._make_index = make_index
        self._index: ServerIndex | None = None

    def count_request(self, request: PlaceRequest) -> None:
        """Count a request at its arrival; retries and hedges do not count."""
        if self._gate is not None and not request.extra and not request.excluded:
            self._gate.count_request()

    def choose_server(self, pending: PendingRequest) -> ServerLoad | None:
        """Return a free server under test if the request should go to one."""
        gate, request = self._gate, pending.request
        if gate is None or not gate.is_active():
            return None
        if request.extra or request.excluded or not gate.is_offered():
            return None
        index = self._get_index(gate)
        options = index.find_options(
            pending.data_centre, pending.excluded, pending.demand
        )
        return options.best

    def admits(self, load: ServerLoad) -> bool:
        """Return whether a request may go to a server by the bound of the test."""
        gate = self._gate
        return gate is None or not gate.is_under_test(load.row) or gate.has_room()

    def record_placed(self, load: ServerLoad) -> None:
        """Count a request that was assigned to a server."""
        gate = self._gate
        if gate is not None and gate.is_under_test(load.row):
            gate.record_placed()
            if self._index is not None:
                self._index.update_slots(load)

    def refresh(self, load: ServerLoad) -> None:
        """Put a server in its present place after an event."""
        if self._index is not None:
            self._index.refresh(load)

    def tick(self, prepare: Callable[[ServerLoad], None]) -> None:
        """Refresh some servers; `prepare` updates their loads."""
        if self._gate is None or not self._gate.is_active():
            self._index = None
        elif self._index is not None:
            self._index.refresh_some(prepare)

    def _get_index(self, gate: CanaryGate) -> ServerIndex:
        if self._index is None:
            self._index = self._make_index(
                lambda row: self._servers.is_open(row) and gate.includes(row)
            )
        return self._index
