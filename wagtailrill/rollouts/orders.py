"""Follows the operator's orders of all services in the mirror of the operator's keys.

The roll-outs of an instance use it.
"""

from collections.abc import Mapping

import attrs

from ..core.context import Context
from ..core.log_events import LogName
from ..store.models import Item
from ..store.revision import get_era
from .decider import OrderView
from .models import RolloutDialect


@attrs.define(eq=False)
class OrderRow:
    """The last seen item of a service's order and what it says."""

    revision: int = 0
    view: OrderView = attrs.field(factory=OrderView)


class Orders:
    """The present order of each service.

    An invalid order is logged and changes nothing.
    """

    def __init__(self, ctx: Context, dialect: RolloutDialect) -> None:
        self._ctx = ctx
        self._dialect = dialect
        self._rows: dict[str, OrderRow] = {}

    def get_view(self, service: str) -> OrderView | None:
        """Return the order of a service, None until the keys have been read."""
        row = self._rows.get(service)
        return row.view if row is not None else None

    def update(self, service: str, items: Mapping[str, Item]) -> None:
        """Read the order of a service from the operator's keys."""
        is_first = service not in self._rows
        row = self._rows.setdefault(service, OrderRow())
        item = items.get(self._dialect.get_order_key(service))
        if item is None:
            if row.view.order is not None:
                self._ctx.log(LogName.ROLLOUT_WITHDRAWN, service=service)
            row.revision, row.view = 0, OrderView()
            return
        if item.revision == row.revision:
            return
        row.revision = item.revision
        decoded = self._dialect.decode_order(item, service)
        if decoded.is_error():
            self._ctx.log(
                LogName.ROLLOUT_INVALID,
                service=service,
                revision=item.revision,
                reason=decoded.error,
            )
            return
        order = decoded.ok
        known = row.view.order
        if (
            known is not None
            and known.digest == order.digest
            and get_era(known.revision) < get_era(order.revision)
        ):
            # It was written again after a restore of the store.
            row.view = attrs.evolve(row.view, order=order)
            return
        row.view = OrderView(order, self._ctx.now_s, is_first)
        self._ctx.log(
            LogName.ROLLOUT_ORDERED,
            service=service,
            target=order.target,
            duration_s=order.duration_s,
            revision=order.revision,
        )
