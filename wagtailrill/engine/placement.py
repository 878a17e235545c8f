"""Queues of requests that wait for a backend server, and the choice of one."""

from collections.abc import Callable

import attrs

from ..admission.fair_queue import FairQueue
from ..admission.models import Item, QueueSettings
from ..core.refusals import Refusal, RefusalCode
from ..declaration.models import Configuration
from ..ownership.models import RouteRefusal
from .interfaces import KeyRouter, ServerChoice
from .models import RequestRow

# Requests that ask for a permit at once; the rest wait in the instance's fair queue,
# so that the order between organisations is decided late.
ACQUIRING_PER_SERVER_MAX = 4
ACQUIRING_PER_SERVICE_MAX = 24

REFUSAL_BY_ROUTE_REFUSAL = {
    RouteRefusal.CUT_OFF: RefusalCode.CUT_OFF,
    RouteRefusal.MOVING: RefusalCode.KEY_MOVING,
    RouteRefusal.NO_OWNER: RefusalCode.NO_BACKEND_SERVER,
    RouteRefusal.OWNER_LOST: RefusalCode.KEY_MOVING,
    RouteRefusal.OWNER_LEAVING: RefusalCode.KEY_MOVING,
}


@attrs.define
class ServiceQueue:
    """Waiting requests of a service and the number of permits asked for."""

    queue: FairQueue
    acquiring: int = 0
    by_server: dict[str, int] = attrs.field(factory=dict)

    def started(self, backend_server: str) -> None:
        """Count a request that asks for a permit."""
        self.acquiring += 1
        self.by_server[backend_server] = self.by_server.get(backend_server, 0) + 1

    def ended(self, backend_server: str) -> None:
        """Count a request that got a permit or a denial."""
        self.acquiring -= 1
        self.by_server[backend_server] -= 1

    def full(self, backend_server: str) -> bool:
        """Return whether enough requests ask for a permit of a backend server."""
        return self.by_server.get(backend_server, 0) >= ACQUIRING_PER_SERVER_MAX


@attrs.define
class Placement:
    """Finds the backend server for a request."""

    router: KeyRouter
    balancer: ServerChoice
    suspect_on: Callable[[str], bool]
    cfg: QueueSettings
    queues: dict[str, ServiceQueue] = attrs.field(factory=dict)
    configuration: Configuration | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        weights = {o.name: o.weight for o in configuration.declaration.organisations}
        for name in configuration.services:
            queue = self.queues.setdefault(name, ServiceQueue(FairQueue(self.cfg)))
            queue.queue.configure(weights)

    def queue_of(self, row: RequestRow) -> ServiceQueue:
        """Return the queue of a request's service."""
        return self.queues[row.service.name]

    def push(self, row: RequestRow) -> Refusal | None:
        """Let a request wait, or return the refusal when the queue is full."""
        item = Item(
            request_id=row.req.request_id,
            organisation=row.organisation,
            deadline_s=row.deadline_s,
            deferrable=row.route.deferrable,
        )
        return self.queue_of(row).queue.push(item)

    def target(self, row: RequestRow) -> str | None:
        """Return the backend server that a request should ask for a permit."""
        queue = self.queue_of(row)
        if queue.acquiring >= ACQUIRING_PER_SERVICE_MAX:
            return None
        if row.service.keyed:
            server = self._owner(row)
        else:
            server = self.balancer.choose(row.service.name, row.tried)
            if server is None and row.tried:
                server = self.balancer.choose(row.service.name, frozenset())
            if server is None:
                row.wait_reason = RefusalCode.NO_BACKEND_SERVER
        if server is None or queue.full(server):
            return None
        if row.suspect and self.suspect_on(server):
            return None
        return server

    def _owner(self, row: RequestRow) -> str | None:
        route = self.router.route(row.service.name, row.key or b"")
        if isinstance(route, RouteRefusal):
            row.wait_reason = REFUSAL_BY_ROUTE_REFUSAL[route]
            return None
        if self.configuration is None or not self.configuration.accepts_work(
            route.backend_server
        ):
            # Its permits are denied at once; the request waits until the key has moved.
            row.wait_reason = RefusalCode.KEY_MOVING
            return None
        row.wait_reason = RefusalCode.NO_BACKEND_SERVER
        return route.backend_server
