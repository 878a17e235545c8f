"""Orders in flight, which hold back the acknowledgement of moves."""

from ..membership.table import SlotState
from .const import WALL_CLOCK_ERROR_S
from .models import SlotRoute
from .view import TableView


class OrdersInFlight:
    """The orders that this member started and that a backend server may still run."""

    def __init__(self) -> None:
        self._routes: dict[int, SlotRoute] = {}

    def __len__(self) -> int:
        return len(self._routes)

    def start(self, order_id: int, route: SlotRoute) -> None:
        """Record an order."""
        self._routes[order_id] = route

    def end(self, order_id: int) -> None:
        """Forget an order that no backend server runs any more."""
        self._routes.pop(order_id, None)

    def prune(self, now_s: float) -> None:
        """Forget the orders that are past their absolute expiry."""
        expired_s = now_s - WALL_CLOCK_ERROR_S
        for order_id, route in list(self._routes.items()):
            if route.expires_s <= expired_s:
                del self._routes[order_id]

    def block(self, view: TableView, now_s: float) -> bool:
        """Return whether an order may still run at a server that must not serve it.

        An order past its absolute expiry is not run any more, even by a server that
        was frozen meanwhile.
        """
        return any(
            now_s < route.expires_s + WALL_CLOCK_ERROR_S and not _current(view, route)
            for route in self._routes.values()
        )


def _current(view: TableView, route: SlotRoute) -> bool:
    service = view.services.get(route.service)
    if service is None:
        return False
    _, owner = service.owner_of(route.key_hash)
    serving = owner.state is SlotState.SERVING
    return serving and owner.backend_server == route.backend_server
